package capacity

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutusring/arbutusring/internal/ownerrpc"
	"github.com/arbutusring/arbutusring/pkg/logpos"
)

// Owners answer the calls of an entry at once, without a network.
type Owners struct {
	Answer []byte // raw backend messages of every cycle

	Execs, Positions, Statuses atomic.Int64

	mu   sync.Mutex
	seen map[string]bool // addresses of status calls
}

// Client returns the calls for an entry.
func (o *Owners) Client() ownerrpc.Client { return ownerrpc.Client{Call: o.call} }

// Seen returns the number of owners that were asked for their status.
func (o *Owners) Seen() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.seen)
}

func (o *Owners) call(_ context.Context, address, method string, args, reply any) error {
	switch method {
	case "Owner.Exec":
		o.Execs.Add(1)
		a, r := args.(*ownerrpc.ExecArgs), reply.(*ownerrpc.ExecReply)
		r.ID, r.Messages, r.TxStatus = a.ID, o.Answer, 'I'
		r.Load = ownerrpc.Load{Server: a.Server, Applied: logpos.Position{Term: 1, LSN: 1}, Slots: 3, Service: time.Millisecond}
		if a.Write {
			r.Position = logpos.Position{Term: 1, LSN: 1}
		}
	case "Owner.Position":
		o.Positions.Add(1)
		reply.(*ownerrpc.PositionReply).Position = logpos.Position{Term: 1, LSN: 1}
	case "Owner.Status":
		o.Statuses.Add(1)
		o.mu.Lock()
		defer o.mu.Unlock()
		if o.seen == nil {
			o.seen = make(map[string]bool)
		}
		o.seen[address] = true
	}
	return nil
}
