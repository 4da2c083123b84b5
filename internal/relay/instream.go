package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/arbutusring/arbutusring/internal/clock"
	"github.com/arbutusring/arbutusring/internal/gateway"
	"github.com/arbutusring/arbutusring/internal/peer"
	"github.com/arbutusring/arbutusring/internal/statement"
	"github.com/arbutusring/arbutusring/pkg/errkind"
)

const (
	// maxCallsPerStream bounds the statements of one host in progress at a connector.
	// The schedulers of the sender let fewer through; above the limit they are refused.
	maxCallsPerStream = 2048
	// maxRemaining bounds the time that a sender may ask for. Statement timeouts are
	// below 30 days, which is more than any statement of a peer needs.
	maxRemaining = time.Hour
	// maxStartDelay is the longest time from the sending of a statement by its host to
	// its sending to the server. The host checks its lease, keys and the state of the
	// server immediately before it sends: a lease lasts 2.2 s, a withdrawn key must have
	// no effect after 5 s, and a draining server, which gets statements for 4 s, gets
	// none after 7 s.
	maxStartDelay = 1500 * time.Millisecond
)

// limits are the latest times for a statement to get a connection, to be sent to the
// server and to be answered, on clock.Now.
type limits struct{ borrow, start, end time.Time }

// inStream is a stream from a sender, at the connector.
type inStream struct {
	service *Service
	stream  *peer.Stream
	ctx     context.Context // ends with the stream
	cancel  context.CancelFunc
	calls   sync.WaitGroup

	mu        sync.Mutex
	host      string // of hello
	greeted   bool
	started   time.Time            // on clock.Now
	transit   transit              // used by receive only
	conns     map[uint32]*lentConn // by the sender's id; those with a statement or transaction
	running   int                  // calls and probes in progress
	texts     map[uint32]gateway.PreparedText
	textBytes int
}

// lentConn is a logical connection with a statement in progress or an open
// transaction. Its fields are guarded by inStream.mu.
type lentConn struct {
	ctx       context.Context // ends when the sender closes the logical connection
	cancel    context.CancelFunc
	loan      *gateway.Loan // nil while the statement waits for a connection
	busy      bool          // a statement is in progress
	cancelled bool
}

func newInStream(service *Service, s *peer.Stream) *inStream {
	in := &inStream{service: service, stream: s, started: clock.Now(), conns: make(map[uint32]*lentConn), texts: make(map[uint32]gateway.PreparedText)}
	in.ctx, in.cancel = context.WithCancel(context.Background())
	return in
}

// name returns the host that the stream comes from, as it says itself.
func (in *inStream) name() string {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.host
}

// isOrdinary reports whether a stream ended because of the network or a stop of either
// host, and not because of what was received.
func (in *inStream) isOrdinary(err error) bool {
	var netErr net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) || errors.Is(err, peer.ErrStreamClosed) ||
		errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &netErr) || errors.Is(err, syscall.ECONNRESET)
}

// receive handles the frames until the stream ends, and returns the cause.
func (in *inStream) receive() error {
	for {
		frame, err := in.stream.Receive()
		if err != nil {
			return err
		}
		kind, body := splitFrame(frame)
		if err := in.handle(kind, body); err != nil {
			return err
		}
	}
}

// handle handles one frame. An error ends the stream.
func (in *inStream) handle(kind byte, body []byte) error {
	if !in.greeted && kind != kindHello {
		return errkind.New(errkind.BadRequest, "the first frame is %q", kind)
	}
	switch kind {
	case kindHello:
		return in.greet(body)
	case kindCall:
		m := new(call)
		if err := decodeBody(body, m); err != nil {
			return err
		}
		return in.startCall(m)
	case kindCancel:
		var m cancel
		if err := decodeBody(body, &m); err != nil {
			return err
		}
		in.cancelConn(m.Conn)
		return nil
	case kindProbe:
		m := new(probe)
		if err := decodeBody(body, m); err != nil {
			return err
		}
		return in.startProbe(m)
	}
	return errkind.New(errkind.BadRequest, "unknown frame %q", kind)
}

func (in *inStream) greet(body []byte) error {
	var m hello
	if err := decodeBody(body, &m); err != nil {
		return err
	}
	if m.Version < 1 || m.Version > version {
		return errkind.New(errkind.Unsupported, "version %d of the relay protocol is not known", m.Version)
	}
	if err := checkSent(m.Sent); err != nil {
		return err
	}
	in.delay(m.Sent)
	in.mu.Lock()
	defer in.mu.Unlock()
	in.host, in.greeted = m.Host, true
	return nil
}

// delay returns how long a frame was under way, apart from the shortest time.
func (in *inStream) delay(sent int64) time.Duration {
	return in.transit.delay(time.Duration(sent)*time.Millisecond, clock.Now(), in.started)
}

