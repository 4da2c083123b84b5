package capacity

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutusring/arbutusring/internal/control"
	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// Leader is a control host that always leads. Its log has neither disk nor
// quorum: it applies an entry after Delay. Entries are applied one at a time
// and in order, as the real log does.
type Leader struct {
	*control.Control
	Delay   time.Duration
	Entries atomic.Int64
	Bytes   atomic.Int64

	mu    sync.Mutex
	index uint64
}

// StartLeader returns a leader with the state of the fleet.
func StartLeader(f Fleet, delay time.Duration, opts control.Options) (*Leader, error) {
	l := &Leader{Control: control.New(opts), Delay: delay}
	next, err := f.Load(l.Apply)
	if err != nil {
		return nil, err
	}
	l.index = next
	l.Control.Start(control.Log{
		Propose:            l.propose,
		IsLeader:           func() bool { return true },
		LeaseValid:         func() bool { return true },
		ReadBarrier:        func(ctx context.Context) error { return ctx.Err() },
		Leader:             func() (string, bool) { return "control-0", true },
		TransferLeadership: func(context.Context) error { return nil },
	})
	l.OnLeader(true, 1)
	return l, nil
}

func (l *Leader) propose(ctx context.Context, entry []byte) ([]byte, error) {
	select {
	case <-time.After(l.Delay):
	case <-ctx.Done():
		return nil, errkind.New(errkind.NotLeader, "the call has ended")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index++
	l.Entries.Add(1)
	l.Bytes.Add(int64(len(entry)))
	return l.Apply(l.index, entry), nil
}

// End stops the leader.
func (l *Leader) End() {
	l.OnLeader(false, 0)
	_ = l.Stop(context.Background()) // there is nobody to hand the leadership to
}
