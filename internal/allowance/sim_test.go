package allowance_test

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/allowance"
	"github.com/arbutusring/arbutusring/internal/directoryrpc"
)

const (
	testTTL  = 2200 * time.Millisecond
	testHold = testTTL + testTTL/10
	oneWay   = 20 * time.Millisecond
)

// platform are the parameters of docs/design/README.md.
var platform = allowance.Params{Window: 5 * time.Second, Overage: 0.1, Tolerance: 20}

// sim plays hosts that send operations under the allowance of a ledger, without a
// network. It runs in a synctest bubble.
type sim struct {
	params allowance.Params
	hosts  []*simHost
	ctx    context.Context
	cancel context.CancelFunc
	all    sync.WaitGroup
	decide func(host int, customer string) bool // nil: the stocks of the hosts decide

	mu       sync.Mutex
	leader   *allowance.Ledger // nil while there is none
	term     uint64
	limits   map[string]allowance.Limit
	loseNext int // replies that are lost
	calls    int
	sent     map[string][]time.Time
	refused  map[string]int
	invalid  int // tokens that were invalid at the time of the send
	waits    time.Duration
	asked    int                    // operations that sum up to waits
	offered  map[string][]time.Time // if decide is set
}

// simHost is one host of a sim.
type simHost struct {
	stock  *allowance.Stock
	resume atomic.Int64 // Unix nanoseconds until which it is suspended
	cut    bool         // calls don't arrive; guarded by sim.mu
	ctx    context.Context
	cancel context.CancelFunc
}

func newSim(ctx context.Context, params allowance.Params, hosts int, limits map[string]allowance.Limit) *sim {
	s := &sim{params: params, limits: limits, sent: make(map[string][]time.Time), refused: make(map[string]int), offered: make(map[string][]time.Time)}
	s.ctx, s.cancel = context.WithCancel(ctx)
	s.elect(allowance.EarlierNone)
	for i := range hosts {
		s.hosts = append(s.hosts, nil)
		s.start(i, 0)
	}
	return s
}

// elect makes a new ledger the one in force.
func (s *sim) elect(earlier allowance.Earlier) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.term++
	s.leader = allowance.NewLedger(allowance.LedgerOptions{ID: s.term, Params: s.params, TTL: testTTL, Hold: testHold, Earlier: earlier, Now: time.Now()})
	s.leader.SetLimits(time.Now(), s.limits)
}

// start starts an incarnation of host i.
func (s *sim) start(i, incarnation int) {
	h := &simHost{stock: allowance.NewStock(directoryrpc.Host{ID: fmt.Sprint(i), Incarnation: fmt.Sprint(incarnation)}, time.Now)}
	h.ctx, h.cancel = context.WithCancel(s.ctx)
	h.stock.SetLimits(s.limits)
	s.mu.Lock()
	s.hosts[i] = h
	s.mu.Unlock()
	s.all.Go(func() {
		h.stock.Loop(h.ctx, func(ctx context.Context, args *directoryrpc.AllowanceArgs) (*directoryrpc.AllowanceReply, error) {
			return s.call(ctx, h, args)
		})
	})
}

// call sends a call twice, like directoryrpc.Client, if it is not answered in time.
func (s *sim) call(ctx context.Context, h *simHost, args *directoryrpc.AllowanceArgs) (*directoryrpc.AllowanceReply, error) {
	copied := *args
	for range 2 {
		if reply := s.attempt(h, &copied); reply != nil && h.ctx.Err() == nil {
			return reply, nil
		}
		time.Sleep(250 * time.Millisecond)
	}
	return nil, errors.Join(ctx.Err(), errors.New("no answer"))
}

func (s *sim) attempt(h *simHost, args *directoryrpc.AllowanceArgs) *directoryrpc.AllowanceReply {
	time.Sleep(oneWay)
	s.mu.Lock()
	s.calls++
	leader, lost := s.leader, h.cut
	if leader == nil || h.cut {
		s.mu.Unlock()
		return nil
	}
	reply := *leader.Process(time.Now(), args)
	if s.loseNext > 0 && len(reply.Customers) > 0 {
		s.loseNext--
		lost = true
	}
	s.mu.Unlock()
	time.Sleep(oneWay)
	h.await()
	if lost {
		return nil
	}
	return &reply
}

// host returns the incarnation in force of host i.
func (s *sim) host(i int) *simHost {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hosts[i]
}

// await waits until the host is not suspended.
func (h *simHost) await() { time.Sleep(time.Until(time.Unix(0, h.resume.Load()))) }

