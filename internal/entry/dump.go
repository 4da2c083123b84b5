package entry

import (
	"sort"
	"time"

	"github.com/arbutusring/arbutusring/pkg/logpos"
)

// Dump is the state of an entry as shown to operators.
type Dump struct {
	ID           string        `json:"id"`
	Ready        bool          `json:"ready"`
	Draining     bool          `json:"draining"`
	StateVersion uint64        `json:"state_version"`
	ConfigAge    time.Duration `json:"config_age"` // since the last confirmation of the state; -1: never confirmed
	Sessions     int           `json:"sessions"`
	Groups       []GroupDump   `json:"groups"`
}

// GroupDump is the state of one database group at an entry.
type GroupDump struct {
	Name     string       `json:"name"`
	Term     uint64       `json:"term"`
	Primary  string       `json:"primary"`
	Sessions int          `json:"sessions"`
	Samples  int          `json:"samples"` // number of staleness samples kept
	Members  []MemberDump `json:"members"`
}

// MemberDump is the state of one backend server as an entry knows it.
type MemberDump struct {
	Server      string          `json:"server"`
	Owner       string          `json:"owner"`
	Applied     logpos.Position `json:"applied"`
	Distance    time.Duration   `json:"distance"` // round-trip time to the owner
	ReportAge   time.Duration   `json:"report_age"`
	Inflight    int             `json:"inflight"`
	Suspect     bool            `json:"suspect"`
	Unreachable bool            `json:"unreachable"`
	Full        []string        `json:"full"` // ranks whose queue is full
}

// Dump returns the state of the entry, as a Dump.
func (e *Entry) Dump() any {
	v := e.view.Load()
	d := Dump{
		ID:           e.id,
		Ready:        e.Ready(),
		Draining:     e.draining.Load(),
		StateVersion: v.state.Version,
		ConfigAge:    -1,
		Sessions:     e.sessionCount(),
		Groups:       []GroupDump{},
	}
	if last := e.lastConfirmed.Load(); last != 0 {
		d.ConfigAge = time.Since(e.created) - time.Duration(last)
	}
	for name, gv := range v.groups {
		d.Groups = append(d.Groups, e.dumpGroup(name, gv))
	}
	sort.Slice(d.Groups, func(i, j int) bool { return d.Groups[i].Name < d.Groups[j].Name })
	return d
}

func (e *Entry) dumpGroup(name string, gv *groupView) GroupDump {
	dg := GroupDump{Name: name, Term: gv.term, Members: []MemberDump{}}
	if gv.primary != nil {
		dg.Primary = gv.primary.server
	}
	e.mu.Lock()
	g := e.groups[name]
	e.mu.Unlock()
	if g != nil {
		g.mu.Lock()
		dg.Sessions, dg.Samples = g.sessions, g.samples.Len()
		g.mu.Unlock()
	}
	now := time.Now()
	for _, t := range gv.targets {
		dm := t.member.dump(now)
		dm.Owner = t.host
		dg.Members = append(dg.Members, dm)
	}
	return dg
}

func (m *member) dump(now time.Time) MemberDump {
	m.mu.Lock()
	defer m.mu.Unlock()
	return MemberDump{
		Server:      m.server,
		Applied:     m.applied,
		Distance:    m.rtt,
		ReportAge:   now.Sub(m.loadAt),
		Inflight:    m.inflight,
		Suspect:     now.Before(m.suspectUntil),
		Unreachable: m.unreachable,
		Full:        m.load.Full,
	}
}
