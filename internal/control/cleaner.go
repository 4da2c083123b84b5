package control

import (
	"context"
	"slices"
	"time"

	"github.com/rs/zerolog"
)

// Interval and retention times of the cleaner.
const (
	cleanInterval = 10 * time.Second
	// serverRetention is how long a server that is not a member is kept after
	// its last announcement. A server that comes back later announces itself
	// again.
	serverRetention = time.Minute
	// hostRetention is how long a host without leases is kept after its last
	// heartbeat, so that operators can see which hosts are missing.
	hostRetention = time.Hour
)

// cleaner removes servers and hosts that no longer report from the state, which
// would otherwise grow with every new id.
type cleaner struct {
	log        *Log
	machine    *Machine
	leadership *leadership
	logger     zerolog.Logger
}

func (c *cleaner) run(ctx context.Context) {
	for sleep(ctx, cleanInterval) == nil {
		c.leadership.sessions.Prune(hostRetention)
		commands := c.dueCommands()
		if len(commands) == 0 {
			continue
		}
		if _, err := c.log.propose(ctx, commands...); err != nil {
			c.logger.Debug().Err(err).Msg("servers and hosts that are gone were not removed; trying again")
		}
	}
}

// dueCommands returns the commands that remove servers and hosts whose
// retention time has passed, at most maxCommandsPerEntry.
func (c *cleaner) dueCommands() []Command {
	v := c.machine.View()
	var out []Command
	for id, s := range v.Servers {
		member := slices.Contains(v.Groups[s.Group].Members, id)
		if !member && c.leadership.sinceAnnouncement(id) > serverRetention {
			out = append(out, Command{Remove: &RemoveServer{ID: id, Revision: v.serverRevisions[id]}})
		}
	}
	for id, report := range c.leadership.sessions.Report(v.Hosts) {
		if report.Age > hostRetention && len(v.leasedByHost[id]) == 0 {
			out = append(out, Command{Forget: &ForgetHost{ID: id, Revision: v.hostRevisions[id]}})
		}
	}
	return out[:min(len(out), maxCommandsPerEntry)]
}
