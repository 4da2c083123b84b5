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

// resultCounts counts the results of the callers of one database.
type resultCounts struct{ sent, inTime, late, refused atomic.Int64 }

// sendReads starts sending reads of a database at a fixed rate for the given
// length of time, spread over the gateways. Each read has its own session.
func sendReads(t *testing.T, all *sync.WaitGroup, gateways []*gateway.Gateway, name string, perSecond int, target, length time.Duration) *resultCounts {
	counts := new(resultCounts)
	all.Go(func() {
		for i := range int(length.Seconds() * float64(perSecond)) {
			time.Sleep(time.Second / time.Duration(perSecond))
			all.Go(func() {
				session, err := gateways[i%len(gateways)].Open(t.Context(), name, "")
				if err != nil {
					counts.refused.Add(1)
					return
				}
				defer session.Close()
				c := &caller{Session: session}
				begun := time.Now()
				a := c.read("k")
				counts.sent.Add(1)
				switch took := time.Since(begun); {
				case failureKind(a) != errkind.OK:
					counts.refused.Add(1)
				case took <= target:
					counts.inTime.Add(1)
				default:
					counts.late.Add(1)
				}
			})
		}
	})
	return counts
}

// TestOverload sends twice the load that three servers can handle, from hosts
// that don't coordinate, with connections that cost more than half as much as a
// statement. It guards against urgent callers that are served no better than the
// others, and against servers that spend their time on new connections and late
// answers instead of useful work.
func TestOverload(t *testing.T) {
	for _, hosts := range []int{7, 30} {
		t.Run(strconv.Itoa(hosts)+" hosts", func(t *testing.T) { testOverload(t, hosts) })
	}
}

func testOverload(t *testing.T, hosts int) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		group := newFakeGroup()
		for _, s := range group.servers {
			s.serviceTime, s.handshakeTime, s.connLimit = 20*time.Millisecond, 12*time.Millisecond, 100
		}
		var gateways []*gateway.Gateway
		for range hosts {
			g := gateway.New(gateway.Options{Connect: group.connect, Place: gateway.Place{DataCentre: "d2", Regions: map[string]string{"d1": "r1", "d2": "r2", "d3": "r3"}}})
			defer g.Close()
			g.SetState(group.state(1, 1, "s1", false), config())
			g.RenewLease(clock.Now().Add(time.Hour), hosts)
			gateways = append(gateways, g)
		}
		const capacity = 3 * 3 * 50 // statements a second
		var all sync.WaitGroup
		const length = 6 * time.Second
		urgent := sendReads(t, &all, gateways, "urgent", capacity/20, 500*time.Millisecond, length)
		bulk := sendReads(t, &all, gateways, "bounded", 2*capacity, time.Second, length)
		all.Wait()
		t.Logf("urgent: %d sent, %d in time, %d late, %d refused", urgent.sent.Load(), urgent.inTime.Load(), urgent.late.Load(), urgent.refused.Load())
		t.Logf("bulk: %d sent, %d in time, %d late, %d refused; %d connections refused", bulk.sent.Load(), bulk.inTime.Load(), bulk.late.Load(), bulk.refused.Load(), group.refused)
		is.True(urgent.inTime.Load() >= urgent.sent.Load()*95/100)
		served := bulk.inTime.Load() + urgent.inTime.Load()
		is.True(float64(served) >= 0.85*capacity*length.Seconds()) // most of the capacity goes into answers that are in time
	})
}

// TestWritesInOverload sends more writes than the primary can run before their
// deadlines. It guards against writes that are sent so late that their outcome is
// unknown, which the caller must not repeat, instead of being refused as not run.
func TestWritesInOverload(t *testing.T) {
	runWithGateway(t, func(t *testing.T, is *is.I, group *fakeGroup, g *gateway.Gateway) {
		group.server("s1").serviceTime = 90 * time.Millisecond
		var all sync.WaitGroup
		var done, refused, unknown atomic.Int64
		for i := range 150 {
			time.Sleep(20 * time.Millisecond) // 50 a second; the primary can run 33
			all.Go(func() {
				s, err := g.Open(t.Context(), "urgent", "")
				if err != nil {
					refused.Add(1)
					return
				}
				defer s.Close()
				switch a := (&caller{Session: s}).write(strconv.Itoa(i)); failureKind(a) {
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
		is.True(done.Load() >= 90) // the primary stays busy: 33 a second for 3 s
	})
}
