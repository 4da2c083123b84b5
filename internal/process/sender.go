package process

import (
	"context"
	"sync"
	"time"

	"github.com/arbutusring/arbutusring/internal/consensus"
)

const (
	// sendTimeout is longer than a round trip between regions. A later answer
	// has no value, because the message is repeated with the next heartbeat.
	sendTimeout = 300 * time.Millisecond
	// sendQueueLen is the number of queued messages to one host; further ones
	// are dropped.
	sendQueueLen = 256
	// sendWorkers is the number of concurrent sends to one host, so that a round
	// trip of 40 ms between regions does not limit the message rate.
	sendWorkers = 4
)

// sender sends the messages of the replicated log to the other control hosts
// without blocking. Messages may be dropped and reordered.
type sender struct {
	call func(ctx context.Context, address, method string, args, reply any) error

	tasks tasks

	mu     sync.Mutex
	queues map[string]chan consensus.Message // by address
	closed bool
}

func newSender(call func(ctx context.Context, address, method string, args, reply any) error) *sender {
	return &sender{call: call, queues: make(map[string]chan consensus.Message)}
}

// send queues a message, or drops it if the queue is full or the sender is closed: the
// log may still run when a planned stop has exceeded its time.
func (s *sender) send(to consensus.Member, m consensus.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	q := s.queues[to.Address]
	if q == nil {
		q = make(chan consensus.Message, sendQueueLen)
		s.queues[to.Address] = q
		for range sendWorkers {
			s.tasks.start(func(ctx context.Context) { s.loop(ctx, to.Address, q) })
		}
	}
	select {
	case q <- m:
	default:
	}
}

func (s *sender) loop(ctx context.Context, address string, q <-chan consensus.Message) {
	for {
		select {
		case m := <-q:
			s.deliver(ctx, address, &m)
		case <-ctx.Done():
			return
		}
	}
}

// deliver sends one message. Errors are ignored, because the log repeats what
// was not acknowledged.
func (s *sender) deliver(ctx context.Context, address string, m *consensus.Message) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	_ = s.call(ctx, address, "Consensus.Step", m, new(StepReply))
}

func (s *sender) close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.tasks.stop()
}

// StepReply is empty: a message is answered by a message of its own.
type StepReply struct{}

// consensusService receives the messages of the replicated log.
type consensusService struct {
	step func(consensus.Message)
}

// Step handles one message.
func (c *consensusService) Step(m *consensus.Message, _ *StepReply) error {
	c.step(*m)
	return nil
}
