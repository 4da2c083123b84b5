package gateway

import "time"

const (
	// ownConnWait is how long a statement waits for a connection of its customer
	// before the connection of another customer is exchanged for it. An exchange
	// occupies a slot of the server for 12 ms; a statement usually ends within 20 to
	// 50 ms, so that half of them are answered within this time.
	ownConnWait = 25 * time.Millisecond
	// soonFreeWithin is how long after its last use began a connection counts as one
	// that is returned soon. Above it, a transaction probably holds the connection.
	soonFreeWithin = 60 * time.Millisecond
	// maxHandOver is how long a statement waits while connections that are returned
	// go to later statements of another customer. It bounds the wait behind a customer
	// whose statements always wait; at one exchange in this time, a connection spends
	// at most a fifth of its time on being opened.
	maxHandOver = 50 * time.Millisecond
)

// longestIdle returns the index of the connection that has been idle longest among
// those of other customers; -1 if there is none.
func longestIdle(idle []*pooledConn, customer string) int {
	longest := -1
	for i, pc := range idle {
		if pc.customer != customer && (longest < 0 || pc.idleSince.Before(idle[longest].idleSince)) {
			longest = i
		}
	}
	return longest
}

// exchangeDelay returns how long a statement waits before a connection of another
// customer is exchanged for it. soonFree is the number of connections of its own
// customer that are returned soon, and ahead the number of statements of that customer
// that wait for them already.
func exchangeDelay(soonFree, ahead int) time.Duration {
	if soonFree > ahead {
		return ownConnWait
	}
	return 0
}

// nextWaiter returns the index of the waiter that is served by a returned connection
// of a customer; -1 if the connection becomes idle. It is the first waiter of the
// customer, unless one of another customer before it has waited for maxHandOver.
// waiting is sorted by urgency.
func nextWaiter(waiting []*connWaiter, customer string, mayExchange bool, now time.Time) int {
	overdue := -1
	for i, w := range waiting {
		switch {
		case w.customer != customer:
			if overdue < 0 && mayExchange && now.Sub(w.since) >= maxHandOver {
				overdue = i
			}
		case overdue >= 0:
			return overdue
		default:
			return i
		}
	}
	return -1
}
