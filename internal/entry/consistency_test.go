package entry_test

import (
	"context"
	"fmt"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/arbutusring/arbutusring/internal/entry"
	"github.com/arbutusring/arbutusring/internal/ownerrpc"
	"github.com/arbutusring/arbutusring/pkg/logpos"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// unchecked makes the owners ignore the required position. Tests use it to
// show that they notice when the mechanism is off.
func unchecked(_ context.Context, args *ownerrpc.ExecArgs) (fault, *ownerrpc.ExecReply) {
	args.Require = logpos.Position{}
	return faultNone, nil
}

// readYourWrites runs a random schedule and reports the first stale read. A
// caller writes and reads, moves between two entries with and without its
// token while the replicas lag at random.
func readYourWrites(t *testing.T, rt *rapid.T, off bool) (violation string) {
	type op struct {
		kind   int // 0, 1: write; 2, 3, 4: read; 5: move with the token; 6: reconnect without it
		lag    [2]int
		millis int
	}
	ops := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) op {
		return op{
			kind:   rapid.IntRange(0, 6).Draw(rt, "kind"),
			lag:    [2]int{rapid.IntRange(0, 3).Draw(rt, "lag1"), rapid.IntRange(0, 3).Draw(rt, "lag2")},
			millis: rapid.SampledFrom([]int{0, 5, 250}).Draw(rt, "millis"),
		}
	}), 2, 30).Draw(rt, "ops")
	synctest.Test(t, func(t *testing.T) {
		f := newFake()
		if off {
			f.exec = unchecked
		}
		entries := [2]*entry.Entry{newEntry(f, ""), newEntry(f, "")}
		defer entries[0].Close()
		defer entries[1].Close()
		at, token, written := 0, "", 0
		d := open(t, entries[0])
		for i, o := range ops {
			f.change(func() { f.servers["s1"].lag, f.servers["s2"].lag = o.lag[0], o.lag[1] })
			time.Sleep(time.Duration(o.millis) * time.Millisecond)
			switch o.kind {
			case 0, 1:
				a := d.query(fmt.Sprintf("insert into kv values ('a', '%d')", i+1))
				if a.code != "" {
					violation = a.message
					break
				}
				written, token = i+1, a.token
			case 5, 6:
				d.close()
				at = 1 - at
				if o.kind == 5 && token != "" {
					d = open(t, entries[at], "arbutusring.session_token", token)
				} else {
					d = open(t, entries[at])
				}
			default:
				a := d.read("a")
				got := 0
				if len(a.values) == 1 {
					got, _ = strconv.Atoi(a.values[0])
				}
				if a.code != "" || got != written {
					violation = fmt.Sprintf("step %d: read %d after writing %d; %s", i, got, written, a.message)
				}
			}
			if violation != "" {
				break
			}
		}
		d.close()
	})
	return violation
}

// TestReadYourWrites guards against a session that does not see its own
// acknowledged write, also after a move to another entry, with and without a
// token.
func TestReadYourWrites(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if v := readYourWrites(t, rt, false); v != "" {
			rt.Fatal(v)
		}
	})
}

// TestReadYourWritesIsNoticed guards against a property test that cannot fail:
// without the check of the required position it has to find a stale read.
func TestReadYourWritesIsNoticed(t *testing.T) {
	found := 0
	rapid.Check(t, func(rt *rapid.T) {
		if readYourWrites(t, rt, true) != "" {
			found++
		}
	})
	if found == 0 {
		t.Error("no stale read was found although required positions are ignored")
	}
}

