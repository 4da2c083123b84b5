package backend

import (
	"context"
	"errors"
	"io"
	"net"

	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/logpos"
)

// concurrentWriteLen is the length of a request from which on it is written
// while the answer is read. The server may block on a long answer before it
// has read a long request; socket buffers hold shorter ones.
const concurrentWriteLen = 32 << 10

// positionQuery asks a primary for the position of its last record.
const positionQuery = "SELECT term, lsn FROM arbutusring_current_position()"

// Relay sends the raw messages of one cycle, which end with Query or Sync,
// and returns the raw answer. An answer of more than limit bytes is dropped
// and reported as AnswerTooLarge; TxStatus and SQLState are set nevertheless.
// See the package comment for the kinds of errors.
func (c *Conn) Relay(ctx context.Context, cycle []byte, limit int) (Answer, error) {
	if err := c.begin(ctx, cycle); err != nil {
		return Answer{}, err
	}
	stop := c.guard(ctx)
	ex := c.send(cycle)
	answer, err := c.readAnswer(limit)
	err = c.finish(ctx, stop, ex, err)
	if err == nil || errkind.Of(err) == errkind.AnswerTooLarge {
		return answer, err
	}
	return Answer{}, err
}

// RelayCommit is Relay for a cycle that may commit. It sends the position
// query together with the cycle. The position is at or after the cycle's
// commit, and is valid if TxStatus is 'I'. It is zero if the answer shows that
// nothing was committed and the server is no primary. AnswerTooLarge comes
// with a valid position.
func (c *Conn) RelayCommit(ctx context.Context, cycle []byte, limit int) (Answer, logpos.Position, error) {
	if err := c.begin(ctx, cycle); err != nil {
		return Answer{}, logpos.Position{}, err
	}
	stop := c.guard(ctx)
	c.request = appendQuery(append(c.request[:0], cycle...), positionQuery)
	ex := c.send(c.request)
	answer, answerErr := c.readAnswer(limit)
	var rows rowSet
	err := answerErr
	if err == nil || errkind.Of(err) == errkind.AnswerTooLarge {
		rows, err = c.readRows()
	}
	if err = c.finish(ctx, stop, ex, err); err != nil {
		return Answer{}, logpos.Position{}, err
	}
	if cap(c.request) > keptAnswerLen {
		c.request = nil
	}
	if answer.TxStatus != 'I' {
		return answer, logpos.Position{}, answerErr // the transaction goes on: nothing is committed yet
	}
	pos, err := rows.position()
	if err != nil {
		if answer.SQLState != "" && !answer.Completed {
			// No statement was completed before the error, so there is
			// nothing whose position would matter.
			return answer, logpos.Position{}, answerErr
		}
		return Answer{}, logpos.Position{}, c.fail(errkind.OutcomeUnknown, err, "reading the position of the commit")
	}
	return answer, pos, answerErr
}

// begin checks that the cycle can be sent. Nothing has been sent when it
// returns an error.
func (c *Conn) begin(ctx context.Context, cycle []byte) error {
	if c.Closed() {
		return errkind.New(errkind.ConnectFailed, "connection is closed")
	}
	if err := ctx.Err(); err != nil {
		return c.fail(errkind.ConnectFailed, err, "not sent")
	}
	if err := checkCycle(cycle); err != nil {
		return c.fail(errkind.BadRequest, err, "not sent")
	}
	err := c.prober.check()
	if err == nil && c.r.Buffered() > 0 {
		err = errUnsolicited
	}
	if err != nil {
		return c.fail(errkind.ConnectFailed, err, "connection is not usable")
	}
	return nil
}

// sending is a request that is being written or has been written.
type sending struct {
	done chan struct{} // nil if the request was written before send returned
	n    int           // bytes written
	err  error
}

// wait returns the result of the write.
func (s *sending) wait() (n int, err error) {
	if s.done != nil {
		<-s.done
	}
	return s.n, s.err
}

// send writes req. A long request is written by a goroutine, which ends at
// the latest when the connection is closed; req is not reused before wait.
func (c *Conn) send(req []byte) *sending {
	s := &c.sending
	*s = sending{}
	if len(req) < concurrentWriteLen {
		s.n, s.err = c.nc.Write(req)
		if s.err != nil {
			_ = c.Close() // makes the read of the answer fail at once
		}
		return s
	}
	s.done = make(chan struct{})
	go c.runWrite(s, req)
	return s
}

