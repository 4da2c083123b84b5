package entry

import (
	"context"
	"sync"
	"time"

	"github.com/arbutusring/arbutusring/internal/ownerrpc"
	"github.com/arbutusring/arbutusring/pkg/logpos"
	"github.com/arbutusring/arbutusring/pkg/policy"
)

// session is one caller session. Only the cycle in progress uses it, and the
// cycles of a session run one at a time; mu guards what Cancel and Dump read.
type session struct {
	entry  *Entry
	group  *group
	number uint64
	seq    uint64 // Entry.nextSeq when the session was opened
	cycles uint64 // last RequestID.Number

	attrs   attributes
	token   logpos.Position // later of the token presented and the acknowledged writes
	floor   logpos.Position // confirmed position at the start of the session
	floored bool            // floor is set, or a token makes it unnecessary
	tx      *transaction    // nil outside of a transaction
	stmts   map[string]*prepared

	releases []pendingRelease // abandoned transactions

	mu       sync.Mutex
	inflight []attempt          // requests that wait for an answer
	stop     context.CancelFunc // ends the cycle in progress; nil if there is none
}

// status returns the transaction status for ReadyForQuery.
func (s *session) status() byte {
	switch {
	case s.tx == nil:
		return 'I'
	case s.tx.failed || s.tx.aborted:
		return 'E'
	}
	return 'T'
}

func (s *session) nextID() ownerrpc.RequestID {
	s.cycles++
	return ownerrpc.RequestID{Entry: s.entry.id, Session: s.number, Number: s.cycles}
}

// removedDeadline is the deadline of statements of open transactions when the
// configuration no longer declares the group.
const removedDeadline = 5 * time.Second

func (s *session) effective() policy.Effective {
	eff, ok := s.entry.view.Load().policyFor(s.group.name, s.attrs.rank)
	if !ok {
		// The group was removed while a transaction is open.
		eff.Deadline = removedDeadline
	}
	return eff
}

func (s *session) maxStaleness(eff policy.Effective) time.Duration {
	if s.attrs.maxStaleness >= 0 {
		return s.attrs.maxStaleness
	}
	return eff.MaxStaleness
}

func (s *session) deadline(eff policy.Effective) time.Duration {
	if s.attrs.deadline > 0 {
		return s.attrs.deadline
	}
	return eff.Deadline
}

func (s *session) isRepeatable(read bool) bool {
	if s.attrs.repeatable == repeatableDefault {
		return read
	}
	return s.attrs.repeatable == repeatableOn
}

// tokenText returns the session token, or "" before the first position.
func (s *session) tokenText() string {
	if s.token == (logpos.Position{}) {
		return ""
	}
	return logpos.Token{Group: s.group.name, Position: s.token}.String()
}

func (s *session) track(a attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inflight = append(s.inflight, a)
}

func (s *session) untrack(id ownerrpc.RequestID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, a := range s.inflight {
		if a.id == id {
			s.inflight = append(s.inflight[:i], s.inflight[i+1:]...)
			break
		}
	}
	if len(s.inflight) == 0 {
		s.inflight = nil
	}
}

func (s *session) waiting() []attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]attempt(nil), s.inflight...)
}
