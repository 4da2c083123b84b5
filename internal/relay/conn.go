package relay

import (
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/arbutusring/arbutusring/internal/gateway"
	"github.com/arbutusring/arbutusring/internal/statement"
	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// connectorError shortens the name.
type connectorError = gateway.ConnectorError

const (
	// maxConnectors bounds how many connectors a statement tries.
	maxConnectors = 4
	// maxOverloaded bounds how many of them may refuse it because of their queues. In
	// an overload, more attempts would add load.
	maxOverloaded = 2
	// connectorWait is how long a statement waits for a connection of one connector if
	// another one may have one free: each has few, and open transactions hold them.
	connectorWait = 100 * time.Millisecond
	// probeNextAfter is how long a probe waits for one connector before it also asks
	// the next. It is longer than two round trips between regions.
	probeNextAfter = 150 * time.Millisecond
)

// Conn is a logical connection. It uses any connector for a statement, and stays with
// one for a transaction.
type Conn struct {
	client *Client
	target target
	order  func() []string

	once   sync.Once
	closed chan struct{}

	mu     sync.Mutex
	stream *outStream // of the call in progress or the open transaction; nil if there is neither
	id     uint32     // on stream
	broken bool       // a call failed after it was sent
}

var _ gateway.RelayedConn = (*Conn)(nil)

// Do is not used: a logical connection has no state that lasts beyond a statement.
func (c *Conn) Do(deadline time.Time, requests ...statement.Request) ([]statement.Answer, error) {
	answers := make([]statement.Answer, 0, len(requests))
	for _, r := range requests {
		a, err := c.DoRelayed(deadline, gateway.RelayedStatement{Request: r})
		if err != nil {
			return nil, err
		}
		answers = append(answers, a)
	}
	return answers, nil
}

// Usable reports whether the connection can be used for another statement.
func (c *Conn) Usable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.broken && !c.isClosed()
}

func (c *Conn) isClosed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

// Close ends the call in progress, and the open transaction at the connector.
func (c *Conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.mu.Lock()
		s, id := c.stream, c.id
		c.stream = nil
		c.mu.Unlock()
		if s != nil {
			s.cancel(id)
			s.use(-1)
		}
	})
	return nil
}

// DoRelayed sends a statement, within a transaction to the connector that has it.
// Otherwise it tries several connectors until one does not refuse it.
func (c *Conn) DoRelayed(deadline time.Time, r gateway.RelayedStatement) (statement.Answer, error) {
	c.mu.Lock()
	s, id := c.stream, c.id
	c.mu.Unlock()
	if s != nil {
		a, err := c.exchange(s, id, deadline, 0, r, nil)
		if err == nil && a.State == statement.Idle {
			c.leave(s)
		}
		if err != nil && errkind.Of(err).Info().Outcome == errkind.NotRun {
			// The connector no longer has the transaction. Only ConnectFailed says so.
			err = &connectorError{Host: s.address, Err: errkind.Wrap(errkind.ConnectFailed, err, "the transaction at the connector has ended")}
		}
		return a, err
	}
	lastErr := error(errkind.New(errkind.NoMember, "no connector of server %s is known", c.target.Server))
	overloaded := 0
	order := c.client.bySuspicion(c.order())
	for i, address := range order {
		if i == maxConnectors || overloaded == maxOverloaded || !time.Now().Before(deadline) || c.isClosed() {
			break
		}
		wait := connectorWait
		if i == len(order)-1 || i == maxConnectors-1 || overloaded == maxOverloaded-1 {
			wait = 0 // the last one
		}
		a, err := c.tryConnector(address, deadline, wait, r)
		if err == nil || !c.mayTryNext(err) {
			return a, err
		}
		if errkind.Of(err) == errkind.Overloaded {
			overloaded++
		}
		lastErr = err
		c.client.metrics.refused(errkind.Of(err))
	}
	return statement.Answer{}, c.noneTook(lastErr)
}

// mayTryNext reports whether a statement has certainly not run, so that it may be sent
// to another connector.
func (c *Conn) mayTryNext(err error) bool {
	kind := errkind.Of(err)
	return kind.Info().Outcome == errkind.NotRun && kind != errkind.DeadlineExceeded && kind != errkind.BadRequest
}

// noneTook returns the error of a statement that no connector took. Connectors that
// can't be reached are, for this host, the same as a server that can't be.
func (c *Conn) noneTook(err error) error {
	switch errkind.Of(err) {
	case errkind.NotOwner, errkind.Draining:
		return errkind.Wrap(errkind.NoMember, err, "no connector takes statements for server %s", c.target.Server)
	case errkind.ConnectFailed:
		if failed := new(connectorError); errors.As(err, &failed) {
			return errkind.New(errkind.ConnectFailed, "no connector of server %s is reached: %v", c.target.Server, err)
		}
	}
	return err
}

