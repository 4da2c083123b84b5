package backend

import (
	"context"
	"errors"
	"io"
	"net"

	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/logpos"
)

// minConcurrentWriteBytes is the size from which on a request is written
// concurrently with reading the answer. The server may block on sending a long
// answer before it has read a long request; shorter requests fit into the socket
// buffers.
const minConcurrentWriteBytes = 32 << 10

// positionQuery returns the position of the last log record of a primary.
const positionQuery = "SELECT term, lsn FROM arbutusring_current_position()"

// Relay sends the raw messages of one cycle, which end with Query or Sync,
// and returns the raw answer. An answer of more than limit bytes is discarded
// and reported as AnswerTooLarge, with TxStatus, SQLState and Completed set. The
// package comment describes the kinds of errors.
func (c *Conn) Relay(ctx context.Context, cycle []byte, limit int) (Answer, error) {
	answer, _, err := c.exchange(ctx, cycle, limit, "")
	return answer, err
}

// RelayCommit is like Relay, for a cycle that may commit. It also sends
// positionQuery. The returned position is at or after the cycle's
// commit, and is valid if TxStatus is 'I'. It is zero if the answer shows that
// nothing was committed and the position cannot be read, as on a server that is
// not a primary. An AnswerTooLarge error is returned with a valid position.
func (c *Conn) RelayCommit(ctx context.Context, cycle []byte, limit int) (Answer, logpos.Position, error) {
	answer, rows, answerErr := c.exchange(ctx, cycle, limit, positionQuery)
	if answerErr != nil && errkind.Of(answerErr) != errkind.AnswerTooLarge {
		return Answer{}, logpos.Position{}, answerErr
	}
	if answer.TxStatus != 'I' {
		return answer, logpos.Position{}, answerErr // the transaction is still open: nothing is committed yet
	}
	pos, err := rows.position()
	if err != nil {
		if answer.SQLState != "" && !answer.Completed {
			// No statement was completed before the error, so nothing was
			// committed and no position is needed.
			return answer, logpos.Position{}, answerErr
		}
		return Answer{}, logpos.Position{}, c.fail(errkind.OutcomeUnknown, err, "reading the commit position failed")
	}
	return answer, pos, answerErr
}

// exchange sends cycle and, in the same write, a query for a tag and sql. It reads
// both answers. A BEGIN alone is sent without them. With any error but AnswerTooLarge, the answer is empty and the
// connection closed.
func (c *Conn) exchange(ctx context.Context, cycle []byte, limit int, sql string) (Answer, rowSet, error) {
	if err := c.checkSendable(ctx, cycle); err != nil {
		return Answer{}, rowSet{}, err
	}
	stop := c.closeOnDone(ctx)
	t := newTag()
	var w *requestWrite
	begin := beginsOnly(cycle)
	if begin {
		w = c.send(cycle, nil)
	} else if len(cycle) < minConcurrentWriteBytes {
		c.request = appendTagQuery(append(c.request[:0], cycle...), t, sql)
		w = c.send(c.request, nil)
	} else {
		w = c.send(cycle, appendTagQuery(nil, t, sql))
	}
	answer, answerErr := c.readAnswer(cycle, limit)
	err := answerErr
	var rows rowSet
	if err == nil || errkind.Of(err) == errkind.AnswerTooLarge {
		switch {
		case !begin:
			rows, err = c.readTag(t, sql, answer.TxStatus)
		case began(answer):
			err = nil
		default:
			rows, err = c.tagAfter(answer.TxStatus)
		}
	}
	if err = c.finish(ctx, stop, w, err); err != nil {
		return Answer{}, rowSet{}, err
	}
	if c.unsafe {
		_ = c.Close() // the answer is complete; an open transaction is lost
	}
	return answer, rows, answerErr
}

// checkSendable checks that cycle is valid and that the connection is usable.
// Nothing has been sent when it returns an error.
func (c *Conn) checkSendable(ctx context.Context, cycle []byte) error {
	if err := c.checkUsable(ctx); err != nil {
		return err
	}
	if err := validateCycle(cycle); err != nil {
		return c.fail(errkind.BadRequest, err, "cycle was not sent")
	}
	return nil
}

// checkUsable checks that the connection is open and that nothing but asynchronous
// messages has arrived on it.
func (c *Conn) checkUsable(ctx context.Context) error {
	if c.Closed() {
		return errkind.New(errkind.ConnectFailed, "connection is closed")
	}
	if err := ctx.Err(); err != nil {
		return c.fail(errkind.ConnectFailed, err, "context ended before the cycle was sent")
	}
	if err := c.dropAsync(); err != nil {
		return c.fail(errkind.ConnectFailed, err, "connection is not usable")
	}
	return nil
}

// requestWrite is the write of a request, in progress or completed.
type requestWrite struct {
	done chan struct{} // closed at the end of the write; nil if it ended before send returned
	n    int64         // bytes written
	err  error
}

// wait waits for the end of the write and returns its result.
func (w *requestWrite) wait() (n int64, err error) {
	if w.done != nil {
		<-w.done
	}
	return w.n, w.err
}

