package allowance_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/arbutusring/arbutusring/internal/allowance"
	"github.com/matryer/is"
)

// runSim runs a scenario and lets its operations end.
func runSim(t *testing.T, params allowance.Params, hosts int, limits map[string]allowance.Limit, scenario func(s *sim)) *sim {
	var s *sim
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		s = newSim(ctx, params, hosts, limits)
		scenario(s)
		time.Sleep(2 * time.Second)
		cancel()
		s.all.Wait()
	})
	return s
}

// TestUsualLoad guards against the refusal of operations that are within the limits,
// and against waits for most of them: customers with a few operations a second, of
// which each host sees one every few seconds, and a large one.
func TestUsualLoad(t *testing.T) {
	is := is.New(t)
	limits, usual := map[string]allowance.Limit{}, map[string]float64{"large": 160}
	for i := range 12 {
		usual[fmt.Sprintf("small%d", i)] = float64(2 + i%9)
	}
	for c, rate := range usual {
		limits[c] = allowance.Limit{Rate: 1.6 * rate, Burst: 1.6 * rate}
	}
	s := runSim(t, platform, 30, limits, func(s *sim) {
		for c, rate := range usual {
			s.play(c, rate, 20*time.Second)
		}
		time.Sleep(20 * time.Second)
	})
	sent, refused := 0, 0
	for c := range limits {
		sent, refused = sent+len(s.sent[c]), refused+s.refused[c]
	}
	t.Logf("sent %d, refused %d, mean wait %v, %d calls in 20 s from 30 hosts", sent, refused, s.waits/time.Duration(sent), s.calls)
	s.checkBound(t, time.Time{})
	is.Equal(refused, 0)
	is.True(s.waits/time.Duration(sent) < 20*time.Millisecond) // less than half of a round trip
	is.True(s.calls < 20*30*20)
}

// TestBound guards against more operations in a window than the limit allows, in an
// overload with the failures that docs/design/README.md lists, and against refusals of
// almost everything after them.
func TestBound(t *testing.T) {
	const rate, overload = 100.0, 900.0
	limits := map[string]allowance.Limit{"c": {Rate: rate, Burst: rate}}
	lowered := map[string]allowance.Limit{"c": {Rate: rate / 20, Burst: rate / 20}}
	raised := map[string]allowance.Limit{"c": {Rate: 3 * rate, Burst: 3 * rate}}
	tests := []struct {
		name    string
		minSent int // in 20 s
		fault   func(s *sim)
	}{
		{"overload", 2000, func(*sim) {}},
		{"host dies with a stock and returns", 1900, func(s *sim) {
			for i := range 5 {
				s.hosts[i].cancel()
				s.start(i, 1)
				time.Sleep(100 * time.Millisecond)
			}
		}},
		{"holders of stocks are cut off", 1800, func(s *sim) {
			for i := range 5 {
				s.setCut(i, true)
			}
			time.Sleep(3 * time.Second)
			for i := range 5 {
				s.setCut(i, false)
			}
		}},
		{"leader lost with tokens in transit", 1700, func(s *sim) { s.loseLeader(allowance.EarlierSettled) }},
		{"leader lost again before the stocks of the first have run out", 1500, func(s *sim) {
			s.loseLeader(allowance.EarlierSettled)
			time.Sleep(300 * time.Millisecond)
			s.loseLeader(allowance.EarlierUnsettled)
		}},
		{"answers lost and calls repeated", 1900, func(s *sim) { s.loseReplies(41) }},
		{"limit lowered", 300, func(s *sim) { s.setLimits(lowered) }},
		{"limit raised", 4000, func(s *sim) { s.setLimits(raised) }},
		{"control unavailable for 5 s", 1300, func(s *sim) {
			s.mu.Lock()
			leader := s.leader
			s.leader = nil
			s.mu.Unlock()
			time.Sleep(5 * time.Second)
			s.mu.Lock()
			s.leader = leader
			s.mu.Unlock()
		}},
		{"hosts suspended", 1800, func(s *sim) {
			for i := range 4 {
				s.suspend(i, 2500*time.Millisecond)
			}
		}},
	}
	for _, params := range []allowance.Params{platform, {Window: 5 * time.Second}} {
		for _, tc := range tests {
			t.Run(fmt.Sprintf("%s, overage %v", tc.name, params.Overage), func(t *testing.T) {
				var from time.Time
				s := runSim(t, params, 10, limits, func(s *sim) {
					s.play("c", overload, 20*time.Second)
					time.Sleep(3 * time.Second)
					tc.fault(s)
					if tc.name == "limit lowered" {
						from = time.Now().Add(params.Window)
					}
					time.Sleep(17 * time.Second)
				})
				s.checkBound(t, from)
				if n := len(s.sent["c"]); n < tc.minSent*9/10 {
					t.Errorf("%d operations were sent, at least %d were expected", n, tc.minSent)
				}
			})
		}
	}
}

