package directory

import (
	"cmp"
	"context"
	"time"

	"github.com/arbutusring/arbutusring/internal/allowance"
	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/internal/eventlog"
	"github.com/arbutusring/arbutusring/internal/statement"
	"github.com/rcrowley/go-metrics"
)

const (
	// defaultLeaseTTL is longer than an election (0.8 s at most) and the search
	// for the new leader, so that the loss of a control host interrupts no
	// statements. A new leader waits as long before it changes a primary.
	defaultLeaseTTL = 2200 * time.Millisecond
	// defaultClockDrift is the largest relative difference of two clock rates.
	defaultClockDrift = 0.1
	// defaultFailAfter is how long a primary must have failed before it is
	// considered lost. It is longer than a burst of lost packets on one
	// connection.
	defaultFailAfter = 400 * time.Millisecond
	// defaultPartialFailAfter is how long some hosts must have failed to reach a
	// primary that others reach, before a planned switchover starts.
	defaultPartialFailAfter = 1500 * time.Millisecond
	// defaultCatchUpTimeout bounds how long a switchover waits for a replica that
	// has every acknowledged commit.
	defaultCatchUpTimeout = 1500 * time.Millisecond
	// defaultEarlierTermTimeout is longer than a crashed server takes to come back with
	// its log.
	defaultEarlierTermTimeout = 10 * time.Second
)

// Options configures a Directory. Members, Promote, SyncReplicas and
// Control are required.
type Options struct {
	Host    string // name of this host, which is sent to the external promotion service
	Members Members
	// Promote asks for a backend server to become the primary of its group. An
	// error of kind errkind.Conflict means that the server is not running; after
	// any other error the server may still become the primary.
	Promote func(ctx context.Context, p Promotion) error
	// SyncReplicas returns the number of replicas of a group that must have
	// received a commit before it is acknowledged, from the configuration in
	// force.
	SyncReplicas func(s directoryrpc.State, group string) int

	// Declares reports whether the configuration in force, which is all that s holds,
	// declares a group. If there is no configuration, it reports true. It may be nil,
	// which accepts the servers of all groups.
	Declares func(s directoryrpc.State, group string) bool

	// Limits returns the limits of the customers that have one, from the configuration
	// in force. The result is not modified. nil: there are none.
	Limits func(s directoryrpc.State) map[string]allowance.Limit
	// Allowance determines how exactly the limits hold.
	Allowance allowance.Params

	// Control returns the rpc addresses of the control hosts.
	Control func() []string

	Events   *eventlog.Log
	Registry metrics.Registry // nil: New creates a private registry

	// A field below that is 0 is set to its default.

	TTL              time.Duration // of the lease of an entry host
	ClockDrift       float64       // largest relative difference of two clock rates
	FailAfter        time.Duration // how long a primary must have failed to be considered lost
	PartialFailAfter time.Duration // how long some hosts must have failed to reach a primary that others reach
	CatchUpTimeout   time.Duration // limit of the wait for a replica with every acknowledged commit
	// EarlierTermTimeout is how long a lost primary and the servers that followed it are
	// awaited before one is promoted that has no commit of its term.
	EarlierTermTimeout time.Duration
}

// Members holds the calls to backend servers.
type Members struct {
	Status func(ctx context.Context, s directoryrpc.Server) (statement.ServerStatus, error)
	// Demote informs a server that another one is the primary in term.
	Demote func(ctx context.Context, s directoryrpc.Server, term uint64) error
}

// Promotion is a request to promote a server.
type Promotion struct {
	Group  string
	Server string
	Holder string // control host that is the leader
	Token  uint64 // fencing token, which grows with each leadership
	// LeaseValid reports whether the holder is still the leader. It is called when
	// the connection is open, immediately before the request is sent: the host may
	// have been frozen while it connected.
	LeaseValid func() bool
}

func (o Options) withDefaults() Options {
	o.TTL = cmp.Or(o.TTL, defaultLeaseTTL)
	o.ClockDrift = cmp.Or(o.ClockDrift, defaultClockDrift)
	o.FailAfter = cmp.Or(o.FailAfter, defaultFailAfter)
	o.PartialFailAfter = cmp.Or(o.PartialFailAfter, defaultPartialFailAfter)
	o.CatchUpTimeout = cmp.Or(o.CatchUpTimeout, defaultCatchUpTimeout)
	o.EarlierTermTimeout = cmp.Or(o.EarlierTermTimeout, defaultEarlierTermTimeout)
	if o.Limits == nil {
		o.Limits = func(directoryrpc.State) map[string]allowance.Limit { return nil }
	}
	if o.Registry == nil {
		o.Registry = metrics.NewRegistry()
	}
	return o
}
