package schedule_test

import (
	"context"
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/arbutusring/arbutusring/internal/schedule"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/matryer/is"
)

// customerLoad is what the requests of some customers saw.
type customerLoad struct {
	waits                 *hdrhistogram.Histogram // in microseconds
	served, refused, late int                     // late: refused after a wait
}

// runCustomers sends requests of several customers at random times to 4 slots with
// a mean service time of 5 ms, which is a capacity of 800 a second. name maps a
// customer to the one that the scheduler is told.
func runCustomers(perSecond map[string]float64, name func(string) string) map[bool]*customerLoad {
	const slots, mean, length, timeout = 4, 5 * time.Millisecond, 10 * time.Second, 300 * time.Millisecond
	s := schedule.New(schedule.Options{Slots: slots, Ranks: []schedule.RankSpec{{Name: "all", QueueLimit: 500}}, AssumedServiceTime: mean})
	loads := map[bool]*customerLoad{}
	for _, large := range []bool{true, false} {
		loads[large] = &customerLoad{waits: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
	}
	var mu sync.Mutex
	var all sync.WaitGroup
	run := func(customer string, d time.Duration) {
		begun := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		slot, err := s.Acquire(ctx, "all", name(customer), begun.Add(timeout))
		waited := time.Since(begun)
		mu.Lock()
		l := loads[customer == "large"]
		switch {
		case err == nil:
			l.served++
			_ = l.waits.RecordValue(waited.Microseconds()) // no wait exceeds a minute
		case waited > 0:
			l.late++
			fallthrough
		default:
			l.refused++
		}
		mu.Unlock()
		if err == nil {
			time.Sleep(d)
			s.Release(slot)
		}
	}
	for customer, rate := range perSecond {
		rnd := rand.New(rand.NewChaCha8(sha256.Sum256([]byte(customer))))
		all.Go(func() {
			for begun := time.Now(); time.Since(begun) < length; {
				time.Sleep(time.Duration(rnd.ExpFloat64() * float64(time.Second) / rate))
				d := time.Duration(rnd.ExpFloat64() * float64(mean))
				all.Go(func() { run(customer, d) })
			}
		})
	}
	all.Wait()
	return loads
}

// TestFairnessUnderOverload guards against a customer at nine times its usual load
// that delays the requests of 70 others, or causes their refusal, when the server is
// at 120% load. The others send less than their equal share.
func TestFairnessUnderOverload(t *testing.T) {
	others := make(map[string]float64)
	for i := range 70 {
		others[fmt.Sprintf("small%02d", i)] = 480.0 / 70
	}
	withLarge := map[string]float64{"large": 480}
	for c, rate := range others {
		withLarge[c] = rate
	}
	own := func(c string) string { return c }
	var alone, fair, shared map[bool]*customerLoad
	synctest.Test(t, func(*testing.T) { alone = runCustomers(others, own) })
	synctest.Test(t, func(*testing.T) { fair = runCustomers(withLarge, own) })
	synctest.Test(t, func(*testing.T) { shared = runCustomers(withLarge, func(string) string { return "" }) })
	report := func(name string, l *customerLoad) int64 {
		p99 := l.waits.ValueAtQuantile(99)
		t.Logf("%-40s served %5d, refused %4d (%d late), wait p50 %6d us, p99 %6d us", name, l.served, l.refused, l.late, l.waits.ValueAtQuantile(50), p99)
		return p99
	}
	p99Alone := report("others without the large customer", alone[false])
	p99Fair := report("others beside the large customer", fair[false])
	p99Shared := report("others, one queue for all customers", shared[false])
	report("large customer", fair[true])
	if n := fair[false].refused; n > 0 || alone[false].refused > 0 {
		t.Errorf("%d requests of the others were refused, %d without the large customer", n, alone[false].refused)
	}
	// With all slots busy, a request of another customer waits for a slot and for
	// the others that are due, but not for the queue of the large customer.
	if limit := p99Alone + 30_000; p99Fair > limit || p99Shared < 2*limit {
		t.Errorf("p99 wait is %d us, must be at most %d us; without customers it is %d us", p99Fair, limit, p99Shared)
	}
	// The large customer is refused at once what can't start in time.
	if l := fair[true]; l.late*4 > l.refused {
		t.Errorf("%d of %d requests of the large customer were refused after a wait", l.late, l.refused)
	}
	// Work conserving: the slots that the others leave go to the large customer.
	if total := fair[true].served + fair[false].served; total < 7600 {
		t.Errorf("%d requests were served in 10 s, the capacity is 8000", total)
	}
}

// TestQueueFull guards against a customer that fills the queue of a rank for all,
// and against the refusal of an old request in place of the newest one.
func TestQueueFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := schedule.New(schedule.Options{Slots: 1, Ranks: []schedule.RankSpec{{Name: "all", QueueLimit: 3}}})
		held, err := s.Acquire(t.Context(), "all", "a", time.Now().Add(time.Minute))
		is.NoErr(err)
		results := make(map[string]error)
		var order []string
		var mu sync.Mutex
		request := func(id, customer string) {
			go func() {
				slot, err := s.Acquire(t.Context(), "all", customer, time.Now().Add(time.Minute))
				mu.Lock()
				results[id] = err
				order = append(order, id)
				mu.Unlock()
				if err == nil {
					s.Release(slot)
				}
			}()
			synctest.Wait()
		}
		request("a1", "a")
		request("a2", "a")
		request("a3", "a")
		request("a4", "a") // the newest of the only customer
		is.Equal(errkind.Of(results["a4"]), errkind.Overloaded)
		request("b1", "b") // displaces a3
		is.Equal(errkind.Of(results["a3"]), errkind.Overloaded)
		request("b2", "b") // would make b's queue as long as a's
		is.Equal(errkind.Of(results["b2"]), errkind.Overloaded)
		time.Sleep(time.Millisecond)
		s.Release(held)
		synctest.Wait()
		is.Equal(order[3:], []string{"b1", "a1", "a2"}) // a has used the slot before
	})
}

// TestExpectedWaitOfSmallCustomer guards against the refusal of a request because of
// a queue that it does not wait for.
func TestExpectedWaitOfSmallCustomer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const service = 10 * time.Millisecond
		s := schedule.New(schedule.Options{Slots: 1, Ranks: []schedule.RankSpec{{Name: "all", QueueLimit: 500}}, AssumedServiceTime: service})
		for range 50 {
			go func() {
				if slot, err := s.Acquire(t.Context(), "all", "large", time.Now().Add(time.Minute)); err == nil {
					time.Sleep(service)
					s.Release(slot)
				}
			}()
		}
		synctest.Wait()
		_, err := s.Acquire(t.Context(), "all", "large", time.Now().Add(100*time.Millisecond))
		is.Equal(errkind.Of(err), errkind.Overloaded) // 49 of its own requests are ahead
		begun := time.Now()
		slot, err := s.Acquire(t.Context(), "all", "small", time.Now().Add(100*time.Millisecond))
		is.NoErr(err)
		is.True(time.Since(begun) <= 2*service)
		s.Release(slot)
		time.Sleep(time.Second)
		is.Equal(s.Busy(), 0)
	})
}
