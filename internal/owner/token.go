package owner

import (
	"context"
	"encoding/base64"
	"strings"

	"github.com/arbutusring/arbutusring/pkg/errkind"
)

const (
	// uniqueViolation is the SQLSTATE of a duplicate key.
	uniqueViolation = "23505"
	// maxRequestToken bounds the key of the outcome table.
	maxRequestToken = 256

	// The first byte of a stored outcome tells its form; base64 of the
	// messages follows, because the column is text.
	storedWhole   = 'w'
	storedTagOnly = 't' // rows were left out
)

// runWithToken executes a cycle in one transaction with the insert of its
// answer under the request token. The unique key makes the cycle take effect
// at most once, through any host and after a failover.
func (x *execution) runWithToken(ctx context.Context) error {
	token := x.args.RequestToken
	if len(token) > maxRequestToken || strings.ContainsRune(token, 0) {
		return errkind.New(errkind.BadRequest, "request_id is longer than %d bytes or contains a zero byte", maxRequestToken)
	}
	if !x.owner.tokens.enter(x.server.id, token) {
		return errkind.New(errkind.RequestInProgress, "a request with the same request_id is being executed")
	}
	defer x.owner.tokens.leave(x.server.id, token)

	var res result
	var stored bool
	for attempt := 1; ; attempt++ {
		c, slot, err := x.prepare(ctx)
		if err != nil {
			return err
		}
		res, stored, err = x.tokenSteps(ctx, c, token)
		x.release(slot)
		x.server.pool.put(c, err == nil && res.clean())
		if err == nil {
			break
		}
		// ConnectFailed tells that the cycle itself was not sent.
		if attempt == sendAttempts || errkind.Of(err) != errkind.ConnectFailed {
			return err
		}
	}
	if err := x.answer(ctx, res); err != nil {
		return err
	}
	if stored {
		return x.replay(res)
	}
	return nil
}

// tokenSteps returns the result to answer with, and whether it is the row of
// a stored outcome. A cycle whose transaction was rolled back has no effect,
// but it may have contained a COMMIT of its own, so a connection that is lost
// after the cycle was sent leaves the outcome unknown.
func (x *execution) tokenSteps(ctx context.Context, c *pooledConn, token string) (result, bool, error) {
	l, err := x.server.admit(x.args)
	if err != nil {
		return result{}, false, err
	}
	x.lease = l
	if !x.owner.outcomes.start(x.record) {
		return result{}, false, errkind.New(errkind.Cancelled, "cancelled before it started")
	}
	res, found, err := x.lookup(ctx, c, token)
	if err != nil || found {
		return res, found, err
	}
	return x.runOnce(ctx, c, token)
}

// runOnce executes the cycle and stores its answer in one transaction.
func (x *execution) runOnce(ctx context.Context, c *pooledConn, token string) (result, bool, error) {
	if err := x.step(ctx, c, "BEGIN"); err != nil {
		return result{}, false, errkind.Wrap(errkind.ConnectFailed, err, "the transaction of request_id could not begin")
	}
	body := x.relay(ctx, c, false)
	if body.err != nil {
		return result{}, false, x.answerError(body.err)
	}
	switch body.answer.TxStatus {
	case 'I':
		return result{}, false, errkind.New(errkind.OutcomeUnknown, "a cycle with request_id ended its transaction")
	case 'E':
		return x.rollBack(ctx, c, body)
	}
	body.answer.Messages = withTxStatus(body.answer.Messages, 'I')
	value, tagOnly := x.encode(body.answer.Messages)
	insert := x.statement(ctx, c, "INSERT INTO arbutusring_outcome (k, v) VALUES ("+quote(token)+", "+quote(value)+")", false)
	switch {
	case insert.err != nil:
		// The COMMIT was not sent, and the cycle left the transaction open.
		return result{}, false, errkind.Wrap(errkind.TransactionLost, insert.err, "the outcome could not be stored; the cycle was rolled back")
	case insert.answer.SQLState == uniqueViolation:
		return x.first(ctx, c, token)
	case insert.answer.TxStatus != 'T':
		return result{}, false, errkind.New(errkind.TransactionLost, "the outcome could not be stored (SQLSTATE %s); the cycle was rolled back", insert.answer.SQLState)
	}
	end := x.statement(ctx, c, "COMMIT", true)
	if end.err != nil {
		return result{}, false, x.answerError(end.err)
	}
	if end.answer.TxStatus != 'I' || end.answer.SQLState != "" {
		return result{}, false, errkind.New(errkind.OutcomeUnknown, "COMMIT answered SQLSTATE %s", end.answer.SQLState)
	}
	if _, commit := tags(end.answer.Messages); !commit {
		return result{}, false, errkind.New(errkind.TransactionLost, "the server rolled the transaction back")
	}
	if tagOnly {
		x.reply.Detail = "the answer is stored under request_id without its rows"
	}
	body.commit, body.position, body.answer.TxStatus = true, end.position, 'I'
	return body, false, nil
}

