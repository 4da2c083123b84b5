package process_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/consensus"
	"github.com/arbutusring/arbutusring/internal/directory"
	"github.com/arbutusring/arbutusring/internal/eventlog"
	"github.com/arbutusring/arbutusring/internal/loopback"
	"github.com/arbutusring/arbutusring/internal/process"
	"github.com/arbutusring/arbutusring/internal/testlog"
	"github.com/arbutusring/arbutusring/pkg/database"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/settings"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// catchUpTime is how long a control host that has lost its disk may take until it
// counts again, on deployments that bear the loss of two at once.
const catchUpTime = 6 * time.Second

// directories is a set of directory processes, two in each of three data centres.
type directories struct {
	t         *testing.T
	dir       string
	ids       []string
	addresses map[string]string
	running   map[string]*process.Directory
	planes    map[string]process.ControlPlane // of the running processes
	network   *darkNetwork
	logs      *testlog.Folder
}

func startDirectories(t *testing.T, n int) *directories {
	d := &directories{
		t: t, dir: t.TempDir(), addresses: make(map[string]string), running: make(map[string]*process.Directory),
		planes: make(map[string]process.ControlPlane), network: newDarkNetwork(), logs: testlog.New(t),
	}
	for i := range n {
		id := fmt.Sprint("c", i)
		d.ids = append(d.ids, id)
		d.addresses[id] = loopback.FreeAddress(t)
	}
	for _, id := range d.ids {
		d.start(id, true, d.ids[:3])
	}
	t.Cleanup(func() {
		for id, p := range d.running {
			if t.Failed() {
				t.Logf("%s: %+v", id, p.Dump().Log)
			}
			d.kill(id)
		}
	})
	return d
}

// start starts a process whose settings name the given hosts as seeds.
func (d *directories) start(id string, bootstrap bool, seeds []string) {
	cfg := settings.Settings{
		Host:    settings.Host{ID: id, Name: id, DataCentre: fmt.Sprint("d", slices.Index(d.ids, id)%3), Region: "r"},
		Listen:  settings.Listen{Peers: d.addresses[id], Operators: "127.0.0.1:0"},
		Control: settings.Control{DataFolder: filepath.Join(d.dir, id), Bootstrap: bootstrap, Members: make(map[string]string)},
	}
	for _, seed := range seeds {
		cfg.Control.Members[seed] = d.addresses[seed]
		cfg.Control.Addresses = append(cfg.Control.Addresses, d.addresses[seed])
	}
	events := eventlog.New(eventlog.Options{Output: d.logs.Writer(id), Host: id, Level: zerolog.InfoLevel})
	d.t.Cleanup(func() { _ = events.Close() })
	p, err := process.StartDirectory(process.DirectoryOptions{Settings: cfg, Events: events, Dial: d.network.dialFrom(d.addresses[id]), Adapter: process.Adapter{
		ParseConfig:   func([]byte) (*database.Config, error) { return &database.Config{Version: 1}, nil },
		ControlRoutes: func(c process.ControlPlane) map[string]http.HandlerFunc { d.planes[id] = c; return nil },
		Promote:       func(string) func(context.Context, directory.Promotion) error { return nil },
	}})
	if err != nil {
		d.t.Fatal(err)
	}
	d.running[id] = p
}

// kill stops a process without a hand-over.
func (d *directories) kill(id string) {
	abort(d.running[id])
	delete(d.running, id)
}

// abort ends a process without a hand-over, and waits until it has released its data
// folder.
func abort(p *process.Directory) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = p.Stop(ctx) // the error says what was not finished
	<-p.Done()
}

// leaderStatus returns the status of the leader, which knows the members; false if there
// is none.
func (d *directories) leaderStatus() (consensus.Status, bool) {
	for _, p := range d.running {
		if st := p.Dump().Log; st.Role == consensus.Leader && st.LeaseValid {
			return st, true
		}
	}
	return consensus.Status{}, false
}

