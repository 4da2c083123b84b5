package gateway_test

import (
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/arbutusring/arbutusring/internal/clock"
	"github.com/arbutusring/arbutusring/internal/gateway"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/matryer/is"
)

// tally counts what callers of one kind get.
type tally struct{ asked, inTime, late, refused atomic.Int64 }

// offer sends reads of a database at a rate, spread over the gateways, until
// the time is over. Each caller is a session of its own.
func offer(t *testing.T, all *sync.WaitGroup, gateways []*gateway.Gateway, name string, perSecond int, target, length time.Duration) *tally {
	count := new(tally)
	all.Go(func() {
		for i := range int(length.Seconds() * float64(perSecond)) {
			time.Sleep(time.Second / time.Duration(perSecond))
			all.Go(func() {
				s, err := gateways[i%len(gateways)].Open(t.Context(), name)
				if err != nil {
					count.refused.Add(1)
					return
				}
				defer s.Close()
				c := &caller{Session: s}
				begun := time.Now()
				a := c.read("k")
				count.asked.Add(1)
				switch took := time.Since(begun); {
				case kind(a) != errkind.OK:
					count.refused.Add(1)
				case took <= target:
					count.inTime.Add(1)
				default:
					count.late.Add(1)
				}
			})
		}
	})
	return count
}

// TestFlood plays twice the load that three servers can take, from hosts
// that know nothing of each other, with connections that cost more than half a
// statement. It guards against urgent callers that are served no better than
// the flood, and against a flood that leaves the servers busy with connections
// and unanswered statements instead of work.
func TestFlood(t *testing.T) {
	for _, hosts := range []int{7, 30} {
		t.Run(strconv.Itoa(hosts)+" hosts", func(t *testing.T) { flood(t, hosts) })
	}
}

func flood(t *testing.T, hosts int) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld()
		for _, s := range w.servers {
			s.work, s.handshake, s.limit = 20*time.Millisecond, 12*time.Millisecond, 100
		}
		var gateways []*gateway.Gateway
		for range hosts {
			g := gateway.New(gateway.Options{Connect: w.connect, Place: gateway.Place{DataCentre: "d2", Regions: map[string]string{"d1": "r1", "d2": "r2", "d3": "r3"}}})
			defer g.Close()
			g.SetState(w.state(1, 1, "s1", false), config())
			g.Renew(clock.Now().Add(time.Hour), hosts)
			gateways = append(gateways, g)
		}
		const capacity = 3 * 3 * 50 // statements a second
		var all sync.WaitGroup
		const length = 6 * time.Second
		urgent := offer(t, &all, gateways, "urgent", capacity/20, 500*time.Millisecond, length)
		flood := offer(t, &all, gateways, "bounded", 2*capacity, time.Second, length)
		all.Wait()
		t.Logf("urgent: %d asked, %d in time, %d late, %d refused", urgent.asked.Load(), urgent.inTime.Load(), urgent.late.Load(), urgent.refused.Load())
		t.Logf("flood: %d asked, %d in time, %d late, %d refused; %d connections refused", flood.asked.Load(), flood.inTime.Load(), flood.late.Load(), flood.refused.Load(), w.refused)
		is.True(urgent.inTime.Load() >= urgent.asked.Load()*95/100)
		served := flood.inTime.Load() + urgent.inTime.Load()
		is.True(float64(served) >= 0.85*capacity*length.Seconds()) // the servers work on what callers get
	})
}

// TestWritesInOverload plays more writes than the primary can take in their time.
// It guards against writes that are sent so late that their outcome is unknown
// to the caller, who may not repeat them, instead of refused as not run.
func TestWritesInOverload(t *testing.T) {
	bubble(t, func(t *testing.T, is *is.I, w *world, g *gateway.Gateway) {
		w.server("s1").work = 90 * time.Millisecond
		var all sync.WaitGroup
		var done, refused, unknown atomic.Int64
		for i := range 150 {
			time.Sleep(20 * time.Millisecond) // 33 a second can be done, 50 are asked for
			all.Go(func() {
				s, err := g.Open(t.Context(), "urgent")
				if err != nil {
					refused.Add(1)
					return
				}
				defer s.Close()
				switch a := (&caller{Session: s}).write(strconv.Itoa(i)); kind(a) {
				case errkind.OK:
					done.Add(1)
				case errkind.OutcomeUnknown:
					unknown.Add(1)
				default:
					refused.Add(1)
				}
			})
		}
		all.Wait()
		t.Logf("%d done, %d refused, %d unknown", done.Load(), refused.Load(), unknown.Load())
		is.Equal(unknown.Load(), int64(0))
		is.True(done.Load() >= 90) // the primary is kept busy: 33 a second for 3 s
	})
}
