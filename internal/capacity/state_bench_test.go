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

// msgpackHandle returns a handle with the settings that package peer uses.
func msgpackHandle() *codec.MsgpackHandle {
	h := new(codec.MsgpackHandle)
	h.WriteExt = true
	return h
}

func mustEncode(b *testing.B, v any) []byte {
	b.Helper()
	var out []byte
	if err := codec.NewEncoderBytes(&out, msgpackHandle()).Encode(v); err != nil {
		b.Fatal(err)
	}
	return out
}

func mustDecode(b *testing.B, data []byte, v any) {
	b.Helper()
	if err := codec.NewDecoderBytes(data, msgpackHandle()).Decode(v); err != nil {
		b.Fatal(err)
	}
}

func loadMachine(b *testing.B, f capacity.Fleet) (*control.Machine, uint64) {
	b.Helper()
	m := control.NewMachine()
	next, err := f.Load(m.Apply)
	if err != nil {
		b.Fatal(err)
	}
	return m, next
}

// cpuTimePerCall returns the mean processor time of a call of f. It makes at
// least one call and stops after 300 ms or 100,000 calls.
func cpuTimePerCall(f func()) time.Duration {
	runtime.GC()
	cpuBefore, start, n := capacity.ProcessorTime(), time.Now(), 0
	for n == 0 || (time.Since(start) < 300*time.Millisecond && n < 100_000) {
		f()
		n++
	}
	return (capacity.ProcessorTime() - cpuBefore) / time.Duration(n)
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
func us(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// printSeries prints the series of a benchmark to standard output. It does not
// log them, because package testing shows only the first ten lines of a
// benchmark's log.
func printSeries(all ...*capacity.Series) {
	for _, s := range all {
		fmt.Println(s)
	}
}

func newSeries(name, x, y string) *capacity.Series {
	return &capacity.Series{Name: name, XUnit: x, YUnit: y}
}

// BenchmarkWatchReply measures a Watch reply with the full state, and its
// processing by the receiver.
func BenchmarkWatchReply(b *testing.B) {
	for b.Loop() {
		replySize := newSeries("reply", "groups", "bytes")
		configSize := newSeries("configuration text in it", "groups", "bytes")
		encode := newSeries("encode", "groups", "ms")
		compressedSize := newSeries("reply, deflated", "groups", "bytes")
		deflate := newSeries("deflate", "groups", "ms")
		decode := newSeries("decode", "groups", "ms")
		parse := newSeries("policy.Parse", "groups", "ms")
		ownerSetState := newSeries("owner.SetState", "groups", "ms")
		entrySetState := newSeries("entry.SetState", "groups", "ms")
		stateMemory := newSeries("memory of a decoded state and parsed configuration", "groups", "bytes")
		entryMemory := newSeries("memory of the entry's view", "groups", "bytes")
		for _, groups := range capacity.GroupCounts {
			f := capacity.NewFleet(groups)
			m, _ := loadMachine(b, f)
			x := float64(groups)
			reply := controlrpc.WatchReply{Changed: true, State: m.View().State}
			data := mustEncode(b, &reply)
			replySize.Add(x, float64(len(data)))
			configSize.Add(x, float64(len(reply.State.ConfigText)))
			encode.Add(x, ms(cpuTimePerCall(func() { mustEncode(b, &reply) })))
			compressedSize.Add(x, float64(len(compress(b, data))))
			deflate.Add(x, ms(cpuTimePerCall(func() { compress(b, data) })))
			decode.Add(x, ms(cpuTimePerCall(func() { mustDecode(b, data, new(controlrpc.WatchReply)) })))
			parse.Add(x, ms(cpuTimePerCall(func() { mustParseConfig(b, reply.State.ConfigText) })))

			memoryBefore := capacity.MemoryInUse()
			decoded := new(controlrpc.WatchReply)
			mustDecode(b, data, decoded)
			cfg := mustParseConfig(b, decoded.State.ConfigText)
			stateMemory.Add(x, capacity.MemoryInUse()-memoryBefore)

			o := owner.New(owner.Options{})
			ownerSetState.Add(x, ms(cpuTimePerCall(func() { o.SetState(decoded.State, cfg) })))
			memoryBefore = capacity.MemoryInUse()
			e := entry.New(entry.Options{Host: f.Host(0)})
			e.SetState(decoded.State, cfg)
			entryMemory.Add(x, capacity.MemoryInUse()-memoryBefore)
			entrySetState.Add(x, ms(cpuTimePerCall(func() { e.SetState(decoded.State, cfg) })))
			e.Close()
			runtime.KeepAlive(m)
		}
		printSeries(replySize, configSize, encode, compressedSize, deflate, decode, parse, ownerSetState, entrySetState, stateMemory, entryMemory)
	}
}

// compress compresses data with deflate at the fastest level.
func compress(b *testing.B, data []byte) []byte {
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

// BenchmarkDelta measures a Watch reply that carries only the changes since a
// version, and its merge into the state of the receiver.
func BenchmarkDelta(b *testing.B) {
	for b.Loop() {
		leaseReply := newSeries("reply after a change of a lease", "groups", "bytes")
		groupReply := newSeries("reply after a change of a group", "groups", "bytes")
		hostReply := newSeries("reply after the restart of a host", "groups", "bytes")
		configReply := newSeries("reply after a configuration", "groups", "bytes")
		changesSince := newSeries("ChangesSince after a change of a lease", "groups", "us")
		merge := newSeries("Merge of a change of a lease", "groups", "ms")
		for _, groups := range capacity.GroupCounts {
			x := float64(groups)
			f := capacity.NewFleet(groups)
			m, next := loadMachine(b, f)
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
			hostReply.Add(x, size(apply(control.Command{Register: &control.RegisterHost{Host: restarted, Revision: 4}})))
			groupReply.Add(x, size(apply(control.Command{Begin: &control.BeginTerm{
				Group: f.GroupName(0), ExpectTerm: 1, ExpectPhase: controlrpc.PhaseSteady, Term: 2,
			}})))
			configReply.Add(x, size(apply(control.Command{Configure: &control.Configure{Args: controlrpc.ApplyArgs{
				ChangeID: "second", BaseVersion: 1, Operator: "operator", Text: f.ConfigText(),
			}}})))
			old := m.View().State
			l := old.Leases[f.ServerID(0, 0)]
			r := apply(control.Command{Revoke: &control.RevokeLease{Server: l.Server, Epoch: l.Epoch}})
			leaseReply.Add(x, size(r))
			changesSince.Add(x, us(cpuTimePerCall(func() { m.ChangesSince(old.Version) })))
			merge.Add(x, ms(cpuTimePerCall(func() { r.Merge(old) })))
		}
		printSeries(leaseReply, groupReply, hostReply, configReply, changesSince, merge)
	}
}

func mustParseConfig(b *testing.B, text string) *policy.Config {
	b.Helper()
	cfg, err := policy.Parse("policy.toml", text)
	if err != nil {
		b.Fatal(err)
	}
	return cfg
}

// BenchmarkEffective measures the policy lookup that an entry does for each group
// and rank after every new state.
func BenchmarkEffective(b *testing.B) {
	for b.Loop() {
		lookup := newSeries("Effective of a group in the middle", "groups", "us")
		for _, groups := range capacity.GroupCounts {
			f := capacity.NewFleet(groups)
			cfg := mustParseConfig(b, f.ConfigText())
			lookup.Add(float64(groups), us(cpuTimePerCall(func() {
				if _, ok := cfg.Effective(f.GroupName(groups/2), "bulk"); !ok {
					b.Fatal("not found")
				}
			})))
		}
		printSeries(lookup)
	}
}

// BenchmarkApply measures the log entry of a configuration and the operations of
// the replicated state machine.
func BenchmarkApply(b *testing.B) {
	for b.Loop() {
		entrySize := newSeries("log entry of a configuration", "groups", "bytes")
		apply := newSeries("Apply of a configuration", "groups", "ms")
		leaseView := newSeries("View after a change of a lease", "groups", "ms")
		groupView := newSeries("View after a change of a group", "groups", "ms")
		snapshot := newSeries("Snapshot", "groups", "ms")
		snapshotSize := newSeries("Snapshot size", "groups", "bytes")
		restore := newSeries("Restore", "groups", "ms")
		memory := newSeries("memory of the state", "groups", "bytes")
		for _, groups := range capacity.GroupCounts {
			x := float64(groups)
			f := capacity.NewFleet(groups)
			memoryBefore := capacity.MemoryInUse()
			m, next := loadMachine(b, f)
			memory.Add(x, capacity.MemoryInUse()-memoryBefore)
			version := uint64(1)
			applyCommand := func(c control.Command) {
				results, err := control.DecodeResults(m.Apply(next, control.EncodeCommands(c)))
				if err != nil || results[0].Err() != nil {
					b.Fatal(err, results)
				}
				next++
			}
			configureCommand := func() control.Command {
				return control.Command{Configure: &control.Configure{Args: controlrpc.ApplyArgs{
					ChangeID: fmt.Sprint("change-", next), BaseVersion: version, Operator: "operator", Text: f.ConfigText(),
				}}}
			}
			entrySize.Add(x, float64(len(control.EncodeCommands(configureCommand()))))
			apply.Add(x, ms(cpuTimePerCall(func() { applyCommand(configureCommand()); version++ })))
			server := f.ServerID(0, 0)
			leaseView.Add(x, ms(cpuTimePerCall(func() {
				l := m.View().Leases[server]
				applyCommand(control.Command{Revoke: &control.RevokeLease{Server: server, Epoch: l.Epoch}})
				applyCommand(control.Command{Assign: &control.AssignLease{
					Server: server, Epoch: l.Epoch, Host: l.Host, Incarnation: l.Incarnation,
				}})
				m.View()
			})))
			term := uint64(1)
			groupView.Add(x, ms(cpuTimePerCall(func() {
				applyCommand(control.Command{Begin: &control.BeginTerm{
					Group: f.GroupName(0), ExpectTerm: term, ExpectPhase: m.View().Groups[f.GroupName(0)].Phase, Term: term + 1,
				}})
				term++
				m.View()
			})))
			data := m.Snapshot()
			snapshotSize.Add(x, float64(len(data)))
			snapshot.Add(x, ms(cpuTimePerCall(func() { m.Snapshot() })))
			restored := control.NewMachine()
			restore.Add(x, ms(cpuTimePerCall(func() {
				if err := restored.Restore(data); err != nil {
					b.Fatal(err)
				}
			})))
		}
		printSeries(entrySize, apply, leaseView, groupView, snapshotSize, snapshot, restore, memory)
	}
}

// BenchmarkLogBytes reports the sizes of the log entries of other commands, which
// do not depend on the size of the fleet.
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
