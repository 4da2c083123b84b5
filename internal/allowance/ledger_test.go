package allowance_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/arbutusring/arbutusring/internal/allowance"
	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/matryer/is"
)

// greedyHost is a host that keeps the protocol of calls, asks for as many tokens as it gets
// and uses them all at once at a time of its choice.
type greedyHost struct {
	host       directoryrpc.Host
	free       int
	used       uint64
	sequence   uint64
	ledger     uint64
	full       bool
	validUntil time.Time
	sentAt     time.Time
	inFlight   *directoryrpc.AllowanceArgs
}

// message is a request or reply that arrives at a time.
type message struct {
	at    time.Time
	to    *greedyHost
	args  *directoryrpc.AllowanceArgs
	reply *directoryrpc.AllowanceReply // nil for a request
}

// greedyHosts plays hosts against ledgers, with messages that are delayed, doubled, lost and
// reordered.
type greedyHosts struct {
	rnd      *rand.Rand
	now      time.Time
	hosts    []*greedyHost
	messages []message
	ledger   *allowance.Ledger
	term     uint64
	params   allowance.Params
	limits   map[string]allowance.Limit
	sent     []time.Time

	// Mean number of steps between two of such events.
	useEvery, killEvery, electEvery int
}

func (p *greedyHosts) elect(earlier allowance.Earlier) {
	p.term++
	p.ledger = allowance.NewLedger(allowance.LedgerOptions{ID: p.term, Params: p.params, TTL: testTTL, Hold: testHold, Earlier: earlier, Now: p.now})
	p.ledger.SetLimits(p.now, p.limits)
}

func (p *greedyHosts) post(m message) {
	for range 1 + p.rnd.IntN(2) {
		m.at = p.now.Add(time.Duration(p.rnd.ExpFloat64() * float64(60*time.Millisecond)))
		if p.rnd.IntN(8) > 0 {
			p.messages = append(p.messages, m)
		}
	}
}

func (p *greedyHosts) call(h *greedyHost) {
	if !p.now.Before(h.validUntil) {
		h.free = 0
	}
	h.sequence++
	use := directoryrpc.AllowanceUse{Customer: "c", Used: h.used, Held: h.free, Waiting: p.rnd.IntN(30)}
	h.inFlight = &directoryrpc.AllowanceArgs{Host: h.host, Sequence: h.sequence, Ledger: h.ledger, Full: h.full, Customers: []directoryrpc.AllowanceUse{use}}
	h.sentAt = p.now
	p.post(message{to: h, args: h.inFlight})
}

func (p *greedyHosts) receive(m message) {
	h := m.to
	switch {
	case m.reply == nil && p.ledger != nil:
		p.post(message{to: h, args: m.args, reply: p.ledger.Process(p.now, m.args)})
	case m.reply == nil || m.args != h.inFlight:
	case m.reply.Resync:
		h.inFlight, h.full = nil, true
	default:
		h.inFlight, h.full, h.ledger = nil, false, m.reply.Ledger
		if !m.reply.Renewed || !p.now.Before(h.validUntil) {
			h.free = 0
		}
		h.validUntil = h.sentAt.Add(m.reply.TTL)
		for _, g := range m.reply.Customers {
			h.free += g.Tokens
		}
	}
}

// use sends an operation for each token of the host.
func (p *greedyHosts) use(h *greedyHost) {
	if p.now.Before(h.validUntil) {
		for range h.free {
			p.sent = append(p.sent, p.now)
		}
		h.used += uint64(h.free)
		h.free = 0
	}
}

