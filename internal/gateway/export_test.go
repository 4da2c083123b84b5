package gateway

import "time"

// Waiter describes a waiter of a pool.
type Waiter struct {
	Customer string
	Waited   time.Duration
}

// NextWaiter exports nextWaiter.
func NextWaiter(waiters []Waiter, customer string, mayExchange bool) int {
	now := time.Now()
	var waiting []*connWaiter
	for _, w := range waiters {
		waiting = append(waiting, &connWaiter{customer: w.Customer, since: now.Add(-w.Waited)})
	}
	return nextWaiter(waiting, customer, mayExchange, now)
}

// LongestIdle exports longestIdle. The first connection has been idle longest.
func LongestIdle(customers []string, customer string) int {
	var idle []*pooledConn
	for i, c := range customers {
		idle = append(idle, &pooledConn{customer: c, idleSince: time.Unix(int64(i), 0)})
	}
	return longestIdle(idle, customer)
}

// ExchangeDelay exports exchangeDelay.
var ExchangeDelay = exchangeDelay
