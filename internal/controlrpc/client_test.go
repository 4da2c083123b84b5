package controlrpc_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/matryer/is"
)

// fakeHosts simulates the answers of control hosts. It is not safe for
// concurrent use.
type fakeHosts struct {
	leader         string            // address that answers; the others return it as a hint
	hints          map[string]string // hints by address that differ from leader
	broken         map[string]error  // transport errors by address
	silent         map[string]bool   // addresses that never answer
	unknownAnswers int               // number of first answers of the leader that are outcome_unknown
	calls          []string
}

func (h *fakeHosts) call(ctx context.Context, address, _ string, _, reply any) error {
	h.calls = append(h.calls, address)
	if h.silent[address] {
		<-ctx.Done()
		return errkind.Wrap(errkind.ServerLost, ctx.Err(), "%s", address)
	}
	if err := h.broken[address]; err != nil {
		return err
	}
	r := reply.(*controlrpc.ApplyReply)
	if address != h.leader {
		r.Kind, r.Leader, r.Detail = errkind.NotLeader, h.leader, "stale"
		if hint, ok := h.hints[address]; ok {
			r.Leader = hint
		}
		return nil
	}
	if h.unknownAnswers > 0 {
		h.unknownAnswers--
		r.Kind, r.WonBy = errkind.OutcomeUnknown, "stale"
		return nil
	}
	r.Version = 7
	return nil
}

// TestClient guards against a client that gives up while a leader exists, that
// keeps calling a host which is not the leader, or that reports a wrong outcome.
func TestClient(t *testing.T) {
	refused := errkind.New(errkind.ConnectFailed, "refused")
	lost := errkind.New(errkind.ServerLost, "lost")
	for _, tc := range []struct {
		name   string
		hosts  fakeHosts
		limit  time.Duration // of the call; 0 is 10 s
		want   errkind.Kind  // of the error
		within time.Duration
	}{
		{"leader hint", fakeHosts{leader: "c"}, 0, errkind.OK, 50 * time.Millisecond},
		{"leader outside the list", fakeHosts{leader: "x"}, 0, errkind.OK, 100 * time.Millisecond},
		{"no hints", fakeHosts{leader: "c", hints: map[string]string{"a": "", "b": ""}}, 0, errkind.OK, 100 * time.Millisecond},
		{"hints in a circle", fakeHosts{leader: "c", hints: map[string]string{"a": "b", "b": "a"}}, 0, errkind.OK, time.Second},
		{"hint to itself", fakeHosts{leader: "c", hints: map[string]string{"a": "a", "b": "b"}}, 0, errkind.OK, time.Second},
		{"others unreachable", fakeHosts{leader: "c", broken: map[string]error{"a": refused, "b": lost}}, 0, errkind.OK, 100 * time.Millisecond},
		{"others silent", fakeHosts{leader: "c", silent: map[string]bool{"a": true, "b": true}}, 0, errkind.OK, 7 * time.Second},
		{"answer lost at first", fakeHosts{leader: "c", unknownAnswers: 2}, 0, errkind.OK, time.Second},
		{"no leader", fakeHosts{}, time.Second, errkind.NotLeader, 2 * time.Second},
		{"all unreachable", fakeHosts{broken: map[string]error{"a": refused, "b": refused, "c": refused}}, time.Second, errkind.NotLeader, 2 * time.Second},
		{"answer lost for ever", fakeHosts{leader: "c", unknownAnswers: 1 << 30}, time.Second, errkind.OutcomeUnknown, 2 * time.Second},
		{"lost after sending", fakeHosts{broken: map[string]error{"a": lost, "b": refused, "c": refused}}, time.Second, errkind.OutcomeUnknown, 2 * time.Second},
		{"unknown transport error", fakeHosts{broken: map[string]error{"a": errors.New("?"), "b": refused, "c": refused}}, time.Second, errkind.OutcomeUnknown, 2 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				hosts := tc.hosts
				c := &controlrpc.Client{Addresses: []string{"a", "b", "c"}, Call: hosts.call}
				ctx, cancel := context.WithTimeout(t.Context(), cmp.Or(tc.limit, 10*time.Second))
				defer cancel()
				start := time.Now()
				reply, err := c.Apply(ctx, &controlrpc.ApplyArgs{ChangeID: "c1"})
				is.Equal(errkind.Of(err), tc.want)
				is.True(time.Since(start) <= tc.within)
				if err != nil {
					return
				}
				is.Equal(fmt.Sprint(*reply), fmt.Sprint(controlrpc.ApplyReply{Version: 7})) // no fields of earlier answers
				hosts.calls = nil
				_, err = c.Apply(ctx, &controlrpc.ApplyArgs{ChangeID: "c2"})
				is.NoErr(err)
				is.Equal(hosts.calls, []string{hosts.leader}) // the leader is cached
			})
		})
	}
}

