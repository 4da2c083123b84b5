// Package limit keeps the callers of a process within its memory and descriptors.
// It decides which connection is refused or closed; it does no I/O itself.
//
// # Memory
//
// A Budget counts the bytes that callers make the process hold: input that is not a
// whole message yet, messages that wait or run, answers that were not taken, values and
// prepared statements of sessions, request bodies. Each part takes its bytes before it
// keeps them. If the budget is used up,
//
//   - a small message still finds room in a reserve, so that ordinary callers are served
//     beside a crowd that holds much;
//   - a single large message is accepted while nobody else holds much, even if it is
//     larger than the budget of a host with little memory;
//   - otherwise connections with an incomplete message or an unread answer are closed
//     first, the largest before the smaller and the newest before the older ones, and
//     then the message that asked is refused.
//
// Session values may use half of the budget, because they stay.
//
// # Connections
//
// A Guard knows the connections of one listener. If there are too many, the oldest
// connection without a session makes room for the new one, or else the newest session that
// has not run a statement for a second; if there is none, the new one is refused. The Guard also closes connections whose start-up, whose begun
// message or whose unread answer takes too long. A session may be idle without limit.
//
// # Load
//
// The rules answer crowds of callers that send much, send or read slowly or not at all,
// or connect without end. They are no protection of one ordinary caller from another.
//
// # Usage
//
//	budget := limit.NewBudget(limit.BudgetOptions{MemoryMB: cfg.Host.MemoryMB})
//	guard := limit.NewGuard(limit.GuardOptions[*conn]{Budget: budget, Member: (*conn).member, Abort: (*conn).abort})
//	refused, ok := guard.Add(c, address)
//	if !guard.Take(c, n) { ... } // refuse the message
package limit
