package owner

import (
	"time"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/internal/schedule"
	"github.com/arbutusring/arbutusring/pkg/policy"
)

const (
	connsReservedForControl = 2 // connections left for the control hosts
	connsReservedForMonitor = 1 // the monitor's own connection
)

// serverView is the part of the control state and the configuration that
// applies to one server. It is immutable.
type serverView struct {
	spec          controlrpc.Server
	members       []string
	ranks         []schedule.RankSpec         // highest rank first
	higherRanks   map[string]int              // number of higher ranks, by rank
	effective     map[string]policy.Effective // settings that apply to the group, by rank
	defaultRank   string
	sendAhead     int       // Limits.SendAhead
	drainingSince time.Time // zero if the server is not draining
}

// poolLimit returns the connection limit of the pool.
func (v *serverView) poolLimit() int {
	return max(1, v.spec.Connections-connsReservedForControl-connsReservedForMonitor)
}

// transactionLimit returns how many connections open transactions may hold.
func (v *serverView) transactionLimit() int { return v.poolLimit() - v.slots() }

// slots returns how many cycles may be in progress at the server at the same
// time. Each needs a connection.
func (v *serverView) slots() int { return max(1, min(v.spec.Slots+v.sendAhead, v.poolLimit())) }

// rank returns the named rank if the configuration declares it, and the default
// rank otherwise.
func (v *serverView) rank(name string) string {
	if _, ok := v.effective[name]; ok {
		return name
	}
	return v.defaultRank
}
