package control

import (
	"context"
	"sync"
	"time"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/rs/zerolog"
)

// followCalls limits the calls of Members.Follow at one time.
const followCalls = 128

// followRetry is the delay before a failed call is repeated.
const followRetry = 500 * time.Millisecond

// Followers tells the servers of each group, members or not, to follow the
// primary. A server is told again when the primary or its own address
// changes, after it has been silent, and every Options.FollowEvery. It runs
// during one leadership.
type Followers struct {
	opts    Options
	machine *Machine
	logger  zerolog.Logger
	slots   chan struct{}

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
	order   order
	running bool
	next    time.Time // next call, unless the order changes
}

func newFollowers(opts Options, machine *Machine) *Followers {
	return &Followers{
		opts: opts, machine: machine,
		logger: opts.Logger.With().Str("part", "followers").Logger(),
		slots:  make(chan struct{}, followCalls),
		told:   make(map[string]*telling),
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
	tick := time.NewTicker(planEvery)
	defer tick.Stop()
	var group sync.WaitGroup
	defer group.Wait()
	for {
		changed := f.machine.Changed()
		f.scan(ctx, &group)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-tick.C:
		}
	}
}

// scan starts the calls that are due, as far as there are free slots.
func (f *Followers) scan(ctx context.Context, group *sync.WaitGroup) {
	v := f.machine.View()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
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
			if t.running || (t.order == want && now.Before(t.next)) {
				continue
			}
			select {
			case f.slots <- struct{}{}:
			default:
				return // the next tick goes on
			}
			t.order, t.running = want, true
			group.Go(func() { f.tell(ctx, id, want) })
		}
	}
}

func (f *Followers) tell(ctx context.Context, server string, want order) {
	callCtx, cancel := context.WithTimeout(ctx, f.opts.StepTimeout)
	defer cancel()
	st, err := f.opts.Members.Follow(callCtx, want.address, want.primary, want.term)
	delay := f.opts.FollowEvery
	if err != nil || st.ServerID != server {
		f.logger.Debug().Err(err).Str("server", server).Uint64("term", want.term).Msg("server was not told whom to follow")
		delay = followRetry
	}
	<-f.slots
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.told[server]
	t.running = false
	t.next = time.Now().Add(delay)
}