// do runs one operation at a host. It is sent after a wait in a queue.
func (s *sim) do(h *simHost, customer string, queue time.Duration) {
	begun := time.Now()
	h.await()
	token, err := h.stock.Acquire(h.ctx, customer)
	waited := time.Since(begun)
	time.Sleep(queue)
	h.await()
	used := err == nil && h.ctx.Err() == nil && token.Use()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waits += waited
	switch {
	case used:
		s.sent[customer] = append(s.sent[customer], time.Now())
	case err != nil:
		s.refused[customer]++
	default:
		s.invalid++
	}
}

// doDecided runs one operation if decide admits it.
func (s *sim) doDecided(host int, customer string) {
	begun := time.Now()
	admitted := s.decide(host, customer)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked++
	s.waits += time.Since(begun)
	s.offered[customer] = append(s.offered[customer], begun)
	if admitted {
		s.sent[customer] = append(s.sent[customer], time.Now())
	} else {
		s.refused[customer]++
	}
}

// ideal returns the number of operations that one bucket with the rate and burst of the
// customer would admit.
func (s *sim) ideal(customer string) int {
	slices.SortFunc(s.offered[customer], time.Time.Compare)
	limit, n := s.limits[customer], 0
	b := bucket{rate: limit.Rate, size: limit.Burst, tokens: limit.Burst, at: s.offered[customer][0]}
	for _, t := range s.offered[customer] {
		if b.take(t) {
			n++
		}
	}
	return n
}

// play sends operations of a customer for a time, at random times and to hosts that
// are chosen unevenly.
func (s *sim) play(customer string, perSecond float64, length time.Duration) {
	rnd := rand.New(rand.NewChaCha8(sha256.Sum256([]byte(customer))))
	s.all.Go(func() {
		for begun := time.Now(); time.Since(begun) < length; {
			time.Sleep(time.Duration(rnd.ExpFloat64() / perSecond * float64(time.Second)))
			i := int(rnd.Float64() * rnd.Float64() * float64(len(s.hosts)))
			queue := time.Duration(rnd.IntN(20)) * time.Millisecond
			s.all.Go(func() {
				if s.decide != nil {
					s.doDecided(i, customer)
					return
				}
				s.do(s.host(i), customer, queue)
			})
		}
	})
}

// burst sends n operations of a customer at once, from one host or all in turn.
func (s *sim) burst(customer string, n, host int) {
	for i := range n {
		h := s.host(i % len(s.hosts))
		if host >= 0 {
			h = s.host(host)
		}
		s.all.Go(func() { s.do(h, customer, 0) })
	}
}

// suspend stops a host for a time.
func (s *sim) suspend(i int, d time.Duration) {
	s.hosts[i].resume.Store(time.Now().Add(d).UnixNano())
	time.Sleep(d)
}

func (s *sim) setCut(i int, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts[i].cut = cut
}

func (s *sim) setLimits(limits map[string]allowance.Limit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = limits
	s.leader.SetLimits(time.Now(), limits)
	for _, h := range s.hosts {
		h.stock.SetLimits(limits)
	}
}

// loseReplies loses the next n replies that name customers.
func (s *sim) loseReplies(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseNext = n
}

// loseLeader removes the ledger for the time of an election.
func (s *sim) loseLeader(earlier allowance.Earlier) {
	s.mu.Lock()
	s.leader = nil
	s.mu.Unlock()
	time.Sleep(600 * time.Millisecond)
	s.elect(earlier)
}

// most returns the largest number of operations that a customer sent in one window that
// began at or after from.
func (s *sim) most(customer string, from time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	times, first, most := s.sent[customer], 0, 0
	for i, t := range times {
		for t.Sub(times[first]) >= s.params.Window || times[first].Before(from) && first < i {
			first++
		}
		if !times[first].Before(from) {
			most = max(most, i-first+1)
		}
	}
	return most
}

// checkBound fails the test if a customer sent more in one window than its limit allows.
func (s *sim) checkBound(t *testing.T, from time.Time) {
	t.Helper()
	for customer, limit := range s.limits {
		most, bound := s.most(customer, from), s.params.Bound(limit)
		t.Logf("%s: at most %d in one window, bound %.0f; sent %d, refused %d, invalid %d, calls %d", customer, most, bound, len(s.sent[customer]), s.refused[customer], s.invalid, s.calls)
		if float64(most) > bound {
			t.Errorf("%s sent %d operations in one window, the bound is %.0f", customer, most, bound)
		}
	}
}
