package directory

import (
	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/pkg/logpos"
)

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
func (s Sessions) Released(version uint64) bool { return s.s.released(version) }

// RecordPrimary records that a primary of the group is about to be named.
func (s Sessions) RecordPrimary(group string) { s.s.recordPrimary(group) }

// ForgetSilent forgets the hosts whose leases expired long ago.
func (s Sessions) ForgetSilent() { s.s.forgetSilent() }

// Positions returns the highest reported position of the group, and whether it
// covers every commit that a host may have acknowledged.
func (s Sessions) Positions(group string, version uint64) (highest logpos.Position, complete bool) {
	return s.s.highestPosition(group), s.s.positionsComplete(group, version)
}

// AskedGroups returns the groups that hosts are asked about, and turns to the next.
func (s Sessions) AskedGroups() []string {
	groups, _ := s.s.askedGroups()
	s.s.announceSuspicions()
	return groups
}
