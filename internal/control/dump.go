package control

import (
	"time"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
)

// Dump is the state of a Control for operators.
type Dump struct {
	Leading   bool                             `json:"leading"`
	State     controlrpc.State                 `json:"state"`
	WonBy     string                           `json:"won_by"`
	WonChange string                           `json:"won_change"`
	OldOwners map[string]oldOwner              `json:"old_owners"` // by group in phase fencing
	Hosts     map[string]controlrpc.HostReport `json:"hosts,omitempty"`
	Groups    map[string]GroupDump             `json:"groups_at_work,omitempty"`
	Announced map[string]time.Duration         `json:"announced,omitempty"` // age by server id
}

// GroupDump is the failover work of the leader for one group.
type GroupDump struct {
	Running   bool   `json:"running"`
	Requested Cause  `json:"requested,omitempty"`
	Failures  int    `json:"failures"`
	LastError string `json:"last_error,omitempty"`
}

// Dump returns the state for operators. Its JSON keys are in snake_case.
func (c *Control) Dump() any {
	v := c.machine.View()
	d := Dump{State: v.State, WonBy: v.wonBy, WonChange: v.wonChange, OldOwners: v.oldOwners}
	l := c.currentLeadership()
	if l == nil {
		return d
	}
	d.Leading = true
	d.Hosts = l.sessions.Report(v.Hosts)
	d.Groups = l.failover.dump()
	d.Announced = make(map[string]time.Duration)
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, at := range l.announced {
		d.Announced[id] = time.Since(at)
	}
	return d
}

func (f *Failover) dump() map[string]GroupDump {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]GroupDump, len(f.groups))
	for name, w := range f.groups {
		out[name] = GroupDump{Running: w.running, Requested: w.requested, Failures: w.failures, LastError: w.lastError}
	}
	return out
}
