package entry

import (
	"slices"
	"sync"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/pkg/policy"
)

// view is the state of control, prepared for routing. It is immutable apart from
// the cache of effective policies.
type view struct {
	state   controlrpc.State
	cfg     *policy.Config
	groups  map[string]*groupView
	changed chan struct{} // closed when a newer view replaces this one

	// ranksAhead lists for each rank the ranks that owners serve before it, and
	// itself.
	ranksAhead map[string][]string

	effective sync.Map // effectiveKey -> policy.Effective
}

func newView(e *Entry, state controlrpc.State, cfg *policy.Config) *view {
	v := &view{state: state, cfg: cfg, groups: make(map[string]*groupView), changed: make(chan struct{})}
	v.ranksAhead = make(map[string][]string)
	var names []string // those of all ranks share it
	for _, r := range cfg.RanksInOrder() {
		names = append(names, r.Name)
		v.ranksAhead[r.Name] = slices.Clip(names)
	}
	for _, declared := range cfg.DatabaseGroups {
		v.groups[declared.Name] = v.newGroupView(e, declared.Name, state.Groups[declared.Name])
	}
	return v
}

func (v *view) newGroupView(e *Entry, name string, g controlrpc.Group) *groupView {
	gv := &groupView{view: v, name: name, term: g.Term}
	for _, id := range g.Members {
		lease, leased := v.state.Leases[id]
		host, known := v.state.Hosts[lease.Host]
		if !leased || !known {
			continue
		}
		server := v.state.Servers[id]
		t := &target{
			server:      id,
			dataCentre:  host.DataCentre,
			address:     host.Address,
			host:        host.ID,
			incarnation: host.Incarnation,
			epoch:       lease.Epoch,
			primary:     g.Phase == controlrpc.PhaseSteady && g.Primary == id,
			draining:    server.Departing || v.state.Draining[id],
			member:      e.member(id),
		}
		t.member.setEstimatedRTT(e.estimatedRTT(host))
		gv.targets = append(gv.targets, t)
		if t.primary {
			gv.primary = t
		}
	}
	return gv
}

// policyFor returns the effective policy of a group and rank. A rank that is no
// longer declared is treated as the default rank. ok is false if the group is
// not declared.
func (v *view) policyFor(group, rank string) (policy.Effective, bool) {
	key := effectiveKey{group, rank}
	if eff, ok := v.effective.Load(key); ok {
		return eff.(policy.Effective), true
	}
	eff, ok := v.cfg.Effective(group, rank)
	if !ok {
		eff, ok = v.cfg.Effective(group, "")
	}
	if ok {
		v.effective.Store(key, eff)
	}
	return eff, ok
}
