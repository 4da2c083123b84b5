package control

import (
	"context"
	"slices"
	"time"

	"github.com/rs/zerolog"
)

// Limits of the cleaner.
const (
	cleanEvery = 10 * time.Second
	// keepServer is how long a departed or silent server that is no member is
	// kept. A server that comes back later announces itself anew.
	keepServer = time.Minute
	// keepHost is how long a host without leases is kept after its last
	// heartbeat, so that operators see for a while what is missing.
	keepHost = time.Hour
)

// cleaner removes servers and hosts that are gone from the state, which would
// otherwise grow with every new id.
type cleaner struct {
	log        *Log
	machine    *Machine
	leadership *leadership
	logger     zerolog.Logger
}

func (c *cleaner) run(ctx context.Context) {
	for sleep(ctx, cleanEvery) == nil {
		c.leadership.sessions.Prune(keepHost)
		commands := c.due()
		if len(commands) == 0 {
			continue
		}
		if _, err := c.log.propose(ctx, commands...); err != nil {
			c.logger.Debug().Err(err).Msg("servers and hosts that are gone were not removed; trying again")
		}
	}
}

func (c *cleaner) due() []Command {
	v := c.machine.View()
	var out []Command
	for id, s := range v.Servers {
		member := slices.Contains(v.Groups[s.Group].Members, id)
		if !member && c.leadership.silentFor(id) > keepServer {
			out = append(out, Command{Remove: &RemoveServer{ID: id, Revision: v.servers[id]}})
		}
	}
	for id, report := range c.leadership.sessions.Report(v.Hosts) {
		if report.Age > keepHost && len(v.byHost[id]) == 0 {
			out = append(out, Command{Forget: &ForgetHost{ID: id, Revision: v.hosts[id]}})
		}
	}
	return out[:min(len(out), maxBatch)]
}