// tryConnector sends a statement outside of a transaction to one connector.
func (c *Conn) tryConnector(address string, deadline time.Time, wait time.Duration, r gateway.RelayedStatement) (statement.Answer, error) {
	s, err := c.client.streamTo(address, deadline)
	if err != nil {
		return statement.Answer{}, err
	}
	id := s.newConn()
	c.mu.Lock()
	c.stream, c.id = s, id
	c.mu.Unlock()
	s.use(1)
	a, err := c.exchange(s, id, deadline, wait, r, &c.target)
	if err == nil && a.State != statement.Idle || err != nil && errkind.Of(err).Info().Outcome != errkind.NotRun {
		return a, err // a transaction is open, or the call may still be in progress
	}
	c.leave(s)
	return a, err
}

// leave records that no call and no transaction is in progress on a stream.
func (c *Conn) leave(s *outStream) {
	c.mu.Lock()
	left := c.stream == s
	c.stream = nil
	c.mu.Unlock()
	if left { // otherwise Close has done so
		s.use(-1)
	}
}

// exchange sends a statement to a connector and waits for its answer.
func (c *Conn) exchange(s *outStream, id uint32, deadline time.Time, wait time.Duration, r gateway.RelayedStatement, t *target) (statement.Answer, error) {
	m := &call{Conn: id, Target: t, Sent: s.sentAt(), Remaining: time.Until(deadline).Milliseconds(), HasState: r.HasState}
	if t != nil {
		m.Rank, m.ConnectWait = r.Rank, wait.Milliseconds()
	}
	if r.HasState && len(r.Settings) > 0 {
		m.Settings = r.Settings
	}
	m.setRequest(r.Request)
	var prepared *preparedKey
	if r.Prepared != nil {
		prepared = &preparedKey{r.Prepared.Text, r.Prepared.ReadOnly}
	}
	if m.Remaining <= 0 {
		return statement.Answer{}, errkind.New(errkind.DeadlineExceeded, "the deadline has passed")
	}
	p, err := s.startCall(m, prepared)
	if err != nil {
		return statement.Answer{}, err
	}
	c.client.metrics.statements.Inc(1)
	if err := c.wait(s, p, deadline); err != nil {
		if c.isClosed() {
			s.cancel(id) // that of Close may have been sent before the statement
		}
		if errkind.Of(err).Info().Outcome != errkind.NotRun {
			c.mu.Lock()
			c.broken = true
			c.mu.Unlock()
		}
		return statement.Answer{}, err
	}
	if p.answer.Err != "" {
		return statement.Answer{}, p.answer.error(s.address)
	}
	return p.result, nil
}

// wait waits for the answer to a call. An error means that the call may have run,
// unless it is of kind ConnectFailed.
func (c *Conn) wait(s *outStream, p *pendingCall, deadline time.Time) error {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-p.done:
		return p.err
	case <-timer.C:
	case <-c.closed:
	}
	s.forget(p)
	return errkind.Wrap(errkind.ServerLost, errDeadline, "waiting for connector %s", s.address)
}

// error returns the error that the connector sent. After ServerLost the statement was
// sent to the server.
func (a *answer) error(address string) error {
	if a.Refused {
		return errkind.Wrap(a.Err, syscall.ECONNREFUSED, "connector %s: %s", address, a.Detail)
	}
	return errkind.New(a.Err, "connector %s: %s", address, a.Detail)
}

// Probe asks a connector whether the server answers, and a second one if the first is
// silent.
func (c *Conn) Probe(deadline time.Time) error {
	order := c.client.bySuspicion(c.order())
	err := error(errkind.New(errkind.ConnectFailed, "no connector of server %s is known", c.target.Server))
	for i, address := range order[:min(len(order), maxOverloaded)] {
		until := deadline
		if i == 0 {
			until = earlier(deadline, time.Now().Add(probeNextAfter))
		}
		var silent bool
		if silent, err = c.probeThrough(address, until, deadline); err == nil || !silent && errkind.Of(err) != errkind.NotOwner {
			return err
		}
	}
	return err
}

// probeThrough asks one connector until a time. silent reports that it did not answer.
func (c *Conn) probeThrough(address string, until, deadline time.Time) (silent bool, err error) {
	s, err := c.client.streamTo(address, until)
	if err != nil {
		return true, err
	}
	s.use(1)
	defer s.use(-1)
	p, err := s.startProbe(&probe{Target: c.target, Remaining: time.Until(deadline).Milliseconds()})
	if err != nil {
		return true, err
	}
	if err := c.wait(s, p, until); err != nil {
		return true, err
	}
	if p.answer.Err != "" {
		return false, p.answer.error(address)
	}
	return false, nil
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
