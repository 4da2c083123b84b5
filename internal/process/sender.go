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
	// maxUnanswered is the number of messages to one host whose arrival it has not
	// confirmed yet. Heartbeats, on which the lease depends, queue behind other
	// messages, so a round trip of 40 ms between regions must not limit their rate.
	maxUnanswered = 64
)

// sender sends the messages of the replicated log to the other control hosts
// without blocking. Messages may be dropped and reordered.
type sender struct {
	start startFunc
	tasks tasks

	mu     sync.Mutex
	queues map[string]chan consensus.Message // by address
	closed bool
}

// startFunc sends a request, as peer.Pool.Start does.
type startFunc func(ctx context.Context, address, method string, args, reply any) (wait func(context.Context) error, err error)

func newSender(start startFunc) *sender {
	return &sender{start: start, queues: make(map[string]chan consensus.Message)}
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
		s.tasks.start(func(ctx context.Context) { s.loop(ctx, to.Address, q) })
	}
	select {
	case q <- m:
	default:
	}
}

// loop sends the queued messages in order until ctx ends. If the host can't be reached,
// it drops those that are queued, because the log repeats what was not acknowledged.
func (s *sender) loop(ctx context.Context, address string, q <-chan consensus.Message) {
	unanswered := make(chan struct{}, maxUnanswered)
	for {
		var m consensus.Message
		select {
		case m = <-q:
		case <-ctx.Done():
			return
		}
		select {
		case unanswered <- struct{}{}:
		case <-ctx.Done():
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, sendTimeout)
		wait, err := s.start(callCtx, address, "Consensus.Step", &m, new(StepReply))
		if err != nil {
			cancel()
			<-unanswered
			drop(q)
			continue
		}
		s.tasks.start(func(context.Context) {
			defer cancel()
			_ = wait(callCtx) // a message that got lost is repeated by the log
			<-unanswered
		})
	}
}

// drop empties the queue.
func drop(q <-chan consensus.Message) {
	for {
		select {
		case <-q:
		default:
			return
		}
	}
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
