package owner

import (
	"github.com/arbutusring/arbutusring/internal/backend"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/logpos"
)

// result is the outcome of relaying a cycle to a server.
type result struct {
	answer   backend.Answer
	position logpos.Position // valid if commit and TxStatus is 'I'
	commit   bool            // the cycle was sent with RelayCommit
	err      error
}

// leftTransactionOpen reports whether the cycle left a transaction open. An
// answer that exceeds the size limit does not end the connection or its
// transaction.
func (r *result) leftTransactionOpen() bool {
	return (r.err == nil || errkind.Of(r.err) == errkind.AnswerTooLarge) && (r.answer.TxStatus == 'T' || r.answer.TxStatus == 'E')
}

// clean reports whether the connection may be used for another cycle.
func (r *result) clean() bool { return r.err == nil && r.answer.TxStatus == 'I' }
