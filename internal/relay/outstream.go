package relay

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutusring/arbutusring/internal/clock"
	"github.com/arbutusring/arbutusring/internal/peer"
	"github.com/arbutusring/arbutusring/internal/statement"
	"github.com/arbutusring/arbutusring/pkg/errkind"
)

const (
	// maxKeptTexts and maxKeptTextBytes bound the texts of prepared statements that a
	// connector keeps for one stream. Further ones are sent with each EXECUTE.
	maxKeptTexts     = 1000
	maxKeptTextBytes = 1 << 20
)

// preparedKey identifies a prepared statement.
type preparedKey struct {
	text     string
	readOnly bool
}

// outStream is a stream to a connector, at the sender.
type outStream struct {
	address string
	stream  *peer.Stream
	started time.Time // on clock.Now
	retired bool      // closed by this host because it was unused; guarded by Client.mu
	users   atomic.Int64
	lastUse atomic.Int64 // in Unix ns

	mu        sync.Mutex
	calls     map[uint32]*pendingCall // by id; nil after the end of the stream
	lastCall  uint32
	lastConn  uint32
	texts     map[preparedKey]uint32
	textBytes int
}

// pendingCall is a call without an answer yet.
type pendingCall struct {
	id     uint32
	kind   statement.Kind // Unknown for a probe
	done   chan struct{}  // closed when the answer or err is set
	end    uint64         // of its frame in the stream
	answer answer
	result statement.Answer // of answer, for a statement that the server answered
	err    error
}

func newOutStream(address string, s *peer.Stream) *outStream {
	out := &outStream{address: address, stream: s, started: clock.Now(), calls: make(map[uint32]*pendingCall), texts: make(map[preparedKey]uint32)}
	out.lastUse.Store(time.Now().UnixNano())
	return out
}

// hello sends the first frame. A failure is seen by receive.
func (s *outStream) hello(host string) {
	_ = withFrame(kindHello, &hello{Version: version, Host: host, Sent: s.sentAt()}, func(frame []byte) error {
		_, err := s.stream.Send(frame)
		return err
	})
}

// sentAt returns the time for the Sent field of a message.
func (s *outStream) sentAt() int64 { return clock.Now().Sub(s.started).Milliseconds() }

// unusedFor returns the time since the last use; 0 if the stream is in use.
func (s *outStream) unusedFor(now time.Time) time.Duration {
	if s.users.Load() > 0 {
		return 0
	}
	return now.Sub(time.Unix(0, s.lastUse.Load()))
}

// use counts a logical connection that has a call or a transaction on the stream.
func (s *outStream) use(n int64) {
	s.users.Add(n)
	s.stream.Use(n)
	s.lastUse.Store(time.Now().UnixNano())
}

// newConn returns the id of a logical connection on this stream.
func (s *outStream) newConn() uint32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastConn++
	return s.lastConn
}

// startCall sends a statement. The text of a prepared statement is sent once. After an
// error nothing was sent.
func (s *outStream) startCall(m *call, prepared *preparedKey) (*pendingCall, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := false
	if prepared != nil {
		m.PreparedID, known = s.texts[*prepared]
		m.PreparedRead = prepared.readOnly
		if !known {
			m.PreparedText = prepared.text
			if len(s.texts) < maxKeptTexts && s.textBytes+len(prepared.text) <= maxKeptTextBytes {
				m.PreparedID = uint32(len(s.texts) + 1)
			}
		}
	}
	p, err := s.start(kindCall, m.Kind, func(id uint32) any { m.ID = id; return m })
	if err == nil && !known && m.PreparedID != 0 {
		s.texts[*prepared] = m.PreparedID
		s.textBytes += len(prepared.text)
	}
	return p, err
}

// startProbe sends a probe.
func (s *outStream) startProbe(m *probe) (*pendingCall, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.start(kindProbe, statement.Unknown, func(id uint32) any { m.ID = id; return m })
}

