package capacity

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutusring/arbutusring/internal/control"
	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/pkg/logpos"
)

var errSilent = errors.New("no answer")

// Members are fake backend servers that answer control after a delay.
type Members struct {
	// Delay is the time of one call, by data centre of the server.
	Delay func(centre string) time.Duration
	// Calls counts all calls.
	Calls atomic.Int64

	mu      sync.Mutex
	servers map[string]*member // by address
}

type member struct {
	server  controlrpc.Server
	term    uint64
	primary bool
	down    bool
	follows uint64 // term at which it was told whom to follow
	pos     logpos.Position
}

// NewMembers returns the members of the fleet at term 1.
func NewMembers(f Fleet, delay func(centre string) time.Duration) *Members {
	m := &Members{Delay: delay, servers: make(map[string]*member)}
	for g := range f.Groups {
		for k := range DesignMembers {
			s := f.Server(g, k)
			m.servers[s.Address] = &member{server: s, term: 1, primary: k == 0, pos: logpos.Position{Term: 1, LSN: 1}}
		}
	}
	return m
}

// Lose makes every server of a data centre silent.
func (m *Members) Lose(centre string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.servers {
		s.down = s.down || s.server.DataCentre == centre
	}
}

// Follows reports whether a member of a group, and with it a majority of three
// together with the primary, has been told to follow the primary of a term.
// Until then no write of that term is acknowledged.
func (m *Members) Follows(f Fleet, g int, term uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for k := range DesignMembers {
		if s := m.servers[f.Server(g, k).Address]; !s.down && s.follows >= term {
			return true
		}
	}
	return false
}

// Functions returns the calls for control.
func (m *Members) Functions() control.Members {
	return control.Members{
		Status: func(ctx context.Context, address string) (control.MemberStatus, error) {
			return m.call(ctx, address, func(*member) {})
		},
		Fence: func(ctx context.Context, address string, term uint64) (control.MemberStatus, error) {
			return m.call(ctx, address, func(s *member) { s.term, s.primary = max(s.term, term), false })
		},
		Promote: func(ctx context.Context, address string, term uint64) (control.MemberStatus, error) {
			return m.call(ctx, address, func(s *member) { s.term, s.primary = max(s.term, term), true })
		},
		Follow: func(ctx context.Context, address, _ string, term uint64) (control.MemberStatus, error) {
			return m.call(ctx, address, func(s *member) {
				s.term, s.primary, s.follows = max(s.term, term), false, max(s.follows, term)
			})
		},
	}
}

func (m *Members) call(ctx context.Context, address string, act func(*member)) (control.MemberStatus, error) {
	m.Calls.Add(1)
	m.mu.Lock()
	s := m.servers[address]
	m.mu.Unlock()
	select {
	case <-time.After(m.Delay(s.server.DataCentre)):
	case <-ctx.Done():
		return control.MemberStatus{}, ctx.Err()
	}
	m.mu.Lock()
	down := s.down
	if !down {
		act(s)
	}
	st := control.MemberStatus{ServerID: s.server.ID, Term: s.term, Primary: s.primary, Received: s.pos, Applied: s.pos}
	m.mu.Unlock()
	if down {
		<-ctx.Done()
		return control.MemberStatus{}, errSilent
	}
	return st, nil
}
