package gateway

import (
	"context"
	"time"

	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/internal/eventlog"
	"github.com/arbutusring/arbutusring/internal/statement"
	"github.com/rcrowley/go-metrics"
)

// Options configure a Gateway. Connect must be set.
type Options struct {
	// Connect opens a connection to a backend server and checks that it is the
	// expected one. An error of kind errkind.Overloaded means that the server
	// has no connection left.
	Connect  func(ctx context.Context, s directoryrpc.Server) (Conn, error)
	Place    Place
	Events   *eventlog.Log
	Registry metrics.Registry // nil for a private one
}

// Conn is one connection to a backend server. Calls are never concurrent,
// except for Close.
type Conn interface {
	// Do sends the requests and returns their answers in order. The kind of an
	// error is errkind.ConnectFailed if certainly nothing was sent, and
	// errkind.ServerLost otherwise; the connection is then unusable.
	Do(deadline time.Time, requests ...statement.Request) ([]statement.Answer, error)
	// Usable reports whether the connection is open and has nothing unread.
	Usable() bool
	// Close ends the connection; the server rolls back its transaction.
	Close() error
}

// Place says where a host is, for the distance to servers.
type Place struct {
	DataCentre string
	Regions    map[string]string // region by data centre
}

// Round trips that are assumed until one has been measured, and what is added
// for leaving the region, whose links are the dearest. Only their order matters.
const (
	sameDataCentre = time.Millisecond
	sameRegion     = 4 * time.Millisecond
	otherRegion    = 40 * time.Millisecond
	regionCharge   = 20 * time.Millisecond
)

// distance returns the assumed round trip and the charge to a data centre.
func (p Place) distance(dataCentre string) (trip, charge time.Duration) {
	switch {
	case dataCentre == p.DataCentre:
		return sameDataCentre, 0
	case p.Regions[dataCentre] == p.Regions[p.DataCentre]:
		return sameRegion, 0
	}
	return otherRegion, regionCharge
}