// send writes req and then more. A long request is written by a goroutine, which
// ends no later than the connection is closed; req must not be reused before wait
// returns.
func (c *Conn) send(req, more []byte) *requestWrite {
	w := &c.write
	*w = requestWrite{}
	if len(req) < minConcurrentWriteBytes && more == nil {
		n, err := c.nc.Write(req)
		w.n, w.err = int64(n), err
		if w.err != nil {
			_ = c.Close() // makes the read of the answer fail at once
		}
		return w
	}
	w.done = make(chan struct{})
	go c.runWrite(w, net.Buffers{req, more})
	return w
}

// runWrite writes buffers and completes w.
func (c *Conn) runWrite(w *requestWrite, buffers net.Buffers) {
	defer close(w.done)
	w.n, w.err = buffers.WriteTo(c.nc)
	if w.err != nil {
		_ = c.Close()
	}
}

// finish waits for the end of the write and returns the error of the whole
// exchange; err is the error of reading the answer. On any error except
// AnswerTooLarge it closes the connection.
func (c *Conn) finish(ctx context.Context, stop func() bool, w *requestWrite, err error) error {
	ctxEnded := !stop()
	usable := err == nil || errkind.Of(err) == errkind.AnswerTooLarge
	if !usable || ctxEnded {
		_ = c.Close() // ends a write that is still in progress
	}
	n, writeErr := w.wait()
	switch {
	case usable && !ctxEnded && writeErr == nil:
		return err
	case writeErr != nil && n == 0:
		return c.fail(errkind.ConnectFailed, contextCause(ctx, writeErr), "sending the cycle failed before its first byte")
	case usable && ctxEnded:
		return c.fail(errkind.ServerLost, contextCause(ctx, net.ErrClosed), "context ended before the exchange was complete")
	case usable:
		return c.fail(errkind.ServerLost, writeErr, "sending the cycle failed")
	case errkind.Of(err) == errkind.Draining:
		return c.fail(errkind.Draining, err, "cycle was not executed")
	default:
		return c.fail(errkind.ServerLost, contextCause(ctx, errors.Join(err, writeErr)), "reading the answer failed")
	}
}

// readAnswer reads the answer to cycle, up to ReadyForQuery. After an AnswerTooLarge
// error the whole answer has been read; after any other error the stream is
// unusable.
func (c *Conn) readAnswer(cycle []byte, limit int) (answer Answer, err error) {
	buf := c.answer[:0]
	grammar := newAnswerGrammar(cycle)
	size := 0 // bytes of the answer, including discarded messages
	for {
		typ, n, err := c.readHeader()
		if err != nil {
			return Answer{}, err
		}
		if !grammar.accept(typ) || (typ == 'Z' && n != 1) {
			return Answer{}, errUnexpected(typ, n)
		}
		size += headerLen + n
		withinLimit := size <= limit
		// ErrorResponse, ParameterStatus and ReadyForQuery are decoded even beyond
		// the limit.
		if !withinLimit && typ != 'Z' && typ != 'E' && typ != 'S' {
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
			if !validErrorResponse(body) {
				return Answer{}, errUnexpected(typ, n)
			}
			code := errorField(body, 'C')
			if answer.SQLState == "" {
				answer.SQLState = code
			}
			if code == codeShutdown && !answer.Completed && errorField(body, 'V') == "FATAL" {
				return Answer{}, errkind.New(errkind.Draining, "server is shutting down: %s", errorField(body, 'M'))
			}
		case 'S':
			c.recordParameter(body)
		case 'C':
			if !validCommandComplete(body) {
				return Answer{}, errUnexpected(typ, n)
			}
			answer.Completed = answer.Completed || answer.SQLState == ""
		case 'Z':
			answer.TxStatus = body[0]
			if body[0] != 'I' && body[0] != 'T' && body[0] != 'E' {
				return Answer{}, errkind.New(errkind.ServerLost, "transaction status is %q", body[0])
			}
			if size > limit {
				c.keepAnswerBuffer(nil)
				return answer, errkind.New(errkind.AnswerTooLarge, "answer has %d bytes, the limit is %d", size, limit)
			}
			answer.Messages = append(make([]byte, 0, len(buf)), buf...)
			c.keepAnswerBuffer(buf)
			return answer, nil
		}
		if !withinLimit {
			buf = buf[:start]
		}
	}
}

// errUnexpected returns the error for a message that the protocol does not allow at
// this point. What follows it cannot be attributed to any request.
func errUnexpected(typ byte, n int) error {
	return errkind.New(errkind.ServerLost, "unexpected message of type %q with %d bytes", typ, n)
}

// readBody reads n bytes and appends them to buf. It grows buf as bytes arrive,
// because the length word of a message cannot be trusted.
func (c *Conn) readBody(buf []byte, n int) ([]byte, error) {
	for n > 0 {
		chunk := min(n, readBufferBytes)
		start := len(buf)
		buf = grow(buf, chunk)
		if _, err := io.ReadFull(c.r, buf[start:]); err != nil {
			return nil, err
		}
		n -= chunk
	}
	return buf, nil
}

// grow extends buf by n bytes.
func grow(buf []byte, n int) []byte {
	if cap(buf)-len(buf) < n {
		grown := make([]byte, len(buf), 2*cap(buf)+n)
		copy(grown, buf)
		buf = grown
	}
	return buf[:len(buf)+n]
}

// keepAnswerBuffer keeps buf for the next answer unless it is too large.
func (c *Conn) keepAnswerBuffer(buf []byte) {
	if cap(buf) > maxKeptBufferBytes {
		buf = nil
	}
	c.answer = buf
}
