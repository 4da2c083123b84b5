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

// Adapter is what gateway and directory processes need of the platform that
// they run on: its protocols and its calls. Every field is set.
type Adapter struct {
	// Connect opens a connection to a backend server.
	Connect func(ctx context.Context, s directoryrpc.Server) (gateway.Conn, error)
	// Callers returns the protocol of callers, whose lines have at most MaxLine
	// bytes.
	Callers func(g *gateway.Gateway) lineserver.Handler
	MaxLine int
	// ParseConfig reads a configuration document. The error is of kind
	// errkind.BadRequest if it is invalid.
	ParseConfig func(document []byte) (*database.Config, error)
	// EntryRoutes are served on the operator address of gateways, and
	// ControlRoutes on that of directories, by pattern of http.ServeMux.
	EntryRoutes   func(ready func() bool) map[string]http.HandlerFunc
	ControlRoutes func(c ControlPlane) map[string]http.HandlerFunc
	// Members and Promote act on backend servers.
	Members directory.Members
	Promote func(address string) func(ctx context.Context, p directory.Promotion) error
}

// ControlPlane is what a directory process offers to backend servers and
// operators. The kind of an error is errkind.BadRequest if the call is wrong;
// after any other error it may be repeated.
type ControlPlane struct {
	// Announce stores what a backend server says about itself; gone tells that
	// it ends.
	Announce func(ctx context.Context, s directoryrpc.Server, gone bool) error
	// Put puts a configuration document into force, unless a higher version is.
	Put func(ctx context.Context, version uint64, document []byte) error
	// Get returns the newest acknowledged document; nil if there is none.
	Get func(ctx context.Context) ([]byte, error)
}
