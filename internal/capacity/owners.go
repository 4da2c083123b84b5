package capacity

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutusring/arbutusring/internal/ownerrpc"
	"github.com/arbutusring/arbutusring/pkg/logpos"
)

// Owners simulates all owners. It answers the calls of an entry without delay
// and without a network.
type Owners struct {
	Answer []byte // encoded backend messages returned for every cycle

	ExecCalls, PositionCalls, StatusCalls atomic.Int64

	mu     sync.Mutex
	polled map[string]bool // addresses that got a status call
}

// Client returns the client that an entry uses.
func (o *Owners) Client() ownerrpc.Client { return ownerrpc.Client{Call: o.call} }

// PolledOwners returns the number of distinct owners that got a status call.
func (o *Owners) PolledOwners() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.polled)
}

func (o *Owners) call(_ context.Context, address, method string, args, reply any) error {
	switch method {
	case "Owner.Exec":
		o.ExecCalls.Add(1)
		a, r := args.(*ownerrpc.ExecArgs), reply.(*ownerrpc.ExecReply)
		r.ID, r.Messages, r.TxStatus = a.ID, o.Answer, 'I'
		r.Load = ownerrpc.Load{Server: a.Server, Applied: logpos.Position{Term: 1, LSN: 1}, Slots: 3, Service: time.Millisecond}
		if a.Write {
			r.Position = logpos.Position{Term: 1, LSN: 1}
		}
	case "Owner.Position":
		o.PositionCalls.Add(1)
		reply.(*ownerrpc.PositionReply).Position = logpos.Position{Term: 1, LSN: 1}
	case "Owner.Status":
		o.StatusCalls.Add(1)
		o.mu.Lock()
		defer o.mu.Unlock()
		if o.polled == nil {
			o.polled = make(map[string]bool)
		}
		o.polled[address] = true
	}
	return nil
}
