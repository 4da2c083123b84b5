package gateway_test

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/gateway"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/matryer/is"
)

// TestExchangeDecisions guards against the exchange of a connection that its customer is
// about to use, and against a customer that keeps a connection while another waits.
func TestExchangeDecisions(t *testing.T) {
	is := is.New(t)
	is.Equal(gateway.LongestIdle([]string{"a", "b", "c"}, "a"), 1) // not one of its own
	is.Equal(gateway.LongestIdle([]string{"a", "a"}, "a"), -1)
	is.Equal(gateway.ExchangeDelay(0, 0), time.Duration(0)) // nothing to wait for
	is.True(gateway.ExchangeDelay(1, 0) > 0)                // its own connection is returned soon
	is.Equal(gateway.ExchangeDelay(1, 1), time.Duration(0)) // but an earlier statement gets it

	a, b, overdue := gateway.Waiter{Customer: "a"}, gateway.Waiter{Customer: "b"}, gateway.Waiter{Customer: "b", Waited: time.Second}
	for _, tc := range []struct {
		name        string
		waiters     []gateway.Waiter
		mayExchange bool
		want        int
	}{
		{"nobody waits", nil, true, -1},
		{"only another customer", []gateway.Waiter{b}, true, -1},
		{"its own customer first", []gateway.Waiter{b, a}, true, 1},
		{"another customer waits for too long", []gateway.Waiter{overdue, a}, true, 0},
		{"no connection may be opened", []gateway.Waiter{overdue, a}, false, 1},
		{"its own customer is more urgent", []gateway.Waiter{a, overdue}, true, 0},
	} {
		if got := gateway.NextWaiter(tc.waiters, "a", tc.mayExchange); got != tc.want {
			t.Errorf("%s: %d, want %d", tc.name, got, tc.want)
		}
	}
}

// TestScarceConnections guards against a host that keeps an idle connection to a server
// with fewer than two connections for each host, so that hosts that return after a loss
// find those of the lost ones in their place, and against one that closes a connection
// which it may keep.
func TestScarceConnections(t *testing.T) {
	for hosts, kept := range map[int]int{49: 1, 50: 0} { // 100 connections, 2 of them for the directory
		runWithGateway(t, func(t *testing.T, is *is.I, _ *fakeGroup, g *gateway.Gateway) {
			g.RenewLease(time.Now().Add(time.Hour), hosts)
			c := open(t, g, "urgent")
			defer c.Close()
			is.Equal(failureKind(c.write("a")), errkind.OK)
			time.Sleep(3 * time.Second)
			open := 0
			for _, m := range g.Dump().Members {
				open += m.Open
			}
			is.Equal(open, kept)
		})
	}
}

// TestConnectionServesOneCustomer guards against a pooled connection that serves another
// customer, with fewer connections than customers, and against a customer that is never
// served because another one always has statements.
func TestConnectionServesOneCustomer(t *testing.T) {
	runWithCustomers(t, func(is *is.I, group *fakeGroup, g *gateway.Gateway, cfg configure) {
		customers := []string{"acme", "bolt", "core", "dune"}
		cfg(func(c *gatewayConfig) {
			c.Customers = customerKeys("acme", "k1", "bolt", "k2", "core", "k3", "dune", "k4")
			gr := c.Groups["g"]
			gr.MaxConnections = 4 // 2 of them for this host
			c.Groups["g"] = gr
		})
		var work sync.WaitGroup
		served := make([]int, len(customers))
		for i, customer := range customers {
			sessions := 1
			if i == 0 {
				sessions = 8
			}
			for range sessions {
				c := openWithKey(t, g, "urgent", fmt.Sprint("k", i+1))
				work.Go(func() {
					defer c.Close()
					for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
						if failureKind(c.write(customer)) == errkind.OK && customer != "acme" {
							served[i]++
						}
					}
				})
			}
		}
		work.Wait()
		is.True(len(group.byCustomer) > 100)
		for _, run := range group.byCustomer {
			customer, text, _ := strings.Cut(run, ": ")
			is.Equal(text, "STORE "+customer+" x")
		}
		is.True(slices.Min(served[1:]) >= 10) // in 5 s, beside a customer with eight sessions
		d := g.Dump()
		is.Equal(d.Customers[0].Customer, "acme") // the busiest
		for _, m := range d.Members {
			is.True(m.Open <= 2)
		}
	})
}