// voters returns the number of voters that run with the incarnation that votes.
func (d *directories) voters() int {
	st, _ := d.leaderStatus()
	n := 0
	for _, m := range st.Members {
		if p := d.running[m.ID]; p != nil && !m.Learner && p.Dump().Log.Incarnation == m.Incarnation {
			n++
		}
	}
	return n
}

// TestLostDisksReturn guards against control hosts that do not become voters again in
// time after they lost their disks, two at once and again and again, whatever seeds
// their settings name then.
func TestLostDisksReturn(t *testing.T) {
	is := is.New(t)
	d := startDirectories(t, 6)
	eventually(t, "five of the six hosts vote", func() bool { return d.voters() == 5 })
	for range 3 {
		st, ok := d.leaderStatus()
		is.True(ok)
		var lost []string // two voters that don't lead
		for _, m := range st.Members {
			if m.ID != st.ID && !m.Learner && len(lost) < 2 {
				lost = append(lost, m.ID)
			}
		}
		for _, id := range lost {
			d.kill(id)
			is.NoErr(os.RemoveAll(filepath.Join(d.dir, id)))
		}
		begun := time.Now()
		for _, id := range lost {
			d.start(id, false, lost)
		}
		eventually(t, "five hosts vote again", func() bool { return d.voters() == 5 })
		is.True(time.Since(begun) < catchUpTime)
	}
}

// TestRemovedHostReturns guards against a control host that stays outside for good after
// the other one of its data centre replaced it while it was down.
func TestRemovedHostReturns(t *testing.T) {
	is := is.New(t)
	d := startDirectories(t, 6)
	eventually(t, "five of the six hosts vote", func() bool { return d.voters() == 5 })
	st, ok := d.leaderStatus()
	is.True(ok)
	removed := ""
	for i, id := range d.ids {
		if other := d.ids[(i+3)%6]; id != st.ID && isVoter(st, id) && isVoter(st, other) {
			removed = id
		}
	}
	d.kill(removed)
	isMember := func() bool {
		st, ok := d.leaderStatus()
		return ok && slices.ContainsFunc(st.Members, func(m consensus.MemberStatus) bool { return m.ID == removed })
	}
	eventually(t, "the host is removed", func() bool { _, ok := d.leaderStatus(); return ok && !isMember() })
	d.start(removed, false, []string{removed})
	eventually(t, "the host is a member again", isMember)
}

// isVoter reports whether a host votes.
func isVoter(st consensus.Status, id string) bool {
	return slices.ContainsFunc(st.Members, func(m consensus.MemberStatus) bool { return m.ID == id && !m.Learner })
}

// TestFailedReadIsLogged guards against a refused read of the configuration that leaves
// no trace.
func TestFailedReadIsLogged(t *testing.T) {
	is := is.New(t)
	var out lockedBuffer
	events := eventlog.New(eventlog.Options{Output: &out, Host: "c0"})
	var plane process.ControlPlane
	p, err := process.StartDirectory(process.DirectoryOptions{
		Settings: settings.Settings{
			Host:    settings.Host{ID: "c0", Name: "c0", DataCentre: "d", Region: "r"},
			Listen:  settings.Listen{Peers: "127.0.0.1:0", Operators: "127.0.0.1:0"},
			Control: settings.Control{DataFolder: t.TempDir()}, // an empty host that nobody adds
		},
		Adapter: process.Adapter{
			ControlRoutes: func(c process.ControlPlane) map[string]http.HandlerFunc { plane = c; return nil },
			Promote:       func(string) func(context.Context, directory.Promotion) error { return nil },
		},
		Events: events,
	})
	is.NoErr(err)
	_, err = plane.Get(t.Context())
	kind := errkind.Of(err) // the second one if the time ends during an attempt
	is.True(kind == errkind.NotLeader || kind == errkind.OutcomeUnknown)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_ = p.Stop(ctx) // the error says what was not finished
	is.NoErr(events.Close())
	is.True(strings.Contains(out.String(), `"event":"control_call_failed","call":"get"`))
}

// lockedBuffer is a buffer that the event log writes to in the background.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}
