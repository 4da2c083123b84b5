package control_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/arbutusring/arbutusring/internal/control"
	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// replica is a Machine together with the index of its last log entry.
type replica struct {
	t rapid.TB
	*control.Machine
	index uint64
}

func newReplica(t rapid.TB) *replica { return &replica{t: t, Machine: control.NewMachine()} }

func (r *replica) do(c control.Command) control.Result {
	r.index++
	results, err := control.DecodeResults(r.Apply(r.index, control.EncodeCommands(c)))
	if err != nil || len(results) != 1 {
		r.t.Fatalf("results %v: %v", results, err)
	}
	return results[0]
}

func (r *replica) configure(id, operator string, base uint64, text string) control.Result {
	return r.do(control.Command{Configure: &control.Configure{
		Args: controlrpc.ApplyArgs{ChangeID: id, Operator: operator, BaseVersion: base, Text: text},
	}})
}

// restore replaces the Machine by one restored from its snapshot, as after a
// restart of the process.
func (r *replica) restore() {
	next := control.NewMachine()
	if err := next.Restore(r.Snapshot()); err != nil {
		r.t.Fatal(err)
	}
	r.Machine = next
}

func announce(id string, revision uint64) control.Command {
	return control.Command{Announce: &control.AnnounceServer{Revision: revision, Server: controlrpc.Server{
		ID: id, Group: "orders", Address: "at-" + id, DataCentre: "dc",
	}}}
}

func register(id, incarnation string, revision uint64) control.Command {
	return control.Command{Register: &control.RegisterHost{Revision: revision, Host: controlrpc.Host{
		ID: id, Incarnation: incarnation, Address: "at-" + id, DataCentre: "dc",
	}}}
}

func assign(server string, epoch uint64, host string) control.Command {
	return control.Command{Assign: &control.AssignLease{Server: server, Epoch: epoch, Host: host, Incarnation: "a"}}
}

func beginTerm(term uint64, phase controlrpc.Phase, next uint64) control.Command {
	return control.Command{Begin: &control.BeginTerm{Group: "orders", ExpectTerm: term, ExpectPhase: phase, Term: next}}
}

func namePrimary(term uint64, server string) control.Command {
	return control.Command{Name: &control.NamePrimary{Group: "orders", Term: term, Server: server}}
}

func drain(id, change string, undo bool) control.Command {
	return control.Command{Drain: &control.SetDraining{Args: controlrpc.DrainArgs{ID: id, ChangeID: change, Undo: undo}}}
}

// TestConfigure guards against a configuration that is lost, reverted or applied
// twice when operators race with equal base versions or resend a change.
func TestConfigure(t *testing.T) {
	a, b := config(3), config(5)
	won := control.Result{Version: 1}
	lost := control.Result{Kind: errkind.Conflict, Version: 1, WonBy: "ann", WonChange: "c1"}
	type step struct {
		id, operator string
		base         uint64
		text         string
		want         control.Result
	}
	first := step{"c1", "ann", 0, a, won}
	for _, tc := range []struct {
		name  string
		steps []step
		text  string // in force at the end
	}{
		{"race with equal versions", []step{first, {"c2", "bob", 0, b, lost}}, a},
		{"resend after a lost answer", []step{first, first, first}, a},
		{"resend after a later change", []step{first, {"c2", "bob", 1, b, control.Result{Version: 2}}, first}, b},
		{"resend of a refused change", []step{first, {"c2", "bob", 0, b, lost},
			{"c3", "ann", 1, b, control.Result{Version: 2}}, {"c2", "bob", 0, b, lost}}, b},
		{"change id used twice", []step{first, {"c1", "ann", 1, b, control.Result{Kind: errkind.BadRequest}}}, a},
		{"malformed text", []step{first, {"c2", "bob", 1, "[[database_group", control.Result{Kind: errkind.BadRequest}}}, a},
		{"resend of a malformed text", []step{{"c1", "ann", 0, "x = 1", control.Result{Kind: errkind.BadRequest}},
			{"c1", "ann", 0, "x = 1", control.Result{Kind: errkind.BadRequest}}}, ""},
	} {
		for _, restart := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, restart %v", tc.name, restart), func(t *testing.T) {
				is := is.New(t)
				r := newReplica(t)
				for _, s := range tc.steps {
					got := r.configure(s.id, s.operator, s.base, s.text)
					got.Detail = ""
					is.Equal(got, s.want)
					if restart {
						r.restore()
					}
				}
				is.Equal(r.View().ConfigText, tc.text)
			})
		}
	}
}

