package control

import (
	"context"
	"sync"
	"time"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/rs/zerolog"
)

const (
	// maxNewOrderCalls limits the concurrent calls of Members.Follow with a new
	// order. A fenced replica receives no records until it gets one, so after the
	// loss of a data centre (about 1,100 primaries) new orders must not wait for
	// routine repetitions.
	maxNewOrderCalls = 512
	// maxRepeatCalls limits the concurrent calls that repeat an order.
	maxRepeatCalls = 128
	// followRetryDelay is the delay before a failed call is repeated; it doubles
	// with each failure, up to followRetryDelay << maxFollowDoublings.
	followRetryDelay   = 500 * time.Millisecond
	maxFollowDoublings = 4
)

// Followers orders the servers of each group, members or not, to follow the
// primary. It repeats the order when the primary or the server's address
// changes, after a gap in the server's announcements, and every
// Options.FollowEvery. It lives for one leadership.
type Followers struct {
	opts      Options
	machine   *Machine
	logger    zerolog.Logger
	repeats   chan struct{} // holds a value for each running call that repeats an order
	newOrders chan struct{} // holds a value for each running call with a new order
	wake      chan struct{} // requests a scan because newOrders has room again

	mu     sync.Mutex
	states map[string]*followState // by server id; guarded by mu
}

// followOrder holds the arguments of Members.Follow for one server.
type followOrder struct {
	address string // of the server
	primary string // address of the primary
	term    uint64
}

// followState is the progress of the orders to one server.
type followState struct {
	lastOrder followOrder // order of the last call
	running   bool
	failures  int       // consecutive failed calls with lastOrder
	nextCall  time.Time // time of the next call, unless the order changes before
}

func newFollowers(opts Options, machine *Machine) *Followers {
	return &Followers{
		opts: opts, machine: machine,
		logger:    opts.Logger.With().Str("part", "followers").Logger(),
		repeats:   make(chan struct{}, maxRepeatCalls),
		newOrders: make(chan struct{}, maxNewOrderCalls),
		wake:      make(chan struct{}, 1),
		states:    make(map[string]*followState),
	}
}

// RepeatOrder makes the next scan repeat the order to the server, which may
// have been restarted.
func (f *Followers) RepeatOrder(server string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.states[server]; s != nil {
		s.nextCall = time.Time{}
	}
}

// run sends orders until ctx ends with the leadership.
func (f *Followers) run(ctx context.Context) {
	scanUntilEnd(ctx, f.machine, f.wake, planInterval, f.scan)
}

// dueCall is a call that may start now.
type dueCall struct {
	server string
	state  *followState
	order  followOrder
}

// scan starts the calls that are due while there are free slots. New orders
// come before repetitions.
func (f *Followers) scan(ctx context.Context, wg *sync.WaitGroup) {
	v := f.machine.View()
	f.mu.Lock()
	defer f.mu.Unlock()
	changed, repeated := f.dueCalls(v, time.Now())
	f.startCalls(ctx, wg, changed, f.newOrders)
	f.startCalls(ctx, wg, repeated, f.repeats)
}

// dueCalls returns the calls with new orders and those that repeat one. The
// caller holds mu.
func (f *Followers) dueCalls(v *View, now time.Time) (changed, repeated []dueCall) {
	for name, g := range v.Groups {
		if g.Phase != controlrpc.PhaseSteady {
			continue
		}
		for _, id := range v.GroupServers(name) {
			if id == g.Primary {
				continue
			}
			order := followOrder{v.Servers[id].Address, v.Servers[g.Primary].Address, g.Term}
			s := f.states[id]
			if s == nil {
				s = new(followState)
				f.states[id] = s
			}
			switch {
			case s.running:
			case s.lastOrder != order:
				changed = append(changed, dueCall{id, s, order})
			case !now.Before(s.nextCall):
				repeated = append(repeated, dueCall{id, s, order})
			}
		}
	}
	return changed, repeated
}

// startCalls starts calls while slots has room; the next scan starts the rest.
// The caller holds mu.
func (f *Followers) startCalls(ctx context.Context, wg *sync.WaitGroup, calls []dueCall, slots chan struct{}) {
	for _, d := range calls {
		select {
		case slots <- struct{}{}:
		default:
			return
		}
		if d.state.lastOrder != d.order {
			d.state.failures = 0
		}
		d.state.lastOrder, d.state.running = d.order, true
		wg.Go(func() {
			ok := f.sendOrder(ctx, d.server, d.order)
			<-slots
			f.recordResult(d.state, ok)
		})
	}
}

// sendOrder makes one call and reports whether the server accepted the order.
func (f *Followers) sendOrder(ctx context.Context, server string, order followOrder) bool {
	ctx, cancel := context.WithTimeout(ctx, f.opts.StepTimeout)
	defer cancel()
	st, err := f.opts.Members.Follow(ctx, order.address, order.primary, order.term)
	if err != nil || st.ServerID != server {
		f.logger.Debug().Err(err).Str("server", server).Uint64("term", order.term).Msg("server did not accept the order to follow the primary")
		return false
	}
	return true
}

// recordResult records the end of a call. It requests a scan when many calls
// with new orders are running, because others are probably waiting for a slot.
func (f *Followers) recordResult(s *followState, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delay := f.opts.FollowEvery
	if ok {
		s.failures = 0
	} else {
		delay = followRetryDelay << min(s.failures, maxFollowDoublings)
		s.failures++
	}
	s.running = false
	s.nextCall = time.Now().Add(delay)
	if len(f.newOrders) > maxNewOrderCalls/2 {
		select {
		case f.wake <- struct{}{}:
		default:
		}
	}
}
