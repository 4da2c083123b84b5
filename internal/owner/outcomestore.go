package owner

import (
	"context"
	"sync"
	"time"

	"github.com/arbutusring/arbutusring/internal/ownerrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
)

const (
	// briefShare is the part of the record limit for repeatable cycles, and
	// for refusals. In an overload both come far faster than writes run, and
	// must not take their place. Records of repeatable cycles only save work;
	// refusals guard against late copies, which come within the 1 s in which
	// silent connections between hosts are replaced.
	briefShare = 4
	// keptShare is the part of OutcomeKeep for which the outcome of a cycle
	// that is not repeatable is kept even if the store is full.
	keptShare = 6
)

// outcomeStore keeps the answers of cycles by request id, so that a repeated
// request is never executed twice. Refusals are kept too: a copy of a refused
// request that arrives late must not run after the caller was told not_run.
type outcomeStore struct {
	limits   Limits
	disabled bool

	mu         sync.Mutex
	records    map[recordKey]*record
	firm       []*record // may have run, not repeatable, oldest first
	firmBodies int       // records of firm before this index have no Messages
	refused    []*record // not run, not repeatable, oldest first
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
		if time.Since(s.firm[0].at) < s.limits.OutcomeKeep/keptShare {
			return nil, false, errkind.New(errkind.Overloaded, "the host holds too many outcomes")
		}
		s.firm = s.drop(s.firm, 1)
		s.firmBodies = max(0, s.firmBodies-1)
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
	switch {
	case r.repeatable:
		s.repeatable = append(s.repeatable, r)
	case reply.Kind.Info().Outcome == errkind.NotRun:
		s.refused = append(s.refused, r)
	default:
		s.firm = append(s.firm, r)
	}
	s.bytes += len(reply.Messages)
	s.trim()
}

// trim keeps the bounds. A record that is not repeatable loses only its
// Messages.
func (s *outcomeStore) trim() {
	for len(s.repeatable) > s.limits.OutcomeRecords/briefShare ||
		(s.bytes > s.limits.OutcomeBytes && len(s.repeatable) > 0) {
		s.repeatable = s.drop(s.repeatable, 1)
	}
	for len(s.refused) > s.limits.OutcomeRecords/briefShare {
		s.refused = s.drop(s.refused, 1)
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

// drop forgets the first n records of a queue.
func (s *outcomeStore) drop(queue []*record, n int) []*record {
	for i, r := range queue[:n] {
		s.bytes -= len(r.reply.Messages)
		if s.records[r.key] == r {
			delete(s.records, r.key)
		}
		queue[i] = nil // the array keeps what it points to in memory
	}
	return queue[n:]
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
	s.firm = s.drop(s.firm, n)
	s.firmBodies = max(0, s.firmBodies-n)
	s.refused = s.drop(s.refused, s.expired(s.refused))
	s.repeatable = s.drop(s.repeatable, s.expired(s.repeatable))
}

func (s *outcomeStore) expired(queue []*record) int {
	n := 0
	for n < len(queue) && time.Since(queue[n].at) > s.limits.OutcomeKeep {
		n++
	}
	return n
}

func (s *outcomeStore) size() (records, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.records), s.bytes
}
