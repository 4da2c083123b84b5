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

var errNoAnswer = errors.New("no answer")

// Members simulates the backend servers of a fleet, which answer control after a
// delay.
type Members struct {
	// Delay returns the duration of one call to a server in a data centre.
	Delay func(dataCentre string) time.Duration
	// Calls counts the calls to all servers.
	Calls atomic.Int64

	mu      sync.Mutex
	servers map[string]*member // by address
}

type member struct {
	server       controlrpc.Server
	term         uint64
	primary      bool
	down         bool
	followedTerm uint64 // latest term in which it was ordered to follow the primary
	pos          logpos.Position
}

// NewMembers returns the members of the fleet at term 1.
func NewMembers(f Fleet, delay func(dataCentre string) time.Duration) *Members {
	m := &Members{Delay: delay, servers: make(map[string]*member)}
	for g := range f.Groups {
		for k := range DesignMembers {
			s := f.Server(g, k)
			m.servers[s.Address] = &member{server: s, term: 1, primary: k == 0, pos: logpos.Position{Term: 1, LSN: 1}}
		}
	}
	return m
}

// FailDataCentre makes every server of a data centre unresponsive.
func (m *Members) FailDataCentre(dataCentre string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.servers {
		s.down = s.down || s.server.DataCentre == dataCentre
	}
}

// HasFollower reports whether a reachable member of group g has been told to
// follow the primary of a term. Together with the primary it makes a majority of
// the three members; until then no write of that term is acknowledged.
func (m *Members) HasFollower(f Fleet, g int, term uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for k := range DesignMembers {
		if s := m.servers[f.Server(g, k).Address]; !s.down && s.followedTerm >= term {
			return true
		}
	}
	return false
}

// ControlMembers returns the functions by which control calls the servers.
func (m *Members) ControlMembers() control.Members {
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
				s.term, s.primary, s.followedTerm = max(s.term, term), false, max(s.followedTerm, term)
			})
		},
	}
}

func (m *Members) call(ctx context.Context, address string, update func(*member)) (control.MemberStatus, error) {
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
		update(s)
	}
	st := control.MemberStatus{ServerID: s.server.ID, Term: s.term, Primary: s.primary, Received: s.pos, Applied: s.pos}
	m.mu.Unlock()
	if down {
		<-ctx.Done()
		return control.MemberStatus{}, errNoAnswer
	}
	return st, nil
}