// TestSavedTokens guards against a burst of tokens that hosts saved while idle, on top
// of those of the bucket, also after a change of the leader.
func TestSavedTokens(t *testing.T) {
	for _, change := range []bool{false, true} {
		t.Run(fmt.Sprintf("change of leader %v", change), func(t *testing.T) {
			s := runSim(t, platform, 20, map[string]allowance.Limit{"c": {Rate: 40, Burst: 40}}, func(s *sim) {
				s.play("c", 35, 4*time.Second)
				time.Sleep(5 * time.Second)
				if change {
					s.loseLeader(allowance.EarlierSettled)
					time.Sleep(testTTL / 2)
				}
				for range 60 {
					s.burst("c", 40, -1)
					time.Sleep(100 * time.Millisecond)
				}
			})
			s.checkBound(t, time.Time{})
		})
	}
}

// TestBurstWithinLimit guards against the refusal of a burst that the limit allows,
// because hosts may hold only a part of the capacity, or because tokens lie idle at
// other hosts.
func TestBurstWithinLimit(t *testing.T) {
	is := is.New(t)
	s := runSim(t, platform, 30, map[string]allowance.Limit{"c": {Rate: 255, Burst: 255}, "small": {Rate: 3.2, Burst: 3.2}}, func(s *sim) {
		s.burst("c", 100, -1)
		s.burst("small", 3, -1)
		time.Sleep(5 * time.Second)
		s.burst("c", 255, 3)
		s.burst("small", 3, 7)
	})
	s.checkBound(t, time.Time{})
	is.Equal(s.refused["c"]+s.refused["small"], 0)
}

// TestSuspendedBetweenTakeAndSend guards against operations that took a token, and are
// sent after a suspension in which the stock has run out.
func TestSuspendedBetweenTakeAndSend(t *testing.T) {
	is := is.New(t)
	s := runSim(t, platform, 3, map[string]allowance.Limit{"c": {Rate: 10, Burst: 10}}, func(s *sim) {
		for range 5 {
			s.all.Go(func() { s.do(s.hosts[0], "c", 300*time.Millisecond) })
		}
		time.Sleep(100 * time.Millisecond)
		s.suspend(0, 3*time.Second)
	})
	is.Equal(s.invalid, 5)
	is.Equal(len(s.sent["c"]), 0)
}

// TestIdleTokenMoves guards against a customer whose only token stays at a host that
// doesn't need it.
func TestIdleTokenMoves(t *testing.T) {
	is := is.New(t)
	s := runSim(t, allowance.Params{Window: 5 * time.Second}, 3, map[string]allowance.Limit{"c": {Rate: 0.01, Burst: 1}}, func(s *sim) {
		token, err := s.hosts[0].stock.Acquire(s.ctx, "c")
		is.NoErr(err)
		token.Refund() // the operation was refused before it was sent
		_, err = s.hosts[1].stock.Acquire(s.ctx, "c")
		var refused *allowance.Refused
		is.True(errors.As(err, &refused))
		time.Sleep(refused.Retry)
		s.do(s.hosts[1], "c", 0)
	})
	is.Equal(len(s.sent["c"]), 1)
}

// TestRefundAfterUse guards against a token that is lost although its operation was not
// sent, and against one that is used again after the ledger was told of its use.
func TestRefundAfterUse(t *testing.T) {
	is := is.New(t)
	runSim(t, allowance.Params{Window: 5 * time.Second}, 1, map[string]allowance.Limit{"c": {Rate: 0.01, Burst: 1}}, func(s *sim) {
		stock := s.hosts[0].stock
		first, err := stock.Acquire(s.ctx, "c")
		is.NoErr(err)
		is.True(first.Use())
		first.Refund() // the connection failed
		first.Refund()
		is.True(!first.Valid())
		second, err := stock.Acquire(s.ctx, "c")
		is.NoErr(err)
		is.True(second.Use())
		time.Sleep(time.Second) // the use is reported
		second.Refund()
		_, err = stock.Acquire(s.ctx, "c")
		is.True(err != nil)
	})
}

// TestNotEnforced guards against refusals under a leader that does not know allowances.
func TestNotEnforced(t *testing.T) {
	is := is.New(t)
	s := runSim(t, platform, 1, map[string]allowance.Limit{"c": {Rate: 0, Burst: 0}}, func(s *sim) {
		is.True(s.hosts[0].stock.Enforce(false))
		is.True(!s.hosts[0].stock.Enforce(false))
		s.burst("c", 100, 0)
	})
	is.Equal(len(s.sent["c"]), 100)
}