// start sends a message that will be answered. The caller holds mu.
func (s *outStream) start(frameKind byte, kind statement.Kind, message func(id uint32) any) (*pendingCall, error) {
	if s.calls == nil {
		return nil, s.failure(errkind.ConnectFailed, peer.ErrStreamClosed)
	}
	s.stream.Expect()
	id := s.nextCall()
	p := &pendingCall{id: id, kind: kind, done: make(chan struct{})}
	err := withFrame(frameKind, message(id), func(frame []byte) error {
		if len(frame) > maxStatementBytes {
			return errkind.New(errkind.BadRequest, "the statement has %d bytes with its session state, the limit is %d", len(frame), maxStatementBytes)
		}
		var err error
		if p.end, err = s.stream.Send(frame); err != nil {
			return s.failure(errkind.ConnectFailed, err)
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	s.calls[id] = p
	return p, nil
}

// nextCall returns an id that no call in progress has. The caller holds mu.
func (s *outStream) nextCall() uint32 {
	for {
		s.lastCall++
		if _, used := s.calls[s.lastCall]; !used {
			return s.lastCall
		}
	}
}

// forget removes a call whose answer is no longer waited for.
func (s *outStream) forget(p *pendingCall) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.calls, p.id)
}

// cancel says that a logical connection was closed. If that can't be sent, the stream
// is ended: the connector would keep a connection and its transaction for ever.
func (s *outStream) cancel(conn uint32) {
	err := withFrame(kindCancel, &cancel{Conn: conn}, func(frame []byte) error {
		_, err := s.stream.Send(frame)
		return err
	})
	if err != nil {
		s.stream.Abort()
	}
}

// receive hands the answers to their calls until the stream fails.
func (s *outStream) receive() error {
	for {
		frame, err := s.stream.Receive()
		if err != nil {
			return err
		}
		kind, body := splitFrame(frame)
		if kind != kindAnswer {
			return errkind.New(errkind.BadRequest, "unexpected frame %q from a connector", kind)
		}
		var a answer
		if err := decodeBody(body, &a); err != nil {
			return err
		}
		if err := s.deliver(a); err != nil {
			return err
		}
	}
}

// deliver hands an answer to its call. An answer to no call is late, or a copy, and is
// ignored. After an error the call is still in progress.
func (s *outStream) deliver(a answer) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.calls[a.ID]
	if p == nil {
		return nil
	}
	if p.kind != statement.Unknown && a.Err == "" {
		var err error
		if p.result, err = a.statementAnswer(); err != nil {
			return err
		}
		if p.needsReceipt() && p.result.Receipt == "" {
			p.err = s.failure(errkind.ServerLost, errNoReceipt)
		}
	}
	p.answer = a
	delete(s.calls, a.ID)
	close(p.done)
	return nil
}

// needsReceipt reports whether the statement must not succeed without a receipt.
func (p *pendingCall) needsReceipt() bool {
	return p.result.Failure == nil && p.kind != statement.Begin && p.kind != statement.Rollback
}

// fail ends the calls in progress and returns their number. Calls whose frame was not
// written as a whole have certainly not run.
func (s *outStream) fail(cause error) int {
	<-s.stream.Ended()
	s.mu.Lock()
	calls := s.calls
	s.calls = nil
	s.mu.Unlock()
	for _, p := range calls {
		kind := errkind.ServerLost
		if p.end > s.stream.Written() {
			kind = errkind.ConnectFailed
		}
		p.err = s.failure(kind, cause)
		close(p.done)
	}
	return len(calls)
}

// failure returns the error of a call that failed because of the connector.
func (s *outStream) failure(kind errkind.Kind, cause error) error {
	return &connectorError{Host: s.address, Err: errkind.Wrap(kind, cause, "relaying")}
}

// errNoReceipt is the cause of a call whose answer lacks the receipt of the server.
var errNoReceipt = errors.New("the answer has no receipt")

// errDeadline is the cause of a call that was not answered in time.
var errDeadline = errors.New("the deadline has passed")