// TestConfigureAfterManyChanges guards against reverting to an old
// configuration, and against losing first answers, after hundreds of changes
// with restores in between.
func TestConfigureAfterManyChanges(t *testing.T) {
	is := is.New(t)
	r := newReplica(t)
	for i := range uint64(500) {
		got := r.configure(fmt.Sprint("c", i), "ann", i, config(int(i+1)))
		is.Equal(got, control.Result{Version: i + 1})
		if i%50 == 0 {
			r.restore()
		}
	}
	r.restore()
	is.Equal(r.configure("c7", "ann", 7, config(8)), control.Result{Version: 8}) // first answer
	late := r.configure("late", "bob", 7, config(1))
	is.Equal(late.Kind, errkind.Conflict)
	is.Equal(late.WonChange, "c499")
	is.True(strings.Contains(late.Detail, `"ann"`))
	is.Equal(r.View().ConfigVersion, uint64(500))
	is.Equal(r.View().ConfigText, config(500))
}

// TestLateCommands guards against state changes by a command that was already
// applied, or that an old leader proposed for an earlier state.
func TestLateCommands(t *testing.T) {
	setup := func(t *testing.T) *replica {
		r := newReplica(t)
		r.configure("c1", "ann", 0, config(1))
		for _, c := range []control.Command{
			register("h1", "a", 0), register("h2", "a", 0), // entries 2, 3
			announce("s1", 0), announce("s2", 0), // entries 4, 5
			assign("s1", 0, "h1"), // entry 6, so the epoch is 6
			beginTerm(0, controlrpc.PhaseWaiting, 1), namePrimary(1, "s1"),
			beginTerm(1, controlrpc.PhaseSteady, 2), namePrimary(2, "s1"),
			drain("h2", "d1", false), drain("h2", "d2", true),
		} {
			if res := r.do(c); res.Kind != errkind.OK {
				t.Fatal(res)
			}
		}
		return r
	}
	revoke := func(epoch uint64) control.Command {
		return control.Command{Revoke: &control.RevokeLease{Server: "s1", Epoch: epoch}}
	}
	for _, tc := range []struct {
		name   string
		before []control.Command // accepted
		late   control.Command
		want   errkind.Kind
	}{
		{"assignment of a lease that is held", nil, assign("s1", 6, "h2"), errkind.Conflict},
		{"second assignment with an equal epoch", []control.Command{revoke(6), assign("s1", 6, "h2")}, assign("s1", 6, "h1"), errkind.Conflict},
		{"assignment of a lease that was free", nil, assign("s1", 0, "h2"), errkind.Conflict},
		{"assignment to a replaced process", []control.Command{revoke(6), register("h2", "b", 3)}, assign("s1", 6, "h2"), errkind.Conflict},
		{"revocation at an old epoch", nil, revoke(5), errkind.Conflict},
		{"second revocation", []control.Command{revoke(6)}, revoke(6), errkind.Conflict},
		{"begin of an old term", nil, beginTerm(1, controlrpc.PhaseSteady, 2), errkind.Conflict},
		{"begin in another phase", nil, beginTerm(2, controlrpc.PhaseFencing, 3), errkind.Conflict},
		{"begin of a term that is not greater", nil, beginTerm(2, controlrpc.PhaseSteady, 2), errkind.Conflict},
		{"primary of an old term", []control.Command{beginTerm(2, controlrpc.PhaseSteady, 3)}, namePrimary(2, "s1"), errkind.Conflict},
		{"primary of a steady group", nil, namePrimary(2, "s1"), errkind.Conflict},
		{"primary that is no member", []control.Command{beginTerm(2, controlrpc.PhaseSteady, 3)}, namePrimary(3, "s2"), errkind.Conflict},
		{"announcement", nil, announce("s2", 0), errkind.Conflict},
		{"registration of a replaced process", []control.Command{register("h1", "b", 2)}, register("h1", "a", 2), errkind.Conflict},
		{"drain after it was undone", nil, drain("h2", "d1", false), errkind.OK},
		{"removal of a member", nil, control.Command{Remove: &control.RemoveServer{ID: "s1", Revision: 4}}, errkind.BadRequest},
		{"removal of a host with leases", nil, control.Command{Forget: &control.ForgetHost{ID: "h1", Revision: 2}}, errkind.Conflict},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			r := setup(t)
			for _, c := range tc.before {
				is.NoErr(r.do(c).Err())
			}
			before := r.Snapshot()
			is.Equal(r.do(tc.late).Kind, tc.want)
			is.True(bytes.Equal(before, r.Snapshot()))
		})
	}
}