// staleness lets one session write the time while another reads with
// max_staleness, and returns the largest age of a read.
func staleness(t *testing.T, rt *rapid.T, accepted time.Duration, off bool) (worst time.Duration, replicaReads int) {
	lags := rapid.SliceOfN(rapid.IntRange(0, 60), 10, 10).Draw(rt, "lags")
	synctest.Test(t, func(t *testing.T) {
		f := newFake()
		if off {
			f.exec = unchecked
		}
		ent := newEntry(f, "")
		defer ent.Close()
		writer := open(t, ent)
		defer writer.close()
		reader := open(t, ent, "arbutusring.max_staleness", accepted.String())
		defer reader.close()
		var acked []time.Time // acknowledgement of the n-th write
		for _, lag := range lags {
			f.change(func() { f.servers["s1"].lag, f.servers["s2"].lag = lag, lag/2 })
			for range 10 {
				writer.must(fmt.Sprintf("insert into kv values ('t', '%d')", len(acked)+1))
				acked = append(acked, time.Now())
				time.Sleep(10 * time.Millisecond)
			}
			asked := time.Now()
			a := reader.read("t")
			seen := 0
			if len(a.values) == 1 {
				seen, _ = strconv.Atoi(a.values[0])
			}
			// The first write that is missing was acknowledged this long ago.
			if seen < len(acked) {
				worst = max(worst, asked.Sub(acked[seen]))
			}
		}
		replicaReads = f.reads("s1") + f.reads("s2")
	})
	return worst, replicaReads
}

// TestStalenessBound guards against a stale read that is older than the caller
// accepts, and against serving no stale reads from replicas at all.
func TestStalenessBound(t *testing.T) {
	const accepted = 300 * time.Millisecond
	total, noticed := 0, false
	rapid.Check(t, func(rt *rapid.T) {
		worst, replicas := staleness(t, rt, accepted, false)
		if worst > accepted {
			rt.Fatalf("a read missed a write that had been acknowledged %v before", worst)
		}
		total += replicas
		if !noticed {
			worst, _ = staleness(t, rt, accepted, true)
			noticed = worst > accepted
		}
	})
	if total == 0 || !noticed {
		t.Errorf("%d reads at replicas; violations noticed with the mechanism off: %t", total, noticed)
	}
}

// TestPositionRequestIsNotJoinedLate guards against a session that shares a
// position request which started before the session: the position may have
// been read before a write that the session has to see.
func TestPositionRequestIsNotJoinedLate(t *testing.T) {
	bubble(t, "", func(t *testing.T, is *is.I, f *fake, ent *entry.Entry) {
		// Both replicas keep what they have now: nothing.
		f.servers["s1"].lag, f.servers["s2"].lag = 1, 1
		gate := make(chan struct{})
		first := true
		f.position = func(context.Context) {
			if first {
				first = false
				<-gate // read the position late and answer later still
			}
		}
		early := open(t, ent)
		defer early.close()
		done := make(chan answer, 8)
		go func() { done <- early.read("a") }()
		synctest.Wait()
		is.Equal(f.called("Owner.Position"), 1)

		writer := open(t, ent)
		defer writer.close()
		writer.must("insert into kv values ('a', '1')")
		var late [5]*driver
		for i := range late {
			late[i] = open(t, ent)
			defer late[i].close()
			go func() { done <- late[i].read("a") }()
		}
		for range late {
			is.Equal((<-done).values, []string{"1"}) // while the first request is still on its way
		}
		is.True(f.called("Owner.Position") <= 3) // sessions that ask at the same time share a request
		before := f.called("Owner.Position")
		late[0].read("a")
		is.Equal(f.called("Owner.Position"), before) // once for each session
		close(gate)
		is.Equal((<-done).code, "")
	})
}

// TestSamplesAreBounded guards against a list of samples that grows with the
// rate of new sessions.
func TestSamplesAreBounded(t *testing.T) {
	bubble(t, "", func(t *testing.T, is *is.I, f *fake, ent *entry.Entry) {
		const sessions, seconds = 5000, 100
		for range sessions {
			d := open(t, ent)
			is.Equal(d.read("a").code, "")
			d.close()
			time.Sleep(seconds * time.Second / sessions)
		}
		kept := ent.Dump().(entry.Dump).Groups[0].Samples
		is.True(f.called("Owner.Position") >= sessions)
		is.True(kept > 1000 && kept < 4000) // a minute's worth, 25 ms apart, and a quarter
	})
}
