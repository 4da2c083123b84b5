package owner

import (
	"time"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/internal/schedule"
	"github.com/arbutusring/arbutusring/pkg/policy"
)

const (
	reservedForControl = 2 // connections that an owner leaves to control
	reservedForMonitor = 1
)

// serverView is what the state and the configuration say about a server. It
// is immutable.
type serverView struct {
	spec          controlrpc.Server
	members       []string
	ranks         []schedule.RankSpec // in order
	higher        map[string]int
	effective     map[string]policy.Effective // by rank
	defaultRank   string
	ahead         int       // cycles sent beyond the slots
	drainingSince time.Time // zero if the server stays in service
}

// connections returns the limit of the pool.
func (v *serverView) connections() int {
	return max(1, v.spec.Connections-reservedForControl-reservedForMonitor)
}

// transactions returns the limit of the connections that open transactions
// hold.
func (v *serverView) transactions() int { return v.connections() - v.slots() }

// slots returns how many cycles are sent at one time. Each needs a
// connection.
func (v *serverView) slots() int { return max(1, min(v.spec.Slots+v.ahead, v.connections())) }

// rank returns the rank that a cycle is served in.
func (v *serverView) rank(name string) string {
	if _, ok := v.effective[name]; ok {
		return name
	}
	return v.defaultRank
}
