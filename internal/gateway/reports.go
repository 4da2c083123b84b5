package gateway

import (
	"cmp"
	"slices"

	"github.com/arbutusring/arbutusring/internal/clock"
	"github.com/arbutusring/arbutusring/internal/directoryrpc"
)

// PrimaryFailing returns a channel that is signalled when a primary does not
// respond, so that the host can report it to the directory at once.
func (g *Gateway) PrimaryFailing() <-chan struct{} { return g.primaryFailing }

// signalPrimaryFailing signals PrimaryFailing unless a signal is already pending.
func (g *Gateway) signalPrimaryFailing() {
	select {
	case g.primaryFailing <- struct{}{}:
	default:
	}
}

// Reports returns this host's observations of the primaries of all groups, for the
// directory.
func (g *Gateway) Reports() []directoryrpc.Report {
	now := clock.Now()
	var out []directoryrpc.Report
	for _, gv := range g.view.Load().groups {
		out = append(out, gv.report(now))
	}
	return out
}

// SwitchingReports returns the observations of groups that are switching, without
// which the host must not confirm a state.
func (g *Gateway) SwitchingReports() []directoryrpc.Report {
	now := clock.Now()
	var out []directoryrpc.Report
	for _, gv := range g.view.Load().groups {
		if gv.switching && gv.generation > 0 {
			out = append(out, gv.report(now))
		}
	}
	return out
}

// maxFailingReports bounds the reports on failing primaries in one request. When
// hundreds of hosts start at the same time, many connection attempts to busy servers
// time out, and the reports of all hosts would use up the links of control.
const maxFailingReports = 64

// NeededReports returns the observations that the directory needs: of groups that
// it asks for, that are switching or whose primary is failing. Their number does
// not grow with that of the groups: of the failing primaries, those that have failed
// for longest come first.
func (g *Gateway) NeededReports(asked []string) []directoryrpc.Report {
	now := clock.Now()
	var out, failing []directoryrpc.Report
	for name, gv := range g.view.Load().groups {
		switch {
		case gv.switching && gv.generation > 0, slices.Contains(asked, name):
			out = append(out, gv.report(now))
		case gv.primary != nil && gv.primary.failingFor(now) > 0:
			failing = append(failing, gv.report(now))
		}
	}
	slices.SortFunc(failing, func(a, b directoryrpc.Report) int { return cmp.Compare(b.FailingFor, a.FailingFor) })
	return append(out, failing[:min(len(failing), maxFailingReports)]...)
}
