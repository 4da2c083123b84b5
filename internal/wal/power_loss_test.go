package wal_test

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/arbutusring/arbutusring/internal/wal"
	"pgregory.net/rapid"
)

// folderState is what Open must return.
type folderState struct {
	hardState                   wal.HardState
	snapshotIndex, snapshotTerm uint64
	base                        uint64   // the entries follow it
	terms                       []uint64 // of the entries
}

func (s folderState) last() uint64 { return s.base + uint64(len(s.terms)) }

func (s folderState) String() string {
	return fmt.Sprintf("hard state %+v, snapshot %d of term %d, entries after %d of terms %v", s.hardState, s.snapshotIndex, s.snapshotTerm, s.base, s.terms)
}

func stateOf(c *wal.Contents) folderState {
	s := folderState{hardState: c.HardState}
	if c.Snapshot != nil {
		s.snapshotIndex, s.snapshotTerm, s.base = c.Snapshot.Index, c.Snapshot.Term, c.Snapshot.Index
	}
	for _, e := range c.Entries {
		s.terms = append(s.terms, e.Term)
	}
	return s
}

// powerLossModel writes a log on a simulated disk. A process may end, and the power
// be lost, at each step, also while the next process opens the folder.
type powerLossModel struct {
	t           *rapid.T
	dir         string
	disk        *disk
	log         *wal.Log
	state       folderState
	term        uint64
	incarnation string
}

func (m *powerLossModel) draw(n int, label string) int {
	return rapid.IntRange(0, n-1).Draw(m.t, label)
}

// open opens the folder, with some losses of power on the way. What it returns must
// be one of the allowed states, and stay so.
func (m *powerLossModel) open(allowed ...folderState) {
	for attempt := 0; ; attempt++ {
		m.disk.restart()
		if attempt < 4 && m.draw(3, "stopped during the start") == 0 {
			m.disk.stopIn = 1 + m.draw(16, "step of the start")
		}
		l, c, err := wal.Open(m.options())
		if err != nil && m.disk.stopped {
			m.maybeLosePower()
			continue
		}
		if err != nil {
			m.t.Fatalf("the folder can't be opened: %v", err)
		}
		m.disk.stopIn = 0
		m.log = l
		m.check(c, allowed)
		return
	}
}

func (m *powerLossModel) check(c *wal.Contents, allowed []folderState) {
	got := stateOf(c)
	if !slices.ContainsFunc(allowed, func(s folderState) bool { return s.String() == got.String() }) {
		m.t.Fatalf("found %v, want one of %v", got, allowed)
	}
	if m.incarnation != "" && c.Identity.Incarnation != m.incarnation {
		m.t.Fatalf("incarnation %q, want %q", c.Identity.Incarnation, m.incarnation)
	}
	m.state, m.incarnation = got, c.Identity.Incarnation
}

func (m *powerLossModel) options() wal.Options {
	opts := wal.Options{Dir: m.dir, Host: "h", SegmentBytes: 1500}
	opts.SetFiles(m.disk)
	return opts
}

func (m *powerLossModel) maybeLosePower() {
	if m.draw(3, "power lost") > 0 {
		m.disk.losePower()
	}
}

// do runs a step that leads to the state next. The process may end during it.
func (m *powerLossModel) do(next folderState, step func() error) {
	if m.draw(4, "stopped during the step") == 0 {
		m.disk.stopIn = 1 + m.draw(8, "operation of the step")
	}
	err := step()
	m.disk.stopIn = 0
	if err == nil {
		m.state = next
		return
	}
	if !m.disk.stopped {
		m.t.Fatal(err)
	}
	m.restart(m.state, next)
}

// close releases the lock of the folder, as the end of a process does.
func (m *powerLossModel) close() {
	if m.log != nil {
		_ = m.log.Close()
	}
}

// restart ends the process and starts the next one.
func (m *powerLossModel) restart(allowed ...folderState) {
	m.close()
	m.maybeLosePower()
	m.open(allowed...)
}