// remaining converts the time that a sender allows.
func remaining(ms int64) time.Duration {
	return min(time.Duration(min(max(ms, 0), maxRemaining.Milliseconds()))*time.Millisecond, maxRemaining)
}

// startCall runs a statement in the background.
func (in *inStream) startCall(m *call) error {
	if !m.valid() {
		return errkind.New(errkind.BadRequest, "statements of kind %d are not relayed", m.Kind)
	}
	if err := checkSent(m.Sent); err != nil {
		return err
	}
	if !m.complete() {
		in.refuse(m.ID, errkind.New(errkind.BadRequest, "the statement is not complete"))
		return nil
	}
	r, err := in.relayedStatement(m)
	if err != nil {
		return err
	}
	sent := clock.Now().Add(-in.delay(m.Sent))
	until := limits{borrow: sent.Add(maxStartDelay), start: sent.Add(maxStartDelay), end: sent.Add(remaining(m.Remaining))}
	if m.ConnectWait > 0 {
		until.borrow = sent.Add(min(remaining(m.ConnectWait), maxStartDelay))
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	c := in.conns[m.Conn]
	switch {
	case c != nil && c.busy:
		return errkind.New(errkind.BadRequest, "a statement is in progress on logical connection %d", m.Conn)
	case c == nil && m.Target == nil:
		// The transaction was ended here, for a planned stop.
		in.refuse(m.ID, errkind.New(errkind.NotOwner, "the transaction is not known"))
		return nil
	case c != nil && m.Target != nil:
		return errkind.New(errkind.BadRequest, "logical connection %d has an open transaction", m.Conn)
	case in.running >= maxCallsPerStream:
		in.refuse(m.ID, errkind.New(errkind.Overloaded, "too many statements of this host are in progress"))
		return nil
	case c == nil:
		c = new(lentConn)
		c.ctx, c.cancel = context.WithCancel(in.ctx)
		in.conns[m.Conn] = c
		in.stream.Use(1)
	}
	c.busy = true
	in.running++
	in.calls.Go(func() { in.runCall(c, m, r, until) })
	return nil
}

// relayedStatement returns the statement of a call, with the prepared text that was
// sent with it or with an earlier one.
func (in *inStream) relayedStatement(m *call) (gateway.RelayedStatement, error) {
	request, err := m.request()
	r := gateway.RelayedStatement{Request: request, Rank: m.Rank, HasState: m.HasState, Settings: m.Settings}
	if err != nil || m.Kind != statement.Execute {
		return r, err
	}
	if m.PreparedText == "" && m.PreparedID != 0 {
		text, ok := in.texts[m.PreparedID]
		if !ok {
			return r, errkind.New(errkind.BadRequest, "prepared statement %d was not sent", m.PreparedID)
		}
		r.Prepared = &text
		return r, nil
	}
	r.Prepared = &gateway.PreparedText{Text: m.PreparedText, ReadOnly: m.PreparedRead}
	if m.PreparedID == 0 {
		return r, nil
	}
	if _, known := in.texts[m.PreparedID]; known {
		return r, errkind.New(errkind.BadRequest, "prepared statement %d was sent twice", m.PreparedID)
	}
	in.textBytes += len(m.PreparedText)
	if len(in.texts) >= maxKeptTexts || in.textBytes > maxKeptTextBytes {
		return r, errkind.New(errkind.BadRequest, "too many prepared statements")
	}
	in.texts[m.PreparedID] = *r.Prepared
	return r, nil
}

// runCall runs a statement and sends its answer.
func (in *inStream) runCall(c *lentConn, m *call, r gateway.RelayedStatement, until limits) {
	defer in.service.recoverPanic(in)
	out := &answer{ID: m.ID}
	a, err := in.execute(c, m, r, until)
	if err == nil {
		out.setAnswer(a)
	} else {
		out.setError(err)
		in.service.metrics.refusal(errkind.Of(err))
	}
	in.finishCall(c, m, err == nil && a.State != statement.Idle, err)
	in.send(out)
}

// execute borrows a connection, unless the logical connection has one, and runs the
// statement.
func (in *inStream) execute(c *lentConn, m *call, r gateway.RelayedStatement, until limits) (statement.Answer, error) {
	in.mu.Lock()
	loan := c.loan
	in.mu.Unlock()
	if loan == nil {
		args := gateway.LoanArgs{
			Server: m.Target.Server, Born: m.Target.Born, Customer: m.Target.Customer,
			Rank: m.Rank, Begin: m.Kind == statement.Begin, Start: until.borrow, Deadline: until.end,
		}
		var err error
		if loan, err = in.service.opts.Gateway.Borrow(c.ctx, args, r); err != nil {
			return statement.Answer{}, err
		}
		if !in.attach(c, loan) {
			return statement.Answer{}, errkind.New(errkind.Cancelled, "the sender has closed the logical connection")
		}
	}
	return loan.Do(until.start, until.end, r)
}

// attach records the connection of a statement, so that a cancellation can end it. It
// returns false if the sender has cancelled the statement already.
func (in *inStream) attach(c *lentConn, loan *gateway.Loan) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	c.loan = loan
	return !c.cancelled && in.ctx.Err() == nil
}