// TestReplicasAgree guards against control hosts that reach different states
// from the same log, versions, terms or epochs that decrease, views and indexes
// that differ from the state after a restore, and watchers that miss a change.
func TestReplicasAgree(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		var watched controlrpc.State // state of a watcher of replica two
		one, two := newReplica(t), newReplica(t)
		small := rapid.Uint64Range(0, 6)
		server, host := rapid.SampledFrom([]string{"s1", "s2", "s3"}), rapid.SampledFrom([]string{"h1", "h2"})
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			v := one.View()
			s, h := server.Draw(t, "server"), host.Draw(t, "host")
			g, l := v.Groups["orders"], v.Leases[s]
			// Half of the commands match the state, so that it changes.
			epoch, term := l.Epoch, g.Term
			if rapid.Bool().Draw(t, "late") {
				epoch, term = small.Draw(t, "epoch"), small.Draw(t, "term")
			}
			c := []control.Command{
				announce(s, small.Draw(t, "revision")), register(h, "a", 0),
				{Revoke: &control.RevokeLease{Server: s, Epoch: epoch}}, assign(s, epoch, h),
				beginTerm(term, g.Phase, term+1), namePrimary(term, s), drain(h, fmt.Sprint(small.Draw(t, "id")), rapid.Bool().Draw(t, "undo")),
				{Configure: &control.Configure{Args: controlrpc.ApplyArgs{
					ChangeID: fmt.Sprint(small.Draw(t, "id")), BaseVersion: v.ConfigVersion, Text: config(int(small.Draw(t, "members"))),
				}}},
				{Remove: &control.RemoveServer{ID: s, Revision: small.Draw(t, "revision")}},
			}[rapid.IntRange(0, 8).Draw(t, "command")]
			if a, b := one.do(c), two.do(c); a != b {
				t.Fatalf("answers differ: %v, %v", a, b)
			}
			if rapid.IntRange(0, 5).Draw(t, "restore") == 0 {
				two.restore()
			}
			if !bytes.Equal(one.Snapshot(), two.Snapshot()) {
				t.Fatalf("snapshots differ after %+v", c)
			}
			n, m := one.View(), two.View()
			if rapid.Bool().Draw(t, "watch") && m.Version > watched.Version {
				reply := controlrpc.WatchReply{Changed: true, State: m.State, Changes: two.ChangesSince(watched.Version)}
				if watched = reply.Merge(watched); fmt.Sprint(watched) != fmt.Sprint(m.State) {
					t.Fatalf("watcher has %v, want %v", watched, m.State)
				}
			}
			if fmt.Sprint(n.HeldLeases("h1", "a"), n.GroupServers("orders")) != fmt.Sprint(m.HeldLeases("h1", "a"), m.GroupServers("orders")) {
				t.Fatalf("indexes differ after %+v", c)
			}
			if n.Version < v.Version || n.ConfigVersion < v.ConfigVersion || n.Groups["orders"].Term < g.Term {
				t.Fatalf("a version or a term decreased after %+v", c)
			}
			if after, ok := n.Leases[s]; ok && after.Epoch < l.Epoch {
				t.Fatalf("the epoch of %s decreased after %+v", s, c)
			}
		}
	})
}
