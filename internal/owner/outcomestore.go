package owner

import (
	"context"
	"sync"
	"time"

	"github.com/arbutusring/arbutusring/internal/ownerrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
)

const (
	// nonWriteRecordsDivisor divides Limits.OutcomeRecords to give the limit for
	// records of repeatable cycles, and the same limit for refusals. In an
	// overload both arrive far faster than writes are executed, and they must
	// not evict the records of writes. Records of repeatable cycles only save
	// work; refusals guard against late copies of a request, which arrive
	// within the 1 s in which unresponsive connections between hosts are
	// replaced.
	nonWriteRecordsDivisor = 4
	// minRetentionDivisor divides Limits.OutcomeRetention to give the time for
	// which the outcome of a cycle that is not repeatable is kept even if the
	// store is full.
	minRetentionDivisor = 6
)

// outcomeStore keeps the answers to cycles by request id, so that a repeated
// request is not executed again. Refusals are kept too: a late copy of a
// refused request must not run after the caller has received not_run.
type outcomeStore struct {
	limits   Limits
	disabled bool

	mu              sync.Mutex
	records         map[recordKey]*record
	executed        []*record // records of cycles that may have run and are not repeatable, oldest first
	executedTrimmed int       // the Messages of records in executed before this index were removed
	refused         []*record // records of cycles that did not run and are not repeatable, oldest first
	repeatable      []*record // records of finished repeatable cycles, oldest first
	messageBytes    int       // total size of the stored Messages
}

func newOutcomeStore(limits Limits, disabled bool) *outcomeStore {
	return &outcomeStore{limits: limits, disabled: disabled, records: map[recordKey]*record{}}
}

// begin records the arrival of a cycle and returns its record and true, or the
// existing record and false if the cycle is known. It returns an error if the
// id is incomplete or that of a cycle with other messages, and if the store is full
// of outcomes that must still be kept. digest is that of the messages.
func (s *outcomeStore) begin(key recordKey, digest uint64, repeatable bool, cancel context.CancelCauseFunc) (*record, bool, error) {
	if key.id.Entry == "" || key.id.Number == 0 {
		return nil, false, errkind.New(errkind.BadRequest, "the request has no id")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.records[key]; ok && !s.disabled {
		if r.arrived && r.digest != digest {
			return nil, false, errkind.New(errkind.BadRequest, "another request has the id %v", key.id)
		}
		return r, false, nil
	}
	if !repeatable && len(s.executed) >= s.limits.OutcomeRecords {
		if time.Since(s.executed[0].storedAt) < s.limits.OutcomeRetention/minRetentionDivisor {
			return nil, false, errkind.New(errkind.Overloaded, "the host holds too many outcomes")
		}
		s.executed = s.evict(s.executed, 1)
		s.executedTrimmed = max(0, s.executedTrimmed-1)
	}
	r := &record{key: key, arrived: true, digest: digest, repeatable: repeatable, cancel: cancel, done: make(chan struct{})}
	s.records[key] = r
	return r, true, nil
}

// start marks a cycle as about to be sent. It returns false if the cycle was
// cancelled.
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

// store sets the reply of a record and makes room for it. s.mu is held.
func (s *outcomeStore) store(r *record, reply ownerrpc.ExecReply) {
	r.reply = reply
	r.storedAt = time.Now()
	close(r.done)
	switch {
	case r.repeatable:
		s.repeatable = append(s.repeatable, r)
	case reply.Kind.Info().Outcome == errkind.NotRun:
		s.refused = append(s.refused, r)
	default:
		s.executed = append(s.executed, r)
	}
	s.messageBytes += len(reply.Messages)
	s.trim()
}

// trim enforces the limits. To save memory, it removes records of repeatable
// cycles, but only the Messages of cycles that may have run and are not
// repeatable. s.mu is held.
func (s *outcomeStore) trim() {
	for len(s.repeatable) > s.limits.OutcomeRecords/nonWriteRecordsDivisor ||
		(s.messageBytes > s.limits.OutcomeBytes && len(s.repeatable) > 0) {
		s.repeatable = s.evict(s.repeatable, 1)
	}
	for len(s.refused) > s.limits.OutcomeRecords/nonWriteRecordsDivisor {
		s.refused = s.evict(s.refused, 1)
	}
	for s.messageBytes > s.limits.OutcomeBytes && s.executedTrimmed < len(s.executed) {
		r := s.executed[s.executedTrimmed]
		s.executedTrimmed++
		if len(r.reply.Messages) > 0 {
			s.messageBytes -= len(r.reply.Messages)
			r.reply.Messages = nil
			r.messagesDropped = true
		}
	}
}

// evict removes the first n records of a queue and returns the rest.
func (s *outcomeStore) evict(queue []*record, n int) []*record {
	for i, r := range queue[:n] {
		s.messageBytes -= len(r.reply.Messages)
		if s.records[r.key] == r {
			delete(s.records, r.key)
		}
		queue[i] = nil // the underlying array would keep the record reachable
	}
	return queue[n:]
}

// cancel cancels a cycle that has not started. A cycle that has not arrived is
// recorded as cancelled, so that it is refused when it arrives. It returns
// false if the cycle ran or may run.
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
	if r.storedAt.IsZero() {
		return ownerrpc.OutcomeReply{Running: true}
	}
	return ownerrpc.OutcomeReply{Found: true, Reply: r.answer()}
}

// wait waits for the answer of a record and returns it. If ctx ends first, it
// returns an answer with an unknown outcome.
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

// answer returns the stored answer. outcomeStore.mu is held.
func (r *record) answer() ownerrpc.ExecReply {
	if r.messagesDropped {
		return ownerrpc.ExecReply{ID: r.key.id, Kind: errkind.OutcomeUnknown, Detail: "the stored answer was removed to limit memory"}
	}
	return r.reply
}

// sweep removes answers older than Limits.OutcomeRetention.
func (s *outcomeStore) sweep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.expiredCount(s.executed)
	s.executed = s.evict(s.executed, n)
	s.executedTrimmed = max(0, s.executedTrimmed-n)
	s.refused = s.evict(s.refused, s.expiredCount(s.refused))
	s.repeatable = s.evict(s.repeatable, s.expiredCount(s.repeatable))
}

// expiredCount returns how many records at the head of a queue are older than
// Limits.OutcomeRetention. s.mu is held.
func (s *outcomeStore) expiredCount(queue []*record) int {
	n := 0
	for n < len(queue) && time.Since(queue[n].storedAt) > s.limits.OutcomeRetention {
		n++
	}
	return n
}

func (s *outcomeStore) size() (records, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.records), s.messageBytes
}
