package capacity

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutusring/arbutusring/internal/control"
	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// Leader is a control host that is always the leader. Its log uses neither disk
// nor quorum: an entry is applied after CommitDelay. Entries are applied one at
// a time and in order, as the real log does.
type Leader struct {
	*control.Control
	CommitDelay time.Duration
	LogEntries  atomic.Int64 // number of entries applied since StartLeader
	LogBytes    atomic.Int64 // their total size

	mu    sync.Mutex
	index uint64
}

// StartLeader starts a leader with the state of the fleet.
func StartLeader(f Fleet, delay time.Duration, opts control.Options) (*Leader, error) {
	l := &Leader{Control: control.New(opts), CommitDelay: delay}
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
	case <-time.After(l.CommitDelay):
	case <-ctx.Done():
		return nil, errkind.New(errkind.NotLeader, "the call was cancelled before its log entry was committed")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index++
	l.LogEntries.Add(1)
	l.LogBytes.Add(int64(len(entry)))
	return l.Apply(l.index, entry), nil
}

// Shutdown ends the leadership and stops the leader.
func (l *Leader) Shutdown() {
	l.OnLeader(false, 0)
	_ = l.Stop(context.Background()) // there is no other host to transfer leadership to
}
