package owner

import (
	"slices"
	"time"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/internal/schedule"
	"github.com/arbutusring/arbutusring/pkg/policy"
)

// buildView resolves the state and the configuration for one server. The
// second result is false if the state does not know the server.
func buildView(state *controlrpc.State, cfg *policy.Config, id string, old *serverView, opts *Options) (*serverView, bool) {
	spec, ok := state.Servers[id]
	if !ok {
		return nil, false
	}
	v := &serverView{
		spec:      spec,
		ahead:     opts.Limits.Ahead,
		members:   state.Groups[spec.Group].Members,
		higher:    map[string]int{},
		effective: map[string]policy.Effective{},
	}
	if spec.Departing || state.Draining[id] {
		v.drainingSince = time.Now()
		if old != nil && !old.drainingSince.IsZero() {
			v.drainingSince = old.drainingSince
		}
	}
	ranks := slices.Clone(cfg.Ranks())
	slices.SortFunc(ranks, func(a, b policy.TrafficRank) int { return a.Order - b.Order })
	for i, r := range ranks {
		eff, ok := cfg.Effective(spec.Group, r.Name)
		if !ok {
			// The group is served on a lease although the configuration
			// does not declare it (any more): its limits are the defaults.
			eff = policy.Effective{Rank: r, Deadline: 5 * time.Second, QueueLimit: 64, PositionWait: 20 * time.Millisecond}
		}
		floor := r.Floor
		if opts.Disabled.Floors {
			floor = 0
		}
		v.ranks = append(v.ranks, schedule.RankSpec{Name: r.Name, Floor: floor, QueueLimit: eff.QueueLimit})
		v.higher[r.Name] = i
		v.effective[r.Name] = eff
		if r.Default {
			v.defaultRank = r.Name
		}
	}
	return v, true
}