func (m *powerLossModel) save(from uint64, count int, newTerm bool) {
	if newTerm {
		m.term++
	}
	var es []wal.Entry
	next := m.state
	next.hardState = wal.HardState{Term: m.term, Vote: fmt.Sprint(m.draw(3, "vote"))}
	next.terms = slices.Clone(m.state.terms[:from-1-m.state.base])
	for i := range count {
		data := strings.Repeat("x", m.draw(700, "size"))
		es = append(es, wal.Entry{Index: from + uint64(i), Term: m.term, Data: []byte(data)})
		next.terms = append(next.terms, m.term)
	}
	hs := &next.hardState
	if m.draw(3, "entries alone") == 0 {
		hs, next.hardState = nil, m.state.hardState
	}
	m.do(next, func() error { return m.log.Save(hs, es) })
}

// afterSnapshot returns the state once a snapshot is durable.
func (m *powerLossModel) afterSnapshot(index, term uint64) folderState {
	next := m.state
	next.snapshotIndex, next.snapshotTerm = index, term
	next.base, next.terms = index, nil
	if index <= m.state.last() && m.state.terms[index-1-m.state.base] == term {
		next.terms = slices.Clone(m.state.terms[index-m.state.base:])
	}
	return next
}

// install replaces the log as a node does: the hard state, the snapshot, the reset
// and the next entries are written one after the other.
func (m *powerLossModel) install(index uint64) {
	m.term++
	before := m.state
	next := m.state
	next.hardState = wal.HardState{Term: m.term}
	m.do(next, func() error { return m.log.Save(&next.hardState, nil) })
	if m.state.hardState != next.hardState {
		return // the process has ended
	}
	s := m.afterSnapshot(index, m.term)
	snapshot := &wal.Snapshot{Index: index, Term: m.term, Data: []byte(strings.Repeat("s", m.draw(1500, "size")))}
	m.do(s, func() error { return m.log.SaveSnapshot(snapshot) })
	if m.state.snapshotIndex != index {
		return
	}
	if before.last() < index || len(m.state.terms) == 0 {
		m.do(m.state, func() error { return m.log.Reset(index, m.term) })
	}
}

// TestPowerLoss guards against a folder that can't be opened, and against forgotten
// votes and entries, after losses of power at any step, also during the next start.
func TestPowerLoss(t *testing.T) {
	parent := t.TempDir()
	rapid.Check(t, func(t *rapid.T) {
		dir, err := os.MkdirTemp(parent, "") // of its own: a run that rapid cuts short keeps its lock
		if err != nil {
			t.Fatal(err)
		}
		m := &powerLossModel{t: t, dir: dir, term: 1}
		m.disk = newDisk(m.draw)
		defer m.close()
		m.open(folderState{})
		t.Repeat(map[string]func(*rapid.T){
			"append": func(t *rapid.T) { m.save(m.state.last()+1, 1+m.draw(4, "count"), m.draw(3, "new term") == 0) },
			"replace": func(t *rapid.T) {
				if len(m.state.terms) == 0 {
					t.Skip("no entries")
				}
				m.save(m.state.base+1+uint64(m.draw(len(m.state.terms), "from")), 1+m.draw(4, "count"), true)
			},
			"vote": func(t *rapid.T) { m.save(m.state.last()+1, 0, true) },
			"snapshot": func(t *rapid.T) {
				if len(m.state.terms) == 0 {
					t.Skip("nothing new")
				}
				n := m.draw(len(m.state.terms), "index")
				index, term := m.state.base+1+uint64(n), m.state.terms[n]
				next := m.afterSnapshot(index, term)
				m.do(next, func() error { return m.log.SaveSnapshot(&wal.Snapshot{Index: index, Term: term}) })
			},
			"compact": func(t *rapid.T) {
				if m.state.snapshotIndex == 0 {
					t.Skip("no snapshot")
				}
				m.do(m.state, func() error { return m.log.Compact(m.state.snapshotIndex) })
			},
			"install": func(t *rapid.T) { m.install(m.state.base + 1 + uint64(m.draw(len(m.state.terms)+9, "ahead"))) },
			"restart": func(t *rapid.T) { m.restart(m.state) },
		})
	})
}
