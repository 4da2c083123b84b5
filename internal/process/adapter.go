package process

import (
	"context"
	"net/http"

	"github.com/arbutusring/arbutusring/internal/directory"
	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/internal/gateway"
	"github.com/arbutusring/arbutusring/internal/lineserver"
	"github.com/arbutusring/arbutusring/pkg/database"
)

// Adapter connects gateway and directory processes to the platform that they
// run on: its protocols and its calls to backend servers. Every field must be
// set.
type Adapter struct {
	// Connect opens a connection to a backend server under the name of a customer;
	// the empty name stands for callers without a customer.
	Connect func(ctx context.Context, s directoryrpc.Server, customer string) (gateway.Conn, error)
	// Callers returns the handler of the callers' line protocol. MaxLineBytes is
	// the size of the longest line with its line ending.
	Callers      func(g *gateway.Gateway) lineserver.Handler
	MaxLineBytes int
	// ParseConfig parses a configuration document. The error has kind
	// errkind.BadRequest if the document is invalid.
	ParseConfig func(document []byte) (*database.Config, error)
	// EntryRoutes returns the HTTP handlers on the operator address of gateways,
	// and ControlRoutes those on the operator address of directories, by pattern
	// of http.ServeMux.
	EntryRoutes   func(ready func() bool) map[string]http.HandlerFunc
	ControlRoutes func(c ControlPlane) map[string]http.HandlerFunc
	// Members calls backend servers. Promote returns the function that asks the
	// promotion service at address to promote one of them.
	Members directory.Members
	Promote func(address string) func(ctx context.Context, p directory.Promotion) error
}

// ControlPlane holds the calls that a directory process serves to backend
// servers and operators. An error has kind errkind.BadRequest if the arguments
// are invalid; after any other error the call may be repeated.
type ControlPlane struct {
	// Announce stores what a backend server says about itself; gone is set if
	// the server is shutting down.
	Announce func(ctx context.Context, s directoryrpc.Server, gone bool) error
	// Put puts a configuration document into force, unless a higher version is
	// in force already.
	Put func(ctx context.Context, version uint64, document []byte) error
	// Get returns the newest acknowledged document, or nil if there is none.
	Get func(ctx context.Context) ([]byte, error)
}
