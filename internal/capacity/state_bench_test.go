package capacity_test

import (
	"bytes"
	"compress/flate"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/capacity"
	"github.com/arbutusring/arbutusring/internal/control"
	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/internal/entry"
	"github.com/arbutusring/arbutusring/internal/owner"
	"github.com/arbutusring/arbutusring/pkg/policy"
	"github.com/ugorji/go/codec"
)

// handle has the settings of package peer.
func handle() *codec.MsgpackHandle {
	h := new(codec.MsgpackHandle)
	h.WriteExt = true
	return h
}

func mustEncode(b *testing.B, v any) []byte {
	b.Helper()
	var out []byte
	if err := codec.NewEncoderBytes(&out, handle()).Encode(v); err != nil {
		b.Fatal(err)
	}
	return out
}

func mustDecode(b *testing.B, data []byte, v any) {
	b.Helper()
	if err := codec.NewDecoderBytes(data, handle()).Decode(v); err != nil {
		b.Fatal(err)
	}
}

func load(b *testing.B, f capacity.Fleet) (*control.Machine, uint64) {
	b.Helper()
	m := control.NewMachine()
	next, err := f.Load(m.Apply)
	if err != nil {
		b.Fatal(err)
	}
	return m, next
}

// timed returns the processor time of one call of f, from as many calls as
// take a while.
func timed(f func()) time.Duration {
	runtime.GC()
	start, began, n := capacity.ProcessorTime(), time.Now(), 0
	for n == 0 || (time.Since(began) < 300*time.Millisecond && n < 100_000) {
		f()
		n++
	}
	return (capacity.ProcessorTime() - start) / time.Duration(n)
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
func us(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// report prints the series of a benchmark. It does not log them, because package
// testing shows only the first ten lines of a benchmark's log.
func report(all ...*capacity.Series) {
	for _, s := range all {
		fmt.Println(s)
	}
}

func series(name, x, y string) *capacity.Series {
	return &capacity.Series{Name: name, XUnit: x, YUnit: y}
}

// BenchmarkWatchReply measures a Watch reply with the whole state, and what
// the receiver does with it.
func BenchmarkWatchReply(b *testing.B) {
	for b.Loop() {
		size := series("reply", "groups", "bytes")
		text := series("configuration text in it", "groups", "bytes")
		enc := series("encode", "groups", "ms")
		small := series("reply, deflated", "groups", "bytes")
		deflate := series("deflate", "groups", "ms")
		dec := series("decode", "groups", "ms")
		parse := series("policy.Parse", "groups", "ms")
		ownerSet := series("owner.SetState", "groups", "ms")
		entrySet := series("entry.SetState", "groups", "ms")
		stateHeap := series("memory of a decoded state and parsed configuration", "groups", "bytes")
		viewHeap := series("memory of the entry's view", "groups", "bytes")
		for _, groups := range capacity.Sizes {
			f := capacity.NewFleet(groups)
			m, _ := load(b, f)
			x := float64(groups)
			reply := controlrpc.WatchReply{Changed: true, State: m.View().State}
			data := mustEncode(b, &reply)
			size.Add(x, float64(len(data)))
			text.Add(x, float64(len(reply.State.ConfigText)))
			enc.Add(x, ms(timed(func() { mustEncode(b, &reply) })))
			small.Add(x, float64(len(deflated(b, data))))
			deflate.Add(x, ms(timed(func() { deflated(b, data) })))
			dec.Add(x, ms(timed(func() { mustDecode(b, data, new(controlrpc.WatchReply)) })))
			parse.Add(x, ms(timed(func() { mustParse(b, reply.State.ConfigText) })))

			before := capacity.Memory()
			got := new(controlrpc.WatchReply)
			mustDecode(b, data, got)
			cfg := mustParse(b, got.State.ConfigText)
			stateHeap.Add(x, capacity.Memory()-before)

			o := owner.New(owner.Options{})
			ownerSet.Add(x, ms(timed(func() { o.SetState(got.State, cfg) })))
			before = capacity.Memory()
			e := entry.New(entry.Options{Host: f.Host(0)})
			e.SetState(got.State, cfg)
			viewHeap.Add(x, capacity.Memory()-before)
			entrySet.Add(x, ms(timed(func() { e.SetState(got.State, cfg) })))
			e.Close()
			runtime.KeepAlive(m)
		}
		report(size, text, enc, small, deflate, dec, parse, ownerSet, entrySet, stateHeap, viewHeap)
	}
}

// deflated compresses at the fastest level.
func deflated(b *testing.B, data []byte) []byte {
	b.Helper()
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		b.Fatal(err)
	}
	if _, err := w.Write(data); err != nil {
		b.Fatal(err)
	}
	if err := w.Close(); err != nil {
		b.Fatal(err)
	}
	return out.Bytes()
}

// BenchmarkDelta measures a Watch reply that carries only what one change
// touched, and its merge into the state of the receiver.
func BenchmarkDelta(b *testing.B) {
	for b.Loop() {
		lease := series("reply after a change of a lease", "groups", "bytes")
		group := series("reply after a change of a group", "groups", "bytes")
		host := series("reply after the restart of a host", "groups", "bytes")
		config := series("reply after a configuration", "groups", "bytes")
		find := series("ChangesSince after a change of a lease", "groups", "us")
		merge := series("Merge of a change of a lease", "groups", "ms")
		for _, groups := range capacity.Sizes {
			x := float64(groups)
			f := capacity.NewFleet(groups)
			m, next := load(b, f)
			apply := func(c control.Command) controlrpc.WatchReply {
				old := m.View().Version
				results, err := control.DecodeResults(m.Apply(next, control.EncodeCommands(c)))
				if err != nil || results[0].Err() != nil {
					b.Fatal(err, results)
				}
				next++
				m.View()
				r := controlrpc.WatchReply{Changed: true, Changes: m.ChangesSince(old)}
				if r.Changes == nil {
					b.Fatal("no changes are known")
				}
				return r
			}
			size := func(r controlrpc.WatchReply) float64 { return float64(len(mustEncode(b, &r))) }
			restarted := f.Host(3)
			restarted.Incarnation = "c9x1k2m3n4p6"
			host.Add(x, size(apply(control.Command{Register: &control.RegisterHost{Host: restarted, Revision: 4}})))
			group.Add(x, size(apply(control.Command{Begin: &control.BeginTerm{
				Group: f.GroupName(0), ExpectTerm: 1, ExpectPhase: controlrpc.PhaseSteady, Term: 2,
			}})))
			config.Add(x, size(apply(control.Command{Configure: &control.Configure{Args: controlrpc.ApplyArgs{
				ChangeID: "second", BaseVersion: 1, Operator: "operator", Text: f.ConfigText(),
			}}})))
			old := m.View().State
			l := old.Leases[f.ServerID(0, 0)]
			r := apply(control.Command{Revoke: &control.RevokeLease{Server: l.Server, Epoch: l.Epoch}})
			lease.Add(x, size(r))
			find.Add(x, us(timed(func() { m.ChangesSince(old.Version) })))
			merge.Add(x, ms(timed(func() { r.Merge(old) })))
		}
		report(lease, group, host, config, find, merge)
	}
}

func mustParse(b *testing.B, text string) *policy.Config {
	b.Helper()
	cfg, err := policy.Parse("policy.toml", text)
	if err != nil {
		b.Fatal(err)
	}
	return cfg
}

// BenchmarkEffective measures the lookup of a policy, which an entry does once
// for each group and rank after every new state.
func BenchmarkEffective(b *testing.B) {
	for b.Loop() {
		s := series("Effective of a group in the middle", "groups", "us")
		for _, groups := range capacity.Sizes {
			f := capacity.NewFleet(groups)
			cfg := mustParse(b, f.ConfigText())
			s.Add(float64(groups), us(timed(func() {
				if _, ok := cfg.Effective(f.GroupName(groups/2), "bulk"); !ok {
					b.Fatal("not found")
				}
			})))
		}
		report(s)
	}
}

// BenchmarkApply measures the log entries of changes and the replicated state.
func BenchmarkApply(b *testing.B) {
	for b.Loop() {
		entrySize := series("log entry of a configuration", "groups", "bytes")
		apply := series("Apply of a configuration", "groups", "ms")
		view := series("View after a change of a lease", "groups", "ms")
		groupView := series("View after a change of a group", "groups", "ms")
		snapshot := series("Snapshot", "groups", "ms")
		snapshotSize := series("Snapshot size", "groups", "bytes")
		restore := series("Restore", "groups", "ms")
		memory := series("memory of the state", "groups", "bytes")
		for _, groups := range capacity.Sizes {
			x := float64(groups)
			f := capacity.NewFleet(groups)
			before := capacity.Memory()
			m, next := load(b, f)
			memory.Add(x, capacity.Memory()-before)
			version := uint64(1)
			run := func(c control.Command) {
				results, err := control.DecodeResults(m.Apply(next, control.EncodeCommands(c)))
				if err != nil || results[0].Err() != nil {
					b.Fatal(err, results)
				}
				next++
			}
			configure := func() control.Command {
				return control.Command{Configure: &control.Configure{Args: controlrpc.ApplyArgs{
					ChangeID: fmt.Sprint("change-", next), BaseVersion: version, Operator: "operator", Text: f.ConfigText(),
				}}}
			}
			entrySize.Add(x, float64(len(control.EncodeCommands(configure()))))
			apply.Add(x, ms(timed(func() { run(configure()); version++ })))
			server := f.ServerID(0, 0)
			view.Add(x, ms(timed(func() {
				l := m.View().Leases[server]
				run(control.Command{Revoke: &control.RevokeLease{Server: server, Epoch: l.Epoch}})
				run(control.Command{Assign: &control.AssignLease{
					Server: server, Epoch: l.Epoch, Host: l.Host, Incarnation: l.Incarnation,
				}})
				m.View()
			})))
			term := uint64(1)
			groupView.Add(x, ms(timed(func() {
				run(control.Command{Begin: &control.BeginTerm{
					Group: f.GroupName(0), ExpectTerm: term, ExpectPhase: m.View().Groups[f.GroupName(0)].Phase, Term: term + 1,
				}})
				term++
				m.View()
			})))
			data := m.Snapshot()
			snapshotSize.Add(x, float64(len(data)))
			snapshot.Add(x, ms(timed(func() { m.Snapshot() })))
			other := control.NewMachine()
			restore.Add(x, ms(timed(func() {
				if err := other.Restore(data); err != nil {
					b.Fatal(err)
				}
			})))
		}
		report(entrySize, apply, view, groupView, snapshotSize, snapshot, restore, memory)
	}
}

// BenchmarkLogBytes reports the log entries of the other changes, which do not
// depend on the size of the fleet.
func BenchmarkLogBytes(b *testing.B) {
	f := capacity.NewFleet(100)
	h := f.Host(7)
	for b.Loop() {
		for _, c := range []struct {
			name    string
			command control.Command
		}{
			{"register", control.Command{Register: &control.RegisterHost{Host: h, Revision: 1 << 40}}},
			{"revoke", control.Command{Revoke: &control.RevokeLease{Server: f.ServerID(1, 1), Epoch: 1 << 40}}},
			{"assign", control.Command{Assign: &control.AssignLease{Server: f.ServerID(1, 1), Epoch: 1 << 40, Host: h.ID, Incarnation: h.Incarnation}}},
			{"begin", control.Command{Begin: &control.BeginTerm{Group: f.GroupName(1), ExpectTerm: 9, ExpectPhase: controlrpc.PhaseSteady, Term: 10}}},
			{"name", control.Command{Name: &control.NamePrimary{Group: f.GroupName(1), Term: 10, Server: f.ServerID(1, 1)}}},
		} {
			b.ReportMetric(float64(len(control.EncodeCommands(c.command))), c.name+"-B")
		}
	}
}
