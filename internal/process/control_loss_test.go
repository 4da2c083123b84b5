package process_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/consensus"
	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/internal/loopback"
	"github.com/arbutusring/arbutusring/internal/operator"
	"github.com/arbutusring/arbutusring/internal/process"
	"github.com/arbutusring/arbutusring/internal/standin"
	"github.com/arbutusring/arbutusring/internal/testlog"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/settings"
	"github.com/matryer/is"
)

// controlPolicy declares one group of one server.
const controlPolicy = `
[[database_group]]
name = "g"
members = 1

[[traffic_rank]]
name = %q
order = 0
floor = 0.2
default = true
`

// installation is a set of control processes with one entry and one backend server.
type installation struct {
	t         *testing.T
	dir       string
	ids       []string
	addresses map[string]string // peer addresses of control by id
	operators map[string]string // operator addresses of control by id
	running   map[string]*process.Control

	entrySettings settings.Settings
	entry         *process.Entry
	entryDial     process.DialFunc // nil for TCP
	logs          *testlog.Folder
	changes       int
}

func startControls(t *testing.T, n int) *installation {
	is := is.New(t)
	in := &installation{
		t: t, dir: t.TempDir(), logs: testlog.New(t),
		addresses: make(map[string]string), operators: make(map[string]string), running: make(map[string]*process.Control),
	}
	for i := range n {
		in.add(fmt.Sprint("c", i))
	}
	for _, id := range in.ids {
		in.start(id, true, in.ids)
	}
	in.entrySettings = settings.Settings{
		Host:   settings.Host{ID: "e", DataCentre: "d", Region: "r"},
		Listen: settings.Listen{Callers: loopback.FreeAddress(t), Peers: loopback.FreeAddress(t), Operators: loopback.FreeAddress(t)},
	}
	in.startEntry(in.ids)
	srv, err := standin.New(standin.Options{ID: "s", Group: "g", DataCentre: "d", AnnounceTo: []string{in.entrySettings.Listen.Operators}, AnnounceInterval: 100 * time.Millisecond})
	is.NoErr(err)
	is.NoErr(srv.Start())
	t.Cleanup(func() {
		srv.Abort()
		in.entry.Abort()
		for id := range in.running {
			in.kill(id)
		}
	})
	in.apply()
	eventually(t, "the entry has the lease of the server", in.entryHasLease)
	return in
}

// add chooses the addresses of a new control host.
func (in *installation) add(id string) {
	in.ids = append(in.ids, id)
	in.addresses[id], in.operators[id] = loopback.FreeAddress(in.t), loopback.FreeAddress(in.t)
}

// start starts a control process whose settings name the given hosts.
func (in *installation) start(id string, bootstrap bool, named []string) {
	in.t.Helper()
	cfg := settings.Settings{
		Host:    settings.Host{ID: id, DataCentre: "d", Region: "r"},
		Listen:  settings.Listen{Peers: in.addresses[id], Operators: in.operators[id]},
		Control: settings.Control{DataFolder: filepath.Join(in.dir, id), Bootstrap: bootstrap, Members: make(map[string]string)},
	}
	for _, other := range named {
		cfg.Control.Members[other] = in.addresses[other]
		cfg.Control.Addresses = append(cfg.Control.Addresses, in.addresses[other])
	}
	if err := os.MkdirAll(cfg.Control.DataFolder, 0o700); err != nil {
		in.t.Fatal(err)
	}
	p, err := process.StartControl(process.ControlOptions{Settings: cfg, Logger: in.logs.Logger(id)})
	if err != nil {
		in.t.Fatal(err)
	}
	in.running[id] = p
}

// startEntry starts the entry with settings that name the given control hosts.
func (in *installation) startEntry(named []string) {
	in.t.Helper()
	cfg := in.entrySettings
	for _, id := range named {
		cfg.Control.Addresses = append(cfg.Control.Addresses, in.addresses[id])
	}
	p, err := process.StartEntry(process.EntryOptions{Settings: cfg, Logger: in.logs.Logger("entry"), Dial: in.entryDial})
	if err != nil {
		in.t.Fatal(err)
	}
	in.entry = p
}