// runWrite writes req and completes s.
func (c *Conn) runWrite(s *sending, req []byte) {
	defer close(s.done)
	s.n, s.err = c.nc.Write(req)
	if s.err != nil {
		_ = c.Close()
	}
}

// finish turns the result of an exchange into the error of the call. On any
// error but AnswerTooLarge it closes the connection.
func (c *Conn) finish(ctx context.Context, stop func() bool, s *sending, err error) error {
	ended := !stop()
	usable := err == nil || errkind.Of(err) == errkind.AnswerTooLarge
	if !usable || ended {
		_ = c.Close() // ends a write that is still going on
	}
	n, writeErr := s.wait()
	switch {
	case usable && !ended && writeErr == nil:
		return err
	case writeErr != nil && n == 0:
		return c.fail(errkind.ConnectFailed, cause(ctx, writeErr), "sending failed before the first byte")
	case usable && ended:
		return c.fail(errkind.ServerLost, cause(ctx, net.ErrClosed), "answer came too late")
	case usable:
		return c.fail(errkind.ServerLost, writeErr, "sending failed")
	case errkind.Of(err) == errkind.Draining:
		return c.fail(errkind.Draining, err, "cycle was not executed")
	default:
		return c.fail(errkind.ServerLost, cause(ctx, errors.Join(err, writeErr)), "reading the answer failed")
	}
}

// readAnswer reads up to ReadyForQuery. Its only errors are AnswerTooLarge,
// after a whole answer, and errors after which the stream is unusable.
func (c *Conn) readAnswer(limit int) (answer Answer, err error) {
	buf := c.answer[:0]
	size := 0 // length of the answer, also of what was dropped
	for {
		typ, n, err := c.readHeader()
		if err != nil {
			return Answer{}, err
		}
		if !expected(typ) || (typ == 'Z' && n != 1) {
			return Answer{}, errkind.New(errkind.ServerLost, "unexpected message of type %q with %d bytes", typ, n)
		}
		size += headerLen + n
		keep := size <= limit
		// ErrorResponse and ReadyForQuery are needed also when dropped.
		if !keep && typ != 'Z' && typ != 'E' {
			if _, err := c.r.Discard(n); err != nil {
				return Answer{}, err
			}
			answer.Completed = answer.Completed || typ == 'C' && answer.SQLState == ""
			continue
		}
		start := len(buf)
		buf = append(buf, c.header[:]...)
		if buf, err = c.readBody(buf, n); err != nil {
			return Answer{}, err
		}
		body := buf[start+headerLen:]
		switch typ {
		case 'E':
			code := errorField(body, 'C')
			if answer.SQLState == "" {
				answer.SQLState = code
			}
			if code == codeShutdown && !answer.Completed && errorField(body, 'V') == "FATAL" {
				return Answer{}, errkind.New(errkind.Draining, "server is shutting down: %s", errorField(body, 'M'))
			}
		case 'C':
			answer.Completed = answer.Completed || answer.SQLState == ""
		case 'Z':
			answer.TxStatus = body[0]
			if body[0] != 'I' && body[0] != 'T' && body[0] != 'E' {
				return Answer{}, errkind.New(errkind.ServerLost, "transaction status is %q", body[0])
			}
			if size > limit {
				c.keep(nil)
				return answer, errkind.New(errkind.AnswerTooLarge, "answer has %d bytes, the limit is %d", size, limit)
			}
			answer.Messages = append(make([]byte, 0, len(buf)), buf...)
			c.keep(buf)
			return answer, nil
		}
		if !keep {
			buf = buf[:start]
		}
	}
}

// readBody appends n bytes to buf. It grows buf by what arrives, not by what
// the length word claims.
func (c *Conn) readBody(buf []byte, n int) ([]byte, error) {
	for n > 0 {
		step := min(n, readBufferLen)
		start := len(buf)
		buf = growBy(buf, step)
		if _, err := io.ReadFull(c.r, buf[start:]); err != nil {
			return nil, err
		}
		n -= step
	}
	return buf, nil
}

// growBy extends buf by n bytes.
func growBy(buf []byte, n int) []byte {
	if cap(buf)-len(buf) < n {
		grown := make([]byte, len(buf), 2*cap(buf)+n)
		copy(grown, buf)
		buf = grown
	}
	return buf[:len(buf)+n]
}

// keep stores buf for the next answer unless it is too large.
func (c *Conn) keep(buf []byte) {
	if cap(buf) > keptAnswerLen {
		buf = nil
	}
	c.answer = buf
}
