package directory

import (
	"cmp"
	"context"
	"time"

	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/internal/eventlog"
	"github.com/arbutusring/arbutusring/internal/statement"
	"github.com/rcrowley/go-metrics"
)

const (
	// defaultTTL outlasts an election (0.8 s at most) and the search for the
	// new leader, so that the loss of a control host interrupts nothing. A new
	// leader waits as long before it changes a primary.
	defaultTTL = 2200 * time.Millisecond
	// defaultDrift is the largest relative difference of two clock rates.
	defaultDrift = 0.1
	// defaultFailAfter is how long a primary must have failed. It is longer
	// than a burst of lost packets on one connection.
	defaultFailAfter = 400 * time.Millisecond
	// defaultPartialAfter is how long some hosts must have failed to reach a
	// primary that others reach, before it is moved without loss.
	defaultPartialAfter = 1500 * time.Millisecond
	// defaultCatchUp bounds the wait of a planned change for the successor.
	defaultCatchUp = 1500 * time.Millisecond
)

// Options are the settings of a Directory. Members, Promote, SyncReplicas and
// Control must be set.
type Options struct {
	Host    string // name of this host, as the outside service learns it
	Members Members
	// Promote makes a backend server the primary of its group. An error of
	// kind errkind.Conflict means that the server does not run; after any
	// other error the server may still become the primary.
	Promote func(ctx context.Context, p Promotion) error
	// SyncReplicas returns how many replicas of a group have received a commit
	// before it is acknowledged, by the configuration in force.
	SyncReplicas func(s directoryrpc.State, group string) int

	// Control returns the rpc addresses of the control hosts.
	Control func() []string

	Events   *eventlog.Log
	Registry metrics.Registry // nil for none

	TTL          time.Duration // of a lease
	Drift        float64
	FailAfter    time.Duration
	PartialAfter time.Duration
	CatchUp      time.Duration
}

// Members calls backend servers.
type Members struct {
	Status func(ctx context.Context, s directoryrpc.Server) (statement.ServerStatus, error)
	// Demote tells a server that term is led by another one.
	Demote func(ctx context.Context, s directoryrpc.Server, term uint64) error
}

// Promotion names the server to promote and who asks for it.
type Promotion struct {
	Group  string
	Server string
	Holder string // host that leads
	Token  uint64 // grows with each leader
}

func (o Options) withDefaults() Options {
	o.TTL = cmp.Or(o.TTL, defaultTTL)
	o.Drift = cmp.Or(o.Drift, defaultDrift)
	o.FailAfter = cmp.Or(o.FailAfter, defaultFailAfter)
	o.PartialAfter = cmp.Or(o.PartialAfter, defaultPartialAfter)
	o.CatchUp = cmp.Or(o.CatchUp, defaultCatchUp)
	if o.Registry == nil {
		o.Registry = metrics.NewRegistry()
	}
	return o
}
