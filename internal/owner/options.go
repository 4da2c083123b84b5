package owner

import (
	"context"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
)

// defaultMaxAnswerBytes bounds the memory that one answer takes.
const defaultMaxAnswerBytes = 16 << 20

// Options configure an Owner.
type Options struct {
	Host        string // host id, reported in status answers
	Incarnation string // of the process; new at every start

	// Connect opens a connection to a backend server for a database, which
	// has the name of the group.
	Connect func(ctx context.Context, address, database string) (Conn, error)

	Logger         zerolog.Logger
	Registry       metrics.Registry // nil for a private registry
	MaxAnswerBytes int              // 16 MiB if zero
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
