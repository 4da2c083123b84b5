package operator

import (
	"context"
	"net/http"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/internal/limit"
	"github.com/rcrowley/go-metrics"
)

// Handlers holds the operations that a process serves. A request for a nil one is
// answered with 404, except that a process without Ready is not ready.
type Handlers struct {
	Announce func(ctx context.Context, args *controlrpc.AnnounceArgs) (*controlrpc.AnnounceReply, error)
	Apply    func(ctx context.Context, args *controlrpc.ApplyArgs) (*controlrpc.ApplyReply, error)
	Get      func(ctx context.Context, args *controlrpc.GetArgs) (*controlrpc.GetReply, error)
	Drain    func(ctx context.Context, args *controlrpc.DrainArgs) (*controlrpc.DrainReply, error)
	Failover func(ctx context.Context, args *controlrpc.FailoverArgs) (*controlrpc.FailoverReply, error)
	Health   func(ctx context.Context, kind, selector string) (any, error)
	Dump     func() any
	Ready    func() bool
	Registry metrics.Registry

	MaxConnections int           // 0 for no limit
	Memory         *limit.Budget // for the bodies of requests; nil for no limit

	// Routes holds additional handlers by pattern of http.ServeMux.
	Routes map[string]http.HandlerFunc
}
