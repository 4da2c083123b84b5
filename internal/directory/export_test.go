package directory

import "github.com/arbutusring/arbutusring/internal/directoryrpc"

// Sessions exposes the leases of a leader to tests.
type Sessions struct{ s *sessions }

// NewSessions returns the leases of a new leader.
func NewSessions(opts Options) Sessions {
	opts = opts.withDefaults()
	return Sessions{newSessions(opts.TTL, opts.ClockDrift)}
}

// Sync records a Sync request and the reply that grants a lease.
func (s Sessions) Sync(args *directoryrpc.SyncArgs) {
	s.s.recordSync(args)
	s.s.recordGrant(args.Host)
}

// Released reports whether no host still uses a state older than version.
func (s Sessions) Released(version uint64) (done, allConfirmed bool) { return s.s.released(version) }