// step advances the time and does something at random. Hosts save up tokens for some
// seconds, and then all use them.
func (p *greedyHosts) step(i int) {
	p.now = p.now.Add(5 * time.Millisecond)
	var due []message
	p.messages = slices.DeleteFunc(p.messages, func(m message) bool {
		if m.at.After(p.now) {
			return false
		}
		due = append(due, m)
		return true
	})
	for _, m := range due {
		p.receive(m)
	}
	for _, h := range p.hosts {
		if h.inFlight != nil && p.now.Sub(h.sentAt) > 300*time.Millisecond {
			h.inFlight = nil // it gives the call up
		}
		if h.inFlight == nil && p.rnd.IntN(20) == 0 {
			p.call(h)
		}
		if i%1500 > 1100 || p.rnd.IntN(p.useEvery) == 0 {
			p.use(h)
		}
	}
	if p.rnd.IntN(p.killEvery) == 0 {
		n := p.rnd.IntN(len(p.hosts))
		p.use(p.hosts[n]) // killed after it has used what it had
		p.hosts[n] = &greedyHost{host: directoryrpc.Host{ID: fmt.Sprint(n), Incarnation: fmt.Sprint(i)}, full: true}
	}
	switch {
	case p.ledger == nil && p.rnd.IntN(100) == 0:
		p.elect(allowance.EarlierUnsettled)
	case p.ledger != nil && p.rnd.IntN(p.electEvery) == 0:
		if earlier := allowance.EarlierSettled; p.ledger.Settled(p.now) {
			p.elect(earlier)
		} else {
			p.ledger = nil
		}
	}
}

// TestGreedyHosts guards against a ledger that lets more operations pass than the bound in
// any window, whatever hosts, messages and leaders do: tokens of silent hosts or of
// repeated calls that return to the bucket, and tokens of earlier leaders that a new
// one does not count.
func TestGreedyHosts(t *testing.T) {
	worst := 0.0
	limits := []allowance.Limit{{Rate: 10, Burst: 100}, {Rate: 100, Burst: 10}, {Rate: 40, Burst: 40}}
	for seed := range uint64(360) {
		limit := limits[seed%3]
		p := &greedyHosts{rnd: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1, 0), params: platform, limits: map[string]allowance.Limit{"c": limit}}
		p.useEvery, p.killEvery, p.electEvery = 400<<(seed/3%5), 150<<(seed/3%4), 600<<(seed/3%3)
		p.elect(allowance.EarlierNone)
		for n := range 6 {
			p.hosts = append(p.hosts, &greedyHost{host: directoryrpc.Host{ID: fmt.Sprint(n)}, full: true})
		}
		for i := range 6000 {
			p.step(i)
		}
		first := 0
		for i, at := range p.sent {
			for at.Sub(p.sent[first]) >= p.params.Window {
				first++
			}
			worst = max(worst, float64(i-first+1)/p.params.Bound(limit))
		}
		if worst > 1 {
			t.Fatalf("seed %d: %.2f of the bound in one window", seed, worst)
		}
	}
	t.Logf("at most %.2f of the bound in one window", worst)
}

// TestSessionStarts guards against a first operation of a session that waits for a token,
// or is refused because the leader is lost just then.
func TestSessionStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		limits := map[string]allowance.Limit{"c": {Rate: 10, Burst: 10}}
		ledger := allowance.NewLedger(allowance.LedgerOptions{ID: 1, Params: platform, TTL: testTTL, Hold: testHold, Now: time.Now()})
		ledger.SetLimits(time.Now(), limits)
		stock := allowance.NewStock(directoryrpc.Host{ID: "h", Incarnation: "1"}, time.Now)
		stock.SetLimits(limits)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var lost atomic.Bool
		go stock.Loop(ctx, func(_ context.Context, args *directoryrpc.AllowanceArgs) (*directoryrpc.AllowanceReply, error) {
			if lost.Load() {
				return nil, errkind.New(errkind.NotLeader, "lost")
			}
			return ledger.Process(time.Now(), args), nil
		})
		stock.Expect("c")
		time.Sleep(200 * time.Millisecond)
		lost.Store(true)
		begun := time.Now()
		token, err := stock.Acquire(ctx, "c")
		is.NoErr(err)
		is.True(token.Use())
		is.Equal(time.Since(begun), time.Duration(0))
	})
}
