package allowance_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/arbutusring/arbutusring/internal/allowance"
)

// alternative decides on an operation at a host.
type alternative interface {
	admit(host int, customer string) bool
}

// bucket is a token bucket.
type bucket struct {
	rate, size, tokens float64
	at                 time.Time
}

func (b *bucket) take(now time.Time) bool {
	b.tokens = min(b.size, b.tokens+b.rate*now.Sub(b.at).Seconds())
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// accounting asks the host that accounts for the customer for each operation.
type accounting struct {
	mu       sync.Mutex
	buckets  map[string]*bucket
	messages int
}

func (a *accounting) admit(_ int, customer string) bool {
	time.Sleep(2 * oneWay)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.messages++
	return a.buckets[customer].take(time.Now())
}

// leasedRates gives each host a bucket with a part of the rate, by its demand in the
// last period. It leaves out the time for which a part can't be given to another host,
// because the lease of the first has not ended, and so favours this way.
type leasedRates struct {
	mu       sync.Mutex
	hosts    []map[string]*bucket
	demand   []map[string]float64
	limits   map[string]allowance.Limit
	messages int
}

func (l *leasedRates) admit(host int, customer string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.demand[host][customer]++
	return l.hosts[host][customer].take(time.Now())
}

// renew distributes the rates anew.
func (l *leasedRates) renew() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.messages += len(l.hosts)
	for customer, limit := range l.limits {
		total, n := 0.0, float64(len(l.hosts))
		for i := range l.hosts {
			total += l.demand[i][customer] + 1 // 1 so that a host without demand gets some
		}
		for i := range l.hosts {
			part := (l.demand[i][customer] + 1) / total
			b := l.hosts[i][customer]
			b.take(time.Now())
			capacity := limit.Burst*1.1 + limit.Rate*0.5 + 20 - n // n: fractions of tokens
			b.rate, b.size = limit.Rate*part, 1+capacity*part
			l.demand[i][customer] = 0
		}
	}
}

// exchange counts at each host what it admitted, and tells all others every 500 ms.
type exchange struct {
	mu       sync.Mutex
	limits   map[string]allowance.Limit
	own      []map[string][]time.Time
	known    map[string][]time.Time // what hosts have told
	told     time.Time
	messages int
}

func (e *exchange) admit(host int, customer string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now, n := time.Now(), 0
	for _, t := range e.known[customer] {
		if now.Sub(t) < platform.Window {
			n++
		}
	}
	for _, t := range e.own[host][customer] {
		if t.After(e.told) {
			n++
		}
	}
	if float64(n+1) > platform.Bound(e.limits[customer]) {
		return false
	}
	e.own[host][customer] = append(e.own[host][customer], now)
	return true
}

func (e *exchange) tell() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.messages += len(e.own) * (len(e.own) - 1)
	e.told = time.Now()
	clear(e.known)
	for _, own := range e.own {
		for customer, times := range own {
			e.known[customer] = append(e.known[customer], times...)
		}
	}
}

// TestAlternatives compares ways to keep an allowance over all hosts with one load: 30
// hosts, 12 customers with 2 to 10 operations a second, a large one with 160 that
// sends nine times as many for 5 s. docs/design/allowances.md has the figures. It guards
// against a change after which stocks no longer keep the bound or refuse more in vain
// than a central bucket would.
func TestAlternatives(t *testing.T) {
	const hosts, length = 30, 20 * time.Second
	usual, limits := map[string]float64{"large": 160}, map[string]allowance.Limit{}
	for i := range 12 {
		usual[fmt.Sprintf("small%d", i)] = float64(2 + i%9)
	}
	for c, rate := range usual {
		limits[c] = allowance.Limit{Rate: 1.6 * rate, Burst: 1.6 * rate}
	}
	perHost := func(make func(c string, l allowance.Limit) *bucket) []map[string]*bucket {
		out := []map[string]*bucket{}
		for range hosts {
			m := map[string]*bucket{}
			for c, l := range limits {
				m[c] = make(c, l)
			}
			out = append(out, m)
		}
		return out
	}
	for _, name := range []string{"stocks", "leased rates", "accounting host", "exchange"} {
		synctest.Test(t, func(t *testing.T) {
			s := newSim(t.Context(), platform, 0, limits)
			a, period, messages := newAlternative(s, name, hosts, perHost)
			stop := time.Now().Add(length)
			if period != nil {
				s.all.Go(func() {
					for time.Now().Before(stop) {
						time.Sleep(500 * time.Millisecond)
						period()
					}
				})
			}
			s.decide, s.hosts = a.admit, append(s.hosts, make([]*simHost, hosts-len(s.hosts))...)
			for c, rate := range usual {
				s.play(c, rate, length)
			}
			time.Sleep(8 * time.Second)
			s.play("large", 8*usual["large"], 5*time.Second)
			time.Sleep(length - 6*time.Second)
			s.cancel()
			s.all.Wait()
			worst, vain := 0.0, 0
			for c, limit := range limits {
				worst = max(worst, float64(s.most(c, time.Time{}))/platform.Bound(limit))
				vain += max(0, s.ideal(c)-len(s.sent[c]))
			}
			sent := 0
			for _, times := range s.sent {
				sent += len(times)
			}
			t.Logf("%-16s worst window %.2f of the bound, sent %d, refused in vain %d, mean wait %.1f ms, %.0f messages/s",
				name, worst, sent, vain, float64(s.waits.Microseconds())/1000/float64(s.asked), float64(messages())/length.Seconds())
			if name == "stocks" && (worst > 1 || vain > 0) {
				t.Errorf("worst window %.2f of the bound, refused in vain %d", worst, vain)
			}
		})
	}
}

// newAlternative returns an alternative, what it does every 500 ms, and the number of
// its messages.
func newAlternative(s *sim, name string, hosts int, perHost func(func(string, allowance.Limit) *bucket) []map[string]*bucket) (a alternative, period func(), messages func() int) {
	counts := func() (demand []map[string]float64, own []map[string][]time.Time) {
		for range hosts {
			demand, own = append(demand, map[string]float64{}), append(own, map[string][]time.Time{})
		}
		return demand, own
	}
	demand, own := counts()
	switch name {
	case "leased rates":
		l := &leasedRates{limits: s.limits, demand: demand, hosts: perHost(func(string, allowance.Limit) *bucket { return &bucket{at: time.Now()} })}
		l.renew()
		return l, l.renew, func() int { return l.messages }
	case "accounting host":
		acc := &accounting{buckets: map[string]*bucket{}}
		for c, l := range s.limits {
			size := l.Burst*1.1 + l.Rate*0.5 + 20
			acc.buckets[c] = &bucket{rate: l.Rate, size: size, tokens: size, at: time.Now()}
		}
		return acc, nil, func() int { return acc.messages }
	case "exchange":
		e := &exchange{limits: s.limits, own: own, known: map[string][]time.Time{}}
		return e, e.tell, func() int { return e.messages }
	}
	for i := range hosts {
		s.hosts = append(s.hosts, nil)
		s.start(i, 0)
	}
	return stocks{s}, nil, func() int { return s.calls }
}

// stocks is the built alternative.
type stocks struct{ s *sim }

func (a stocks) admit(host int, customer string) bool {
	token, err := a.s.host(host).stock.Acquire(a.s.ctx, customer)
	return err == nil && token.Use()
}
