package gateway

import (
	"context"
	"time"

	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/internal/eventlog"
	"github.com/arbutusring/arbutusring/internal/limit"
	"github.com/arbutusring/arbutusring/internal/statement"
	"github.com/rcrowley/go-metrics"
)

// Options configures a Gateway. Connect must be set.
type Options struct {
	// Connect opens a connection to a backend server and verifies the server's
	// identity. An error of kind errkind.Overloaded means that the server has
	// reached its connection limit. The connection is opened under the name of the
	// customer; the empty name stands for callers without a customer.
	Connect func(ctx context.Context, s directoryrpc.Server, customer string) (Conn, error)
	// Admit admits one operation of a customer, or refuses it, usually with an error
	// of kind errkind.OverAllowance. It is called once for each operation of a session
	// with a customer: before a statement outside of a transaction is first sent, and
	// before BEGIN is sent. It may wait until ctx ends. nil: no operation is refused.
	Admit func(ctx context.Context, customer string) (Admission, error)
	// Expect is called when a session of a customer has started; nil for no call.
	Expect func(customer string)
	// Relay opens a logical connection through connectors. order returns their
	// addresses in the order in which they are tried. nil: this host and its servers are
	// always connected directly.
	Relay    func(s directoryrpc.Server, customer string, order func() []string) RelayedConn
	Host     string // id of this host in the list of hosts; used with Relay
	Place    Place
	Events   *eventlog.Log
	Registry metrics.Registry // nil: New creates a private registry

	Memory         *limit.Budget     // nil for no limit
	SessionLimits  limit.StateLimits // of the values and prepared statements of a session
	MaxAnswerBytes int               // bytes of one answer; 0 for no limit
}

// Conn is a connection to a backend server. Its methods are not called
// concurrently, except for Close.
type Conn interface {
	// Do sends the requests and returns their answers in order. An error is of
	// kind errkind.ConnectFailed if it is certain that nothing was sent, and of
	// kind errkind.ServerLost otherwise; the connection is then unusable.
	Do(deadline time.Time, requests ...statement.Request) ([]statement.Answer, error)
	// Usable reports whether the connection is open and has no unread data.
	Usable() bool
	// Close closes the connection; the server rolls back any open transaction.
	Close() error
}

// Place is the location of a host. It determines the distance to servers.
type Place struct {
	DataCentre string
	Regions    map[string]string // region by data centre
}

// Round-trip times assumed until statements have been measured, and a penalty
// for leaving the region, because cross-region links are the most expensive.
// Only the order of these values matters.
const (
	sameDataCentreRTT  = time.Millisecond
	sameRegionRTT      = 4 * time.Millisecond
	otherRegionRTT     = 40 * time.Millisecond
	crossRegionPenalty = 20 * time.Millisecond
)

// distance returns the assumed round-trip time to a data centre, and the
// penalty for crossing regions.
func (p Place) distance(dataCentre string) (rtt, penalty time.Duration) {
	switch {
	case dataCentre == p.DataCentre:
		return sameDataCentreRTT, 0
	case p.Regions[dataCentre] == p.Regions[p.DataCentre]:
		return sameRegionRTT, 0
	}
	return otherRegionRTT, crossRegionPenalty
}
