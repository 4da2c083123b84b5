package control

import (
	"context"
	"sync"
	"time"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/rs/zerolog"
)

const (
	// changedCalls limits the calls of Members.Follow that tell a server
	// something new. A fenced replica receives nothing until it is told, so the
	// loss of a data centre (about 1,100 primaries) must not wait for routine
	// repetitions.
	changedCalls = 512
	// followCalls limits the calls that repeat an order.
	followCalls = 128
	// followRetry is the delay before a failed call is repeated; it doubles
	// with each failure, up to followRetry << maxFollowDoublings.
	followRetry        = 500 * time.Millisecond
	maxFollowDoublings = 4
)

// Followers tells the servers of each group, members or not, to follow the
// primary. A server is told again when the primary or its own address
// changes, after it has been silent, and every Options.FollowEvery. It runs
// during one leadership.
type Followers struct {
	opts    Options
	machine *Machine
	logger  zerolog.Logger
	repeats chan struct{} // holds a value for each running call that repeats an order
	changes chan struct{} // holds a value for each running call with a new order
	wake    chan struct{} // asks for a scan because changes has room again

	mu   sync.Mutex
	told map[string]*telling // by server id; guarded by mu
}

// order is what a server is told.
type order struct {
	address string // of the server
	primary string // address of the primary
	term    uint64
}

// telling is the progress of telling one server.
type telling struct {
	order    order
	running  bool
	failures int       // in a row, with this order
	next     time.Time // next call, unless the order changes
}

func newFollowers(opts Options, machine *Machine) *Followers {
	return &Followers{
		opts: opts, machine: machine,
		logger:  opts.Logger.With().Str("part", "followers").Logger(),
		repeats: make(chan struct{}, followCalls),
		changes: make(chan struct{}, changedCalls),
		wake:    make(chan struct{}, 1),
		told:    make(map[string]*telling),
	}
}

// Again makes the next scan tell the server, which may have been restarted.
func (f *Followers) Again(server string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t := f.told[server]; t != nil {
		t.next = time.Time{}
	}
}

// run works until ctx ends, which is the end of the leadership.
func (f *Followers) run(ctx context.Context) {
	scanUntilEnd(ctx, f.machine, f.wake, planEvery, f.scan)
}

// due is a call that may start now.
type due struct {
	server string
	t      *telling
	want   order
}

// scan starts the calls that are due, as far as there are free slots. New
// orders come before repetitions.
func (f *Followers) scan(ctx context.Context, group *sync.WaitGroup) {
	v := f.machine.View()
	f.mu.Lock()
	defer f.mu.Unlock()
	changed, repeated := f.due(v, time.Now())
	f.startCalls(ctx, group, changed, f.changes)
	f.startCalls(ctx, group, repeated, f.repeats)
}

// due returns the calls with new orders and those that repeat one. f.mu is
// held.
func (f *Followers) due(v *View, now time.Time) (changed, repeated []due) {
	for name, g := range v.Groups {
		if g.Phase != controlrpc.PhaseSteady {
			continue
		}
		for _, id := range v.GroupServers(name) {
			if id == g.Primary {
				continue
			}
			want := order{v.Servers[id].Address, v.Servers[g.Primary].Address, g.Term}
			t := f.told[id]
			if t == nil {
				t = new(telling)
				f.told[id] = t
			}
			switch {
			case t.running:
			case t.order != want:
				changed = append(changed, due{id, t, want})
			case !now.Before(t.next):
				repeated = append(repeated, due{id, t, want})
			}
		}
	}
	return changed, repeated
}

// startCalls starts calls while slots has room; the next scan goes on. f.mu is
// held.
func (f *Followers) startCalls(ctx context.Context, group *sync.WaitGroup, calls []due, slots chan struct{}) {
	for _, d := range calls {
		select {
		case slots <- struct{}{}:
		default:
			return
		}
		if d.t.order != d.want {
			d.t.failures = 0
		}
		d.t.order, d.t.running = d.want, true
		group.Go(func() {
			ok := f.tell(ctx, d.server, d.want)
			<-slots
			f.settle(d.t, ok)
		})
	}
}

// tell makes one call and reports whether the server follows.
func (f *Followers) tell(ctx context.Context, server string, want order) bool {
	ctx, cancel := context.WithTimeout(ctx, f.opts.StepTimeout)
	defer cancel()
	st, err := f.opts.Members.Follow(ctx, want.address, want.primary, want.term)
	if err != nil || st.ServerID != server {
		f.logger.Debug().Err(err).Str("server", server).Uint64("term", want.term).Msg("server was not told whom to follow")
		return false
	}
	return true
}

// settle notes the end of a call and asks for a scan when many new orders are
// under way, because others probably wait for its slot.
func (f *Followers) settle(t *telling, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delay := f.opts.FollowEvery
	if ok {
		t.failures = 0
	} else {
		delay = followRetry << min(t.failures, maxFollowDoublings)
		t.failures++
	}
	t.running = false
	t.next = time.Now().Add(delay)
	if len(f.changes) > changedCalls/2 {
		select {
		case f.wake <- struct{}{}:
		default:
		}
	}
}