// finishCall returns the connection of a statement, closes it if it must not be used
// again, or keeps it for the open transaction.
func (in *inStream) finishCall(c *lentConn, m *call, open bool, err error) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.running--
	c.busy = false
	cancelled := c.cancelled || in.ctx.Err() != nil
	if open && !cancelled {
		return
	}
	if in.conns[m.Conn] == c {
		in.removeConn(m.Conn)
	}
	c.cancel()
	outside := m.Target != nil && c.loan != nil && c.loan.Unsent() // of a transaction
	switch {
	case c.loan == nil:
	case (err == nil && !open || outside) && !cancelled:
		c.loan.Return()
	default:
		c.loan.Drop()
	}
}

// cancelConn ends the statement or the transaction of a logical connection.
func (in *inStream) cancelConn(id uint32) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if c := in.conns[id]; c != nil {
		in.endConn(id, c)
	}
}

// endConn closes the connection of a logical connection. A statement in progress
// drops it at its end. The caller holds mu.
func (in *inStream) endConn(id uint32, c *lentConn) {
	c.cancelled = true
	c.cancel()
	in.removeConn(id)
	switch {
	case c.busy && c.loan != nil:
		c.loan.Abort()
	case !c.busy:
		c.loan.Drop()
	}
}

// removeConn removes a logical connection. The caller holds mu.
func (in *inStream) removeConn(id uint32) {
	delete(in.conns, id)
	in.stream.Use(-1)
}

// abortTransactions ends the transactions without a statement in progress.
func (in *inStream) abortTransactions() {
	in.mu.Lock()
	defer in.mu.Unlock()
	for id, c := range in.conns {
		if !c.busy {
			in.endConn(id, c)
		}
	}
}

// end ends the stream with its statements and transactions.
func (in *inStream) end() {
	in.stream.Close()
	in.cancel()
	in.mu.Lock()
	for id, c := range in.conns {
		in.endConn(id, c)
	}
	in.mu.Unlock()
	in.calls.Wait()
}

// counts returns the number of calls in progress, and of open transactions without
// one.
func (in *inStream) counts() (running, idle int) {
	in.mu.Lock()
	defer in.mu.Unlock()
	for _, c := range in.conns {
		if !c.busy {
			idle++
		}
	}
	return in.running, idle
}

// startProbe answers a probe in the background.
func (in *inStream) startProbe(m *probe) error {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.running >= maxCallsPerStream {
		in.refuse(m.ID, errkind.New(errkind.Overloaded, "too many statements of this host are in progress"))
		return nil
	}
	in.running++
	in.stream.Use(1)
	in.calls.Go(func() { in.runProbe(m) })
	return nil
}

// runProbe probes a server and sends the result.
func (in *inStream) runProbe(m *probe) {
	defer in.service.recoverPanic(in)
	ctx, cancel := context.WithTimeout(in.ctx, remaining(m.Remaining))
	defer cancel()
	out := &answer{ID: m.ID}
	if err := in.service.opts.Gateway.ProbeFor(ctx, m.Target.Server, m.Target.Born); err != nil {
		out.setError(err)
	}
	in.mu.Lock()
	in.running--
	in.mu.Unlock()
	in.send(out)
	in.stream.Use(-1)
}

// refuse answers a call that was not run.
func (in *inStream) refuse(id uint32, err error) {
	in.service.metrics.refusal(errkind.Of(err))
	out := &answer{ID: id}
	out.setError(err)
	in.send(out)
}

// maxDetailBytes bounds the text of an error.
const maxDetailBytes = 1024

// setError sets the error of a statement without an answer.
func (a *answer) setError(err error) {
	a.Err, a.Refused = errkind.Of(err), errors.Is(err, syscall.ECONNREFUSED)
	a.Detail = err.Error()
	a.Detail = a.Detail[:min(len(a.Detail), maxDetailBytes)]
}

// send sends an answer. A sender that does not take its answers loses its stream: the
// memory that they take is bounded.
func (in *inStream) send(out *answer) {
	err := withFrame(kindAnswer, out, func(frame []byte) error {
		if len(frame) > maxAnswerBytes {
			return errkind.New(errkind.AnswerTooLarge, "the answer has %d bytes, the limit is %d", len(frame), maxAnswerBytes)
		}
		_, err := in.stream.Send(frame)
		return err
	})
	switch {
	case err == nil:
	case errkind.Of(err) == errkind.AnswerTooLarge && out.Rows != nil:
		in.send(&answer{ID: out.ID, State: out.State, Position: out.Position, FailKind: errkind.AnswerTooLarge, Detail: err.Error()})
	default:
		in.stream.Abort()
	}
}