// TestSilentHost guards against calls that repeatedly wait for a host that has
// just failed to answer, also when another host still names it as the leader.
func TestSilentHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		hosts := &fakeHosts{leader: "b", silent: map[string]bool{"a": true}, hints: map[string]string{"c": "a"}}
		c := &controlrpc.Client{Addresses: []string{"a", "c"}, Call: hosts.call}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		first, stop := context.WithTimeout(ctx, 4*time.Second)
		_, err := c.Apply(first, &controlrpc.ApplyArgs{})
		stop()
		is.True(err != nil) // no known host knows the leader
		hosts.calls = nil
		c.SetAddresses([]string{"a", "b", "c"})
		for range 10 {
			_, err := c.Apply(ctx, &controlrpc.ApplyArgs{})
			is.NoErr(err)
		}
		for _, address := range hosts.calls {
			is.True(address != "a")
		}
	})
}

// TestHintedLeaderIsTriedAgain guards against a client that, after one failed call, does
// not try a leader that it knows from hints alone for so long that leases expire.
func TestHintedLeaderIsTriedAgain(t *testing.T) {
	for _, tc := range []struct {
		name   string
		broken []string // after the failed call
	}{
		{"the others name it", nil},
		{"the others are gone", []string{"a", "b", "c"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				lost := errkind.New(errkind.ServerLost, "the connection was reset")
				hosts := &fakeHosts{leader: "x"}
				c := &controlrpc.Client{Addresses: []string{"a", "b", "c"}, Call: hosts.call}
				_, err := c.Apply(t.Context(), &controlrpc.ApplyArgs{})
				is.NoErr(err)

				hosts.broken = map[string]error{"x": lost}
				ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
				_, err = c.Apply(ctx, &controlrpc.ApplyArgs{})
				cancel()
				is.True(err != nil)

				hosts.broken = make(map[string]error)
				for _, address := range tc.broken {
					hosts.broken[address] = lost
				}
				ctx, cancel = context.WithTimeout(t.Context(), 600*time.Millisecond)
				defer cancel()
				_, err = c.Apply(ctx, &controlrpc.ApplyArgs{})
				is.NoErr(err)
			})
		})
	}
}

// TestLeaderKnownElsewhere guards against calls that wait for hosts that don't answer
// although the caller learns the leader by itself, before or during the call.
func TestLeaderKnownElsewhere(t *testing.T) {
	for _, test := range []struct {
		learnedAfter time.Duration
		want         []string // addresses called
	}{{0, []string{"c"}}, {time.Second, []string{"a", "c"}}} {
		for range 20 {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				hosts := &fakeHosts{leader: "c", silent: map[string]bool{"a": true, "b": true, "d": true}}
				begun := time.Now()
				c := &controlrpc.Client{Addresses: []string{"a", "b", "c", "d"}, Call: hosts.call}
				c.Leader = func() string {
					if time.Since(begun) < test.learnedAfter {
						return "a"
					}
					return "c"
				}
				_, err := c.Apply(t.Context(), &controlrpc.ApplyArgs{})
				is.NoErr(err)
				is.Equal(hosts.calls, test.want)
			})
		}
	}
}

// TestLeaseLapse guards against a call that leaves a leader whose lease has lapsed for a
// moment and then waits for hosts that don't answer.
func TestLeaseLapse(t *testing.T) {
	for range 20 {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			hosts := &fakeHosts{silent: map[string]bool{"a": true, "b": true}, hints: map[string]string{"c": "", "d": "c"}}
			begun := time.Now()
			c := &controlrpc.Client{Addresses: []string{"a", "b", "c", "d"}, Leader: func() string { return "c" }}
			c.Call = func(ctx context.Context, address, method string, args, reply any) error {
				if time.Since(begun) > 15*time.Millisecond {
					hosts.leader = "c"
				}
				return hosts.call(ctx, address, method, args, reply)
			}
			_, err := c.Apply(t.Context(), &controlrpc.ApplyArgs{})
			is.NoErr(err)
			is.True(time.Since(begun) < 200*time.Millisecond)
		})
	}
}

// TestLateHint guards against a hint that is not followed at once because it came in a
// later round of the search.
func TestLateHint(t *testing.T) {
	for range 20 {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			hosts := &fakeHosts{hints: map[string]string{"b": ""}}
			begun, hint := time.Now(), ""
			c := &controlrpc.Client{Addresses: []string{"a", "b", "c", "d"}}
			c.Call = func(ctx context.Context, address, method string, args, reply any) error {
				if time.Since(begun) > 400*time.Millisecond {
					hosts.leader, hosts.silent = "c", map[string]bool{"d": true}
				}
				if hint != "" {
					is.Equal(address, hint)
				}
				err := hosts.call(ctx, address, method, args, reply)
				hint = reply.(*controlrpc.ApplyReply).Leader
				return err
			}
			_, err := c.Apply(t.Context(), &controlrpc.ApplyArgs{})
			is.NoErr(err)
		})
	}
}
