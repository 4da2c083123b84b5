package owner

import (
	"time"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/internal/schedule"
	"github.com/arbutusring/arbutusring/pkg/policy"
)

// buildView builds the view of one server from the control state and the
// configuration. It returns false if the state does not contain the server. The
// start of a drain is taken from old, the previous view, if there is one.
func buildView(state *controlrpc.State, cfg *policy.Config, id string, old *serverView, opts *Options) (*serverView, bool) {
	spec, ok := state.Servers[id]
	if !ok {
		return nil, false
	}
	v := &serverView{
		spec:        spec,
		sendAhead:   opts.Limits.SendAhead,
		members:     state.Groups[spec.Group].Members,
		higherRanks: map[string]int{},
		effective:   map[string]policy.Effective{},
	}
	if spec.Departing || state.Draining[id] {
		v.drainingSince = time.Now()
		if old != nil && !old.drainingSince.IsZero() {
			v.drainingSince = old.drainingSince
		}
	}
	for i, r := range cfg.RanksInOrder() {
		eff, ok := cfg.Effective(spec.Group, r.Name)
		if !ok {
			// The host holds a lease for a group that the configuration
			// does not declare, or no longer declares: use default limits.
			eff = policy.Effective{Rank: r, Deadline: 5 * time.Second, QueueLimit: 64, PositionWait: 20 * time.Millisecond}
		}
		floor := r.Floor
		if opts.Disabled.Floors {
			floor = 0
		}
		v.ranks = append(v.ranks, schedule.RankSpec{Name: r.Name, Floor: floor, QueueLimit: eff.QueueLimit})
		v.higherRanks[r.Name] = i
		v.effective[r.Name] = eff
		if r.Default {
			v.defaultRank = r.Name
		}
	}
	return v, true
}
