package entry

import (
	"context"
	"sync"
	"time"

	"github.com/arbutusring/arbutusring/internal/limit"
	"github.com/arbutusring/arbutusring/internal/ownerrpc"
	"github.com/arbutusring/arbutusring/pkg/logpos"
	"github.com/arbutusring/arbutusring/pkg/policy"
)

// session is one caller session. Its cycles run one at a time, and only the cycle
// in progress uses the fields that mu doesn't guard. mu guards the fields that
// cancellation and the attempts of a hedge use concurrently.
type session struct {
	entry             *Entry
	group             *group
	number            uint64
	seq               uint64 // Entry.nextSeq at the start of the session
	lastRequestNumber uint64 // RequestID.Number of the last attempt

	attrs               attributes
	token               logpos.Position               // latest position of acknowledged writes and presented tokens
	minPosition         logpos.Position               // position that the primary confirmed after the start of the session
	minPositionResolved bool                          // minPosition is set, or a token makes it unnecessary
	tx                  *transaction                  // open transaction; nil if there is none
	stmts               map[string]*preparedStatement // by name; "" is the unnamed statement
	kept                limit.State                   // what stmts takes

	releases []pendingRelease // may include completed ones

	mu        sync.Mutex
	inflight  []attempt          // attempts that wait for an answer
	stopCycle context.CancelFunc // ends the cycle in progress; nil if there is none
}

// status returns the transaction status for ReadyForQuery: 'I', 'T' or 'E'.
func (s *session) status() byte {
	switch {
	case s.tx == nil:
		return 'I'
	case s.tx.abandoned || s.tx.aborted:
		return 'E'
	}
	return 'T'
}

func (s *session) nextID() ownerrpc.RequestID {
	s.lastRequestNumber++
	return ownerrpc.RequestID{Entry: s.entry.id, Session: s.number, Number: s.lastRequestNumber}
}

// removedGroupDeadline is the deadline of statements in open transactions of a
// group that the configuration no longer declares.
const removedGroupDeadline = 5 * time.Second

// effective returns the effective policy of the session's group and rank.
func (s *session) effective() policy.Effective {
	eff, ok := s.entry.view.Load().policyFor(s.group.name, s.attrs.rank)
	if !ok {
		// The group was removed while a transaction was open.
		eff.Deadline = removedGroupDeadline
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

// tokenText returns the encoded session token, or "" if the session has no
// position yet.
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

func (s *session) inflightAttempts() []attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]attempt(nil), s.inflight...)
}
