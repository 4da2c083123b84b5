package owner

import (
	"context"

	"github.com/arbutusring/arbutusring/internal/limit"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
)

// defaultMaxAnswerBytes bounds the memory used by one answer.
const defaultMaxAnswerBytes = 16 << 20

// Options configures an Owner.
type Options struct {
	Host        string // host id, reported in status answers
	Incarnation string // incarnation id of this process; new at every start

	// Connect opens a connection to a database of a backend server. The
	// database has the name of the server's group.
	Connect func(ctx context.Context, address, database string) (Conn, error)

	Logger         zerolog.Logger
	Registry       metrics.Registry // nil: New creates a private registry
	MaxAnswerBytes int              // 16 MiB if zero
	Memory         *limit.Budget    // nil for no limit
	Limits         Limits
	Disabled       Disabled // for tests only
}

func (o Options) withDefaults() Options {
	if o.Registry == nil {
		o.Registry = metrics.NewRegistry()
	}
	if o.MaxAnswerBytes <= 0 {
		o.MaxAnswerBytes = defaultMaxAnswerBytes
	}
	o.Limits = o.Limits.withDefaults()
	return o
}
