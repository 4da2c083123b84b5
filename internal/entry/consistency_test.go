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

// ignoreRequiredPosition is an execHook that makes the owners ignore the required
// position. With it, tests verify that they detect stale reads.
func ignoreRequiredPosition(_ context.Context, args *ownerrpc.ExecArgs) (fault, *ownerrpc.ExecReply) {
	args.RequiredPosition = logpos.Position{}
	return faultNone, nil
}

// readYourWrites runs a random schedule and returns a description of the first
// failed statement or stale read, or "". A caller writes, reads, and reconnects to
// the other one of two entries with or without its token, while the replicas lag
// at random. With ignorePosition, the owners ignore the required position.
func readYourWrites(t *testing.T, rt *rapid.T, ignorePosition bool) (violation string) {
	type op struct {
		kind   int // 0, 1: write; 2, 3, 4: read; 5, 6: move to the other entry with and without the token
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
		if ignorePosition {
			f.execHook = ignoreRequiredPosition
		}
		entries := [2]*entry.Entry{newEntry(f, ""), newEntry(f, "")}
		defer entries[0].Close()
		defer entries[1].Close()
		current, token, written := 0, "", 0
		s := openSession(t, entries[0])
		for i, o := range ops {
			f.update(func() { f.servers["s1"].lag, f.servers["s2"].lag = o.lag[0], o.lag[1] })
			time.Sleep(time.Duration(o.millis) * time.Millisecond)
			switch o.kind {
			case 0, 1:
				a := s.query(fmt.Sprintf("insert into kv values ('a', '%d')", i+1))
				if a.code != "" {
					violation = a.message
					break
				}
				written, token = i+1, a.token
			case 5, 6:
				s.close()
				current = 1 - current
				if o.kind == 5 && token != "" {
					s = openSession(t, entries[current], "arbutusring.session_token", token)
				} else {
					s = openSession(t, entries[current])
				}
			default:
				a := s.readKey("a")
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
		s.close()
	})
	return violation
}

// TestReadYourWrites guards against a caller that doesn't see its own acknowledged
// write, also after a reconnect to another entry with or without a token.
func TestReadYourWrites(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if v := readYourWrites(t, rt, false); v != "" {
			rt.Fatal(v)
		}
	})
}

// TestReadYourWritesDetectsStaleReads guards against a TestReadYourWrites that
// can't fail: with owners that ignore the required position, it must find a stale
// read.
func TestReadYourWritesDetectsStaleReads(t *testing.T) {
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

// measureStaleness lets one session write a counter while another one reads it
// with max_staleness, and the replicas lag at random. It returns the greatest
// staleness of a read and the number of reads at replicas. With ignorePosition,
// the owners ignore the required position.
func measureStaleness(t *testing.T, rt *rapid.T, accepted time.Duration, ignorePosition bool) (worst time.Duration, replicaReads int) {
	lags := rapid.SliceOfN(rapid.IntRange(0, 60), 10, 10).Draw(rt, "lags")
	synctest.Test(t, func(t *testing.T) {
		f := newFake()
		if ignorePosition {
			f.execHook = ignoreRequiredPosition
		}
		ent := newEntry(f, "")
		defer ent.Close()
		writer := openSession(t, ent)
		defer writer.close()
		reader := openSession(t, ent, "arbutusring.max_staleness", accepted.String())
		defer reader.close()
		var acked []time.Time // acknowledgement of the n-th write
		for _, lag := range lags {
			f.update(func() { f.servers["s1"].lag, f.servers["s2"].lag = lag, lag/2 })
			for range 10 {
				writer.mustQuery(fmt.Sprintf("insert into kv values ('t', '%d')", len(acked)+1))
				acked = append(acked, time.Now())
				time.Sleep(10 * time.Millisecond)
			}
			readAt := time.Now()
			a := reader.readKey("t")
			seen := 0
			if len(a.values) == 1 {
				seen, _ = strconv.Atoi(a.values[0])
			}
			// The staleness is the time since the acknowledgement of the first
			// write that the read missed.
			if seen < len(acked) {
				worst = max(worst, readAt.Sub(acked[seen]))
			}
		}
		replicaReads = f.readCount("s1") + f.readCount("s2")
	})
	return worst, replicaReads
}

// TestStalenessBound guards against a read that is staler than the caller accepts,
// against reads that accept staleness but are never served by replicas, and
// against a check that can't fail.
func TestStalenessBound(t *testing.T) {
	const accepted = 300 * time.Millisecond
	total, detected := 0, false
	rapid.Check(t, func(rt *rapid.T) {
		worst, replicas := measureStaleness(t, rt, accepted, false)
		if worst > accepted {
			rt.Fatalf("a read missed a write that had been acknowledged %v before", worst)
		}
		total += replicas
		if !detected {
			worst, _ = measureStaleness(t, rt, accepted, true)
			detected = worst > accepted
		}
	})
	if total == 0 || !detected {
		t.Errorf("%d reads at replicas; violation detected when required positions are ignored: %t", total, detected)
	}
}

// TestSessionDoesNotJoinEarlierPositionRequest guards against a session that uses
// a position request which started before the session: the primary may have read
// the position before a write that the session must see.
func TestSessionDoesNotJoinEarlierPositionRequest(t *testing.T) {
	runInBubble(t, "", func(t *testing.T, is *is.I, f *fakeGroup, ent *entry.Entry) {
		// Both replicas lag by the one write of this test.
		f.servers["s1"].lag, f.servers["s2"].lag = 1, 1
		gate := make(chan struct{})
		first := true
		f.positionHook = func(context.Context) {
			if first {
				first = false
				<-gate // the first request doesn't return before the gate opens
			}
		}
		early := openSession(t, ent)
		defer early.close()
		done := make(chan decodedAnswer, 8)
		go func() { done <- early.readKey("a") }()
		synctest.Wait()
		is.Equal(f.callCount("Owner.Position"), 1)

		writer := openSession(t, ent)
		defer writer.close()
		writer.mustQuery("insert into kv values ('a', '1')")
		var late [5]*testSession
		for i := range late {
			late[i] = openSession(t, ent)
			defer late[i].close()
			go func() { done <- late[i].readKey("a") }()
		}
		for range late {
			is.Equal((<-done).values, []string{"1"}) // the first request is still in progress
		}
		is.True(f.callCount("Owner.Position") <= 3) // simultaneous sessions share a request
		before := f.callCount("Owner.Position")
		late[0].readKey("a")
		is.Equal(f.callCount("Owner.Position"), before) // a session requests the position only once
		close(gate)
		is.Equal((<-done).code, "")
	})
}

// TestSampleCountIsBounded guards against a list of samples that grows with the
// rate of new sessions.
func TestSampleCountIsBounded(t *testing.T) {
	runInBubble(t, "", func(t *testing.T, is *is.I, f *fakeGroup, ent *entry.Entry) {
		const sessions, seconds = 5000, 100
		for range sessions {
			s := openSession(t, ent)
			is.Equal(s.readKey("a").code, "")
			s.close()
			time.Sleep(seconds * time.Second / sessions)
		}
		kept := ent.Dump().(entry.Dump).Groups[0].Samples
		is.True(f.callCount("Owner.Position") >= sessions)
		is.True(kept > 1000 && kept < 4000) // one minute of samples at intervals of 25 ms, and a quarter more
	})
}
