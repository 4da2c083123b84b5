package owner

import (
	"context"
	"encoding/base64"
	"strings"

	"github.com/arbutusring/arbutusring/pkg/errkind"
)

const (
	// sqlStateUniqueViolation is the SQLSTATE unique_violation: the key exists.
	sqlStateUniqueViolation = "23505"
	// maxRequestTokenBytes bounds the size of a key of the outcome table.
	maxRequestTokenBytes = 256

	// The first byte of a stored outcome states its form. The messages
	// follow in base64, because the column is of type text.
	storedWithRows    = 'w'
	storedWithoutRows = 't' // the messages without row descriptions and rows
)

// runWithToken executes a cycle and inserts its answer under the request token,
// which is the request_id of the caller, in the same transaction. The unique key
// of the outcome table ensures that the cycle takes effect at most once, whichever
// host executes it and also after a failover.
func (x *execution) runWithToken(ctx context.Context) error {
	token := x.args.RequestToken
	if len(token) > maxRequestTokenBytes || strings.ContainsRune(token, 0) {
		return errkind.New(errkind.BadRequest, "request_id is longer than %d bytes or contains a zero byte", maxRequestTokenBytes)
	}
	if !x.owner.tokens.begin(x.server.id, token) {
		return errkind.New(errkind.RequestInProgress, "a request with the same request_id is being executed")
	}
	defer x.owner.tokens.end(x.server.id, token)

	var res result
	var stored bool
	for attempt := 1; ; attempt++ {
		c, slot, err := x.prepare(ctx)
		if err != nil {
			return err
		}
		res, stored, err = x.lookupOrRun(ctx, c, token)
		x.release(slot)
		x.server.pool.put(c, err == nil && res.clean())
		if err == nil {
			break
		}
		// ConnectFailed means that the cycle itself was not sent.
		if attempt == sendAttempts || errkind.Of(err) != errkind.ConnectFailed {
			return err
		}
	}
	if err := x.answerResult(ctx, res); err != nil {
		return err
	}
	if stored {
		return x.answerStored(res)
	}
	return nil
}

// lookupOrRun returns the stored outcome of the request token, or executes the
// cycle if there is none. It returns the result to answer with, and whether
// that is the row of a stored outcome. A cycle whose transaction was rolled
// back has no effect, but it may have contained a COMMIT of its own, so if the
// connection is lost after the cycle was sent, the outcome is unknown.
func (x *execution) lookupOrRun(ctx context.Context, c *pooledConn, token string) (result, bool, error) {
	l, err := x.server.admit(x.args)
	if err != nil {
		return result{}, false, err
	}
	x.lease = l
	if !x.owner.outcomes.start(x.record) {
		return result{}, false, errkind.New(errkind.Cancelled, "cancelled before it started")
	}
	res, found, err := x.lookupOutcome(ctx, c, token)
	if err != nil || found {
		return res, found, err
	}
	return x.runOnce(ctx, c, token)
}

// runOnce executes the cycle and stores its answer in one transaction.
func (x *execution) runOnce(ctx context.Context, c *pooledConn, token string) (result, bool, error) {
	if err := x.execCommand(ctx, c, "BEGIN"); err != nil {
		return result{}, false, errkind.Wrap(errkind.ConnectFailed, err, "could not begin the transaction for request_id")
	}
	cycleResult := x.relay(ctx, c, false)
	if cycleResult.err != nil {
		return result{}, false, x.relayError(cycleResult.err)
	}
	switch cycleResult.answer.TxStatus {
	case 'I':
		return result{}, false, errkind.New(errkind.OutcomeUnknown, "a cycle with request_id ended its transaction")
	case 'E':
		return x.rollBackFailed(ctx, c, cycleResult)
	}
	cycleResult.answer.Messages = withTxStatus(cycleResult.answer.Messages, 'I')
	value, rowsOmitted := x.encodeOutcome(cycleResult.answer.Messages)
	insertResult := x.execSQL(ctx, c, "INSERT INTO arbutusring_outcome (k, v) VALUES ("+quoteLiteral(token)+", "+quoteLiteral(value)+")", false)
	switch {
	case insertResult.err != nil:
		// The COMMIT was not sent, and the cycle left the transaction open.
		return result{}, false, errkind.Wrap(errkind.TransactionLost, insertResult.err, "could not store the outcome; the cycle was rolled back")
	case insertResult.answer.SQLState == sqlStateUniqueViolation:
		return x.loadFirstOutcome(ctx, c, token)
	case insertResult.answer.TxStatus != 'T':
		return result{}, false, errkind.New(errkind.TransactionLost, "could not store the outcome (SQLSTATE %s); the cycle was rolled back", insertResult.answer.SQLState)
	}
	commitResult := x.execSQL(ctx, c, "COMMIT", true)
	if commitResult.err != nil {
		return result{}, false, x.relayError(commitResult.err)
	}
	if commitResult.answer.TxStatus != 'I' || commitResult.answer.SQLState != "" {
		return result{}, false, errkind.New(errkind.OutcomeUnknown, "COMMIT answered SQLSTATE %s", commitResult.answer.SQLState)
	}
	if _, commit := commandTags(commitResult.answer.Messages); !commit {
		return result{}, false, errkind.New(errkind.TransactionLost, "the server rolled the transaction back")
	}
	if rowsOmitted {
		x.reply.Detail = "the answer is stored under request_id without its rows"
	}
	cycleResult.commit, cycleResult.position, cycleResult.answer.TxStatus = true, commitResult.position, 'I'
	return cycleResult, false, nil
}

