package owner

import (
	"context"

	"github.com/arbutusring/arbutusring/internal/backend"
	"github.com/arbutusring/arbutusring/pkg/logpos"
)

// Conn is one connection to a backend server. Calls are never concurrent,
// except for Close and Closed.
//
// Errors of Relay and RelayCommit are of kind errkind.ConnectFailed if
// certainly nothing was sent, errkind.ServerLost if the cycle may have run and
// the connection is unusable, and errkind.AnswerTooLarge if the cycle ran; the
// answer then has a TxStatus but no Messages. A call returns soon after ctx
// ends.
type Conn interface {
	// Relay sends a cycle and reads its answer of at most limit bytes.
	Relay(ctx context.Context, cycle []byte, limit int) (backend.Answer, error)
	// RelayCommit is Relay followed in the same round trip by a query for
	// the log position, which is valid if the answer's TxStatus is 'I'.
	RelayCommit(ctx context.Context, cycle []byte, limit int) (backend.Answer, logpos.Position, error)
	// Status asks the server for its role, term and positions.
	Status(ctx context.Context) (backend.Status, error)
	// Replicas asks a primary for the positions that its replicas have
	// reported in its current term.
	Replicas(ctx context.Context) ([]backend.Replica, error)
	// Closed reports whether the connection is known to be unusable.
	Closed() bool
	// Close closes the connection; the server rolls back its open
	// transaction.
	Close() error
}
