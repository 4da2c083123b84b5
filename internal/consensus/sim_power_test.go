package consensus_test

import (
	"maps"
	"slices"
	"time"

	"github.com/arbutusring/arbutusring/internal/consensus"
)

const (
	simSendWorkers  = 4
	simSendQueueLen = 256
	simSendTimeout  = 300 * time.Millisecond
)

// simSender sends the messages of one host to another one. A message to a machine
// without power keeps its worker waiting.
type simSender struct {
	free   [simSendWorkers]time.Duration // when each worker is free again
	starts []time.Duration               // when the sending of each queued message starts
}

// queue returns when the message arrives, if its queue has room and the receiver has
// power when its turn comes.
func (s *sim) queue(msg consensus.Message, at, delay time.Duration) (time.Duration, bool) {
	link := [2]string{msg.From.ID, msg.To.ID}
	q := s.senders[link]
	if q == nil {
		q = new(simSender)
		s.senders[link] = q
	}
	q.starts = slices.DeleteFunc(q.starts, func(t time.Duration) bool { return t <= s.now })
	if len(q.starts) >= simSendQueueLen {
		return 0, false
	}
	worker := 0
	for i := range q.free {
		if q.free[i] < q.free[worker] {
			worker = i
		}
	}
	start := max(at, q.free[worker])
	q.starts = append(q.starts, start)
	if start < s.hosts[msg.To.ID].returnAt {
		q.free[worker] = start + simSendTimeout
		return 0, false
	}
	q.free[worker] = start + delay
	return start + delay, true
}

// startWrite makes the host wait if its disk is slow.
func (s *sim) startWrite(h *simHost) {
	if h.slowWrites > 0 {
		h.slowWrites--
		h.busyUntil = s.now + s.slowWrite
	}
}

// endWrite handles the messages that have arrived during a slow write, as one cycle
// of a node.
func (s *sim) endWrite(h *simHost) {
	inbox := h.inbox
	h.busyUntil, h.inbox = 0, nil
	for _, msg := range inbox {
		h.machine.Step(h.localTime(s.now), msg)
	}
	h.machine.Tick(h.localTime(s.now))
	s.output(h)
}

// losePower ends all processes at once. Each starts again within spread.
func (s *sim) losePower(spread time.Duration) {
	for _, id := range s.ids {
		h := s.hosts[id]
		s.crash(h)
		h.returnAt = s.now + time.Duration(s.rand.Int64N(int64(spread)))
	}
	if s.senders != nil {
		clear(s.senders)
	}
}

// restorePower runs until every host has started again.
func (s *sim) restorePower() {
	ids := slices.SortedFunc(maps.Keys(s.hosts), func(a, b string) int {
		return int(s.hosts[a].returnAt - s.hosts[b].returnAt)
	})
	for _, id := range ids {
		h := s.hosts[id]
		s.run(h.returnAt - s.now)
		s.startHost(h)
		h.slowWrites = s.rand.IntN(6)
	}
}