// lookupOutcome reads the stored outcome of a request token and reports whether
// there is one. It uses RelayCommit because the outcome may be answered only
// once a majority has received the commit that stored it.
func (x *execution) lookupOutcome(ctx context.Context, c *pooledConn, token string) (result, bool, error) {
	res := x.execSQL(ctx, c, "SELECT v FROM arbutusring_outcome WHERE k = "+quoteLiteral(token), true)
	if res.err != nil {
		return result{}, false, errkind.Wrap(errkind.ConnectFailed, res.err, "could not read the stored outcome")
	}
	if res.answer.SQLState != "" || res.answer.TxStatus != 'I' {
		return result{}, false, errkind.New(errkind.Unsupported, "request_id needs the table arbutusring_outcome (SQLSTATE %s)", res.answer.SQLState)
	}
	_, found := firstValue(res.answer.Messages)
	return res, found, nil
}

// loadFirstOutcome rolls back the transaction of this cycle and returns the
// outcome that another host stored before it.
func (x *execution) loadFirstOutcome(ctx context.Context, c *pooledConn, token string) (result, bool, error) {
	if err := x.execCommand(ctx, c, "ROLLBACK"); err != nil {
		return result{}, false, errkind.Wrap(errkind.OutcomeUnknown, err, "could not read the first outcome")
	}
	res, found, err := x.lookupOutcome(ctx, c, token)
	if err != nil || !found {
		return result{}, false, errkind.Wrap(errkind.OutcomeUnknown, err, "could not read the first outcome")
	}
	return res, true, nil
}

// rollBackFailed rolls back the transaction of a cycle that failed with an SQL
// error. The answer is that error. It is not stored, so the caller may send the
// request again.
func (x *execution) rollBackFailed(ctx context.Context, c *pooledConn, cycleResult result) (result, bool, error) {
	if err := x.execCommand(ctx, c, "ROLLBACK"); err != nil {
		return result{}, false, errkind.Wrap(errkind.TransactionLost, err, "the cycle failed with SQLSTATE %s and was rolled back", cycleResult.answer.SQLState)
	}
	cycleResult.answer.Messages = withTxStatus(cycleResult.answer.Messages, 'I')
	cycleResult.answer.TxStatus = 'I'
	cycleResult.commit = false
	return cycleResult, false, nil
}

// answerStored answers with the stored outcome in the first row of res.
func (x *execution) answerStored(res result) error {
	value, _ := firstValue(res.answer.Messages)
	if value == "" {
		return errkind.New(errkind.Internal, "the stored outcome is empty")
	}
	messages, err := base64.StdEncoding.DecodeString(value[1:])
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "the stored outcome is not valid base64")
	}
	if !isOneAnswer(messages) {
		return errkind.New(errkind.Internal, "the stored outcome is not one answer")
	}
	x.reply.Messages, x.reply.TxStatus = messages, 'I'
	x.reply.Detail = "first outcome of the request_id"
	if value[0] == storedWithoutRows {
		x.reply.Detail += ", without its rows"
	}
	return nil
}

// encodeOutcome returns the text under which an answer is stored. An answer
// larger than Limits.TokenAnswerBytes is stored without its rows, so that a
// repeated request at least learns that the first one ran.
func (x *execution) encodeOutcome(messages []byte) (value string, rowsOmitted bool) {
	form := byte(storedWithRows)
	if len(messages) > x.server.limits.TokenAnswerBytes {
		form, messages = storedWithoutRows, withoutRows(messages)
	}
	return string(form) + base64.StdEncoding.EncodeToString(messages), form == storedWithoutRows
}

// execCommand executes a statement and returns an error unless it succeeds.
func (x *execution) execCommand(ctx context.Context, c *pooledConn, sql string) error {
	res := x.execSQL(ctx, c, sql, false)
	if res.err == nil && res.answer.SQLState != "" {
		return errkind.New(errkind.Internal, "%s answered SQLSTATE %s", sql, res.answer.SQLState)
	}
	return res.err
}

// execSQL sends a statement of the owner itself as a simple Query. If commit is
// true, it also reads the log position after it.
func (x *execution) execSQL(ctx context.Context, c *pooledConn, sql string, commit bool) result {
	res := result{commit: commit}
	res.answer, res.position, res.err = c.relay(ctx, queryMessage(sql), x.owner.opts.MaxAnswerBytes, commit)
	return res
}