// lookup reads the stored outcome. It uses RelayCommit because the outcome
// may be answered only once a majority has the commit that stored it.
func (x *execution) lookup(ctx context.Context, c *pooledConn, token string) (result, bool, error) {
	res := x.statement(ctx, c, "SELECT v FROM arbutusring_outcome WHERE k = "+quote(token), true)
	if res.err != nil {
		return result{}, false, errkind.Wrap(errkind.ConnectFailed, res.err, "the stored outcome could not be read")
	}
	if res.answer.SQLState != "" || res.answer.TxStatus != 'I' {
		return result{}, false, errkind.New(errkind.Unsupported, "request_id needs the table arbutusring_outcome (SQLSTATE %s)", res.answer.SQLState)
	}
	_, found := firstValue(res.answer.Messages)
	return res, found, nil
}

// first rolls back and returns the outcome that another host stored first.
func (x *execution) first(ctx context.Context, c *pooledConn, token string) (result, bool, error) {
	if err := x.step(ctx, c, "ROLLBACK"); err != nil {
		return result{}, false, errkind.Wrap(errkind.OutcomeUnknown, err, "the first outcome could not be read")
	}
	res, found, err := x.lookup(ctx, c, token)
	if err != nil || !found {
		return result{}, false, errkind.Wrap(errkind.OutcomeUnknown, err, "the first outcome could not be read")
	}
	return res, true, nil
}

// rollBack ends a transaction whose cycle failed. The error is the answer; it
// is not stored, so the caller may send the request again.
func (x *execution) rollBack(ctx context.Context, c *pooledConn, body result) (result, bool, error) {
	if err := x.step(ctx, c, "ROLLBACK"); err != nil {
		return result{}, false, errkind.Wrap(errkind.TransactionLost, err, "the cycle failed with SQLSTATE %s and was rolled back", body.answer.SQLState)
	}
	body.answer.Messages = withTxStatus(body.answer.Messages, 'I')
	body.answer.TxStatus = 'I'
	body.commit = false
	return body, false, nil
}

// replay answers with a stored outcome, which is the row of res.
func (x *execution) replay(res result) error {
	value, _ := firstValue(res.answer.Messages)
	if value == "" {
		return errkind.New(errkind.Internal, "the stored outcome is empty")
	}
	messages, err := base64.StdEncoding.DecodeString(value[1:])
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "the stored outcome is damaged")
	}
	x.reply.Messages, x.reply.TxStatus = messages, 'I'
	x.reply.Detail = "first outcome of the request_id"
	if value[0] == storedTagOnly {
		x.reply.Detail += ", without its rows"
	}
	return nil
}

// encode returns the text that stores an answer. An answer over the bound is
// stored without rows: the caller then learns that the request ran.
func (x *execution) encode(messages []byte) (value string, tagOnly bool) {
	form := byte(storedWhole)
	if len(messages) > x.server.limits.TokenBytes {
		form, messages = storedTagOnly, withoutRows(messages)
	}
	return string(form) + base64.StdEncoding.EncodeToString(messages), form == storedTagOnly
}

// step executes a statement that must succeed.
func (x *execution) step(ctx context.Context, c *pooledConn, sql string) error {
	res := x.statement(ctx, c, sql, false)
	if res.err == nil && res.answer.SQLState != "" {
		return errkind.New(errkind.Internal, "%s answered SQLSTATE %s", sql, res.answer.SQLState)
	}
	return res.err
}

func (x *execution) statement(ctx context.Context, c *pooledConn, sql string, commit bool) result {
	res := result{commit: commit}
	res.answer, res.position, res.err = c.relay(ctx, query(sql), x.owner.opts.MaxAnswerBytes, commit)
	return res
}