func (in *installation) kill(id string) {
	in.running[id].Abort()
	delete(in.running, id)
}

func (in *installation) loseDisk(id string) {
	if err := os.RemoveAll(filepath.Join(in.dir, id)); err != nil {
		in.t.Fatal(err)
	}
}

// apply changes the configuration and returns the default rank that it names.
func (in *installation) apply() string {
	in.t.Helper()
	in.changes++
	rank := fmt.Sprint("rank-", in.changes)
	eventually(in.t, "a configuration is accepted", func() bool {
		st, ok := in.leaderStatus()
		if !ok {
			return false
		}
		reply, err := in.client(st.ID).Apply(in.t.Context(), &controlrpc.ApplyArgs{
			ChangeID: rank, Operator: "test", BaseVersion: in.entry.Dump().ConfigVersion, Text: fmt.Sprintf(controlPolicy, rank),
		})
		return err == nil && reply.Kind == errkind.OK
	})
	return rank
}

func (in *installation) client(id string) operator.Client {
	return operator.Client{Address: in.operators[id]}
}

// leaderStatus returns the status of the leader; false if there is none.
func (in *installation) leaderStatus() (consensus.Status, bool) {
	for _, p := range in.running {
		if st := p.Dump().Log; st.Role == consensus.Leader && st.LeaseValid {
			return st, true
		}
	}
	return consensus.Status{}, false
}

// allVote reports whether exactly the running hosts vote, with their incarnations.
func (in *installation) allVote() bool {
	st, ok := in.leaderStatus()
	if !ok || len(st.Members) != len(in.running) {
		return false
	}
	return !slices.ContainsFunc(st.Members, func(m consensus.MemberStatus) bool {
		p := in.running[m.ID]
		return p == nil || m.Learner || p.Dump().Log.Incarnation != m.Incarnation
	})
}

// has reports whether `get` at every control host answers with a configuration that
// names rank.
func (in *installation) has(rank string) bool {
	for id := range in.running {
		ctx, cancel := context.WithTimeout(in.t.Context(), 2*time.Second)
		reply, err := in.client(id).State(ctx)
		cancel()
		if err != nil || reply.Kind != errkind.OK || reply.State.ConfigText != fmt.Sprintf(controlPolicy, rank) {
			return false
		}
	}
	return true
}

func (in *installation) entryHasLease() bool { return len(in.entry.Dump().Leases) == 1 }

// TestControlHostsLoseDisks guards against an acknowledged configuration that is lost with the disks that may be lost.
func TestControlHostsLoseDisks(t *testing.T) {
	for _, tc := range []struct{ hosts, lost int }{{3, 1}, {5, 2}, {6, 2}} {
		t.Run(fmt.Sprintf("%d of %d", tc.lost, tc.hosts), func(t *testing.T) {
			is := is.New(t)
			in := startControls(t, tc.hosts)
			for i, id := range in.ids[:2] {
				in.kill(id)
				in.loseDisk(id)
				if i == 0 {
					in.start(id, true, in.ids) // the settings that it had
				} else {
					in.start(id, false, []string{id})
				}
				begun := time.Now()
				eventually(t, "the host votes again", in.allVote)
				is.True(time.Since(begun) < catchUpTime)
			}
			rank := in.apply()
			st, ok := in.leaderStatus()
			is.True(ok)
			lost := []string{st.ID} // the settings of all processes then name only these
			for _, id := range in.ids {
				if id != st.ID && len(lost) < tc.lost {
					lost = append(lost, id)
				}
			}
			for _, id := range in.ids {
				in.kill(id)
			}
			in.entry.Abort()
			for _, id := range lost {
				in.loseDisk(id)
			}
			begun := time.Now()
			for _, id := range in.ids {
				in.start(id, false, lost)
			}
			in.startEntry(lost)
			eventually(t, "the entry has its lease", in.entryHasLease)
			eventually(t, "every host answers with the acknowledged configuration", func() bool { return in.has(rank) })
			eventually(t, "all hosts vote again", in.allVote)
			t.Logf("back after %s", time.Since(begun))
			is.True(time.Since(begun) < catchUpTime)
		})
	}
}
