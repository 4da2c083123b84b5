package directory

import "github.com/arbutusring/arbutusring/internal/directoryrpc"

// Sessions gives tests the leases of a leader.
type Sessions struct{ s *sessions }

// NewSessions returns the leases of a new leader.
func NewSessions(opts Options) Sessions {
	opts = opts.withDefaults()
	return Sessions{newSessions(opts.TTL, opts.Drift)}
}

// Heard records a request and the answer that grants a lease.
func (s Sessions) Heard(args *directoryrpc.SyncArgs) {
	s.s.heard(args)
	s.s.grant(args.Host)
}

// Released reports whether no host acts on a state before version.
func (s Sessions) Released(version uint64) (done, all bool) { return s.s.released(version) }
