package owner

import (
	"context"
	"sync"
	"time"

	"github.com/arbutusring/arbutusring/internal/ownerrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// repeatableShare is the part of the record limit that repeatable cycles may
// use. Their records only save work, so they are dropped early.
const repeatableShare = 4

// outcomeStore keeps the answers of cycles by request id, so that a repeated
// request is never executed twice. Refusals are kept too: a copy of a refused
// request that arrives late must not run after the caller was told not_run.
type outcomeStore struct {
	limits   Limits
	disabled bool

	mu         sync.Mutex
	records    map[recordKey]*record
	firm       []*record // finished, not repeatable, oldest first
	firmBodies int       // records of firm before this index have no Messages
	repeatable []*record // finished, oldest first
	bytes      int       // of all stored Messages
}

func newOutcomeStore(limits Limits, disabled bool) *outcomeStore {
	return &outcomeStore{limits: limits, disabled: disabled, records: map[recordKey]*record{}}
}

// begin records the arrival of a cycle. It returns false with the present
// record if the cycle is known. The error refuses a cycle that could not be
// kept long enough.
func (s *outcomeStore) begin(key recordKey, repeatable bool, cancel context.CancelCauseFunc) (*record, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.records[key]; ok && !s.disabled {
		return r, false, nil
	}
	if !repeatable && len(s.firm) >= s.limits.OutcomeRecords {
		return nil, false, errkind.New(errkind.Overloaded, "the host holds too many outcomes")
	}
	r := &record{key: key, repeatable: repeatable, cancel: cancel, done: make(chan struct{})}
	s.records[key] = r
	return r, true, nil
}

// start marks a cycle as about to be sent. It is false if it was cancelled.
func (s *outcomeStore) start(r *record) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.state == recordCancelled {
		return false
	}
	r.state = recordRunning
	return true
}

// finish stores the answer of a cycle.
func (s *outcomeStore) finish(r *record, reply *ownerrpc.ExecReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.state != recordCancelled {
		r.state = recordDone
	}
	r.cancel = nil
	s.store(r, *reply)
}

func (s *outcomeStore) store(r *record, reply ownerrpc.ExecReply) {
	r.reply = reply
	r.at = time.Now()
	close(r.done)
	if r.repeatable {
		s.repeatable = append(s.repeatable, r)
	} else {
		s.firm = append(s.firm, r)
	}
	s.bytes += len(reply.Messages)
	s.trim()
}

// trim keeps the bounds. A record that is not repeatable loses only its
// Messages.
func (s *outcomeStore) trim() {
	for len(s.repeatable) > s.limits.OutcomeRecords/repeatableShare ||
		(s.bytes > s.limits.OutcomeBytes && len(s.repeatable) > 0) {
		s.forget(s.repeatable[0])
		s.repeatable[0] = nil // the array keeps what it points to in memory
		s.repeatable = s.repeatable[1:]
	}
	for s.bytes > s.limits.OutcomeBytes && s.firmBodies < len(s.firm) {
		r := s.firm[s.firmBodies]
		s.firmBodies++
		if len(r.reply.Messages) > 0 {
			s.bytes -= len(r.reply.Messages)
			r.reply.Messages = nil
			r.dropped = true
		}
	}
}

func (s *outcomeStore) forget(r *record) {
	s.bytes -= len(r.reply.Messages)
	if s.records[r.key] == r {
		delete(s.records, r.key)
	}
}

// cancel ends a cycle that has not started, also one that has not arrived.
// It is false if the cycle ran or may run.
func (s *outcomeStore) cancel(key recordKey) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.records[key]
	if !ok {
		r = &record{key: key, state: recordCancelled, done: make(chan struct{})}
		s.records[key] = r
		s.store(r, ownerrpc.ExecReply{ID: key.id, Kind: errkind.Cancelled, Detail: "cancelled before it arrived"})
		return true
	}
	switch r.state {
	case recordWaiting:
		r.state = recordCancelled
		r.cancel(errkind.New(errkind.Cancelled, "cancelled before it started"))
		return true
	case recordDone:
		return r.reply.Kind.Info().Outcome == errkind.NotRun
	case recordCancelled:
		return true
	}
	return false
}

// outcome returns the stored answer of a cycle.
func (s *outcomeStore) outcome(key recordKey) ownerrpc.OutcomeReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.records[key]
	if !ok {
		return ownerrpc.OutcomeReply{}
	}
	if r.at.IsZero() {
		return ownerrpc.OutcomeReply{Running: true}
	}
	return ownerrpc.OutcomeReply{Found: true, Reply: r.answer()}
}

// wait returns the answer of a record once it is there, or an answer of
// unknown outcome when ctx ends.
func (s *outcomeStore) wait(ctx context.Context, r *record) ownerrpc.ExecReply {
	select {
	case <-r.done:
	case <-ctx.Done():
		return ownerrpc.ExecReply{Kind: errkind.OutcomeUnknown, Detail: "the request is still being executed"}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return r.answer()
}

// answer returns the stored answer; the store's lock is held.
func (r *record) answer() ownerrpc.ExecReply {
	if r.dropped {
		return ownerrpc.ExecReply{ID: r.key.id, Kind: errkind.OutcomeUnknown, Detail: "the stored answer was dropped for lack of space"}
	}
	return r.reply
}

// sweep forgets answers that were kept long enough.
func (s *outcomeStore) sweep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.expired(s.firm)
	s.firm = s.firm[n:]
	s.firmBodies = max(0, s.firmBodies-n)
	s.repeatable = s.repeatable[s.expired(s.repeatable):]
}

func (s *outcomeStore) expired(records []*record) int {
	n := 0
	for n < len(records) && time.Since(records[n].at) > s.limits.OutcomeKeep {
		s.forget(records[n])
		records[n] = nil // the array keeps what it points to in memory
		n++
	}
	return n
}

func (s *outcomeStore) size() (records, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.records), s.bytes
}
