package directory

import (
	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/internal/statement"
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

// Lineage exposes the logs that the recorded primary continues to tests.
type Lineage struct{ l lineage }

// NewLineage returns the logs that a primary of the given term continues.
func NewLineage(term uint64, starts []directoryrpc.TermStart) Lineage {
	return Lineage{lineage{term, starts}}
}

// Holds reports whether a log has no commit that was rolled back.
func (l Lineage) Holds(st statement.ServerStatus) bool { return l.l.holds(st) }

// Includes reports whether a log includes every commit in force up to the required position.
func (l Lineage) Includes(received, required logpos.Position) bool {
	return l.l.includes(received, required)
}

// StartTerm returns starts with that of a new term.
var StartTerm = startTerm
