package owner

import (
	"github.com/arbutusring/arbutusring/internal/backend"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/logpos"
)

// result is what a server answered to a cycle.
type result struct {
	answer   backend.Answer
	position logpos.Position // valid if commit and TxStatus is 'I'
	commit   bool            // RelayCommit was used
	err      error
}

// open reports whether the cycle left a transaction open. A too large answer
// leaves the connection and its transaction as they are.
func (r *result) open() bool {
	return (r.err == nil || errkind.Of(r.err) == errkind.AnswerTooLarge) && (r.answer.TxStatus == 'T' || r.answer.TxStatus == 'E')
}

// clean reports whether the connection may serve another cycle.
func (r *result) clean() bool { return r.err == nil && r.answer.TxStatus == 'I' }
