package control

import (
	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/policy"
)

// configure is a compare-and-set on the configuration version. The answer to a
// malformed text is not stored: it changes nothing, and its wording may differ
// between releases, while the replicated state must not.
func (m *Machine) configure(index uint64, c *Configure) (Result, bool) {
	a := c.Args
	sum := digest(a)
	if r, ok := m.changes.firstAnswer(a.ChangeID, sum); ok {
		return r, false
	}
	config, err := policy.Parse(configFile, a.Text)
	if err != nil {
		return refused("%v", err), false
	}
	if a.BaseVersion != m.state.ConfigVersion {
		r := conflict("change %q is based on version %d, but change %q by %q made version %d",
			a.ChangeID, a.BaseVersion, m.wonChange, m.wonBy, m.state.ConfigVersion)
		r.Version, r.WonBy, r.WonChange = m.state.ConfigVersion, m.wonBy, m.wonChange
		m.changes.add(a.ChangeID, sum, r)
		return r, false
	}
	m.state.ConfigVersion++
	m.state.ConfigText = a.Text
	m.recordChange(index, partConfig, "")
	m.config, m.declaredCounts = config, declaredMembers(config)
	m.wonBy, m.wonChange = a.Operator, a.ChangeID
	for _, g := range config.DatabaseGroups {
		if _, ok := m.state.Groups[g.Name]; !ok {
			m.state.Groups[g.Name] = controlrpc.Group{Name: g.Name, Phase: controlrpc.PhaseWaiting}
			m.recordChange(index, partGroups, g.Name)
		}
	}
	for name := range m.state.Groups {
		m.chooseInitialMembers(index, name)
	}
	r := Result{Kind: errkind.OK, Version: m.state.ConfigVersion}
	m.changes.add(a.ChangeID, sum, r)
	return r, true
}
