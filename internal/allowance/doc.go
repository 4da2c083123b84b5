// Package allowance limits the operations of each customer over all hosts together.
//
// The leader of the directory has a Ledger with one token bucket for each customer.
// Hosts hold small stocks of tokens, in a Stock. A host takes one token for each
// operation, immediately before it sends the operation to a server, and reports its
// use to the ledger. The load that this answers: a customer sends from a few
// operations a second to several hundred over all hosts, so a host sees one every
// few seconds, or several at a time.
//
// # Bound
//
// In every window of length W, at most (rate x W + burst) x (1 + overage) +
// tolerance operations of a customer are sent. Let
//
//	capacity = burst x (1 + overage) + rate x W x overage / 2 + tolerance
//	fill rate = rate x (1 + overage / 2)
//
// Let potential be the number of tokens that may still be used: those in the bucket
// of the ledger in force, at hosts and in replies on their way. If potential never
// exceeds capacity and grows by at most fill rate x t in a time t, then in a window at
// most capacity + fill rate x W operations are sent, which is the bound. It holds because:
//
//   - The ledger counts a token as held from its grant until the host reports that
//     the operation was sent, that the token was returned, or until it can no longer
//     be valid. So it never counts fewer than there are. The bucket is filled at
//     the fill rate, up to capacity less the tokens held.
//   - An operation is counted as used when it is sent, not when it is admitted. A
//     token that an operation holds in a queue counts as held.
//   - The stock of a host is valid for the TTL, counted from before the request was
//     sent. The ledger counts the tokens as held for the TTL plus the drift of clocks
//     from the grant. Tokens of a host that fell silent are then taken as used: they
//     don't return to the bucket. So a host that is killed or cut off, and one that
//     returns with another incarnation, gets no second burst.
//   - Tokens return to the bucket only if the host, in a later call, names fewer tokens
//     than the ledger counts and has not used them. A host applies no reply of a call
//     that it has given up, so the tokens of a lost reply return in this way. A call
//     that is sent again gets the reply of the first one; one that is older than
//     the last one processed has no effect.
//   - A new ledger does not know the tokens that an earlier one granted. All ledgers
//     keep the tokens held at or below a stock limit, a fraction of the capacity. A new
//     ledger starts with empty buckets and, until the stocks of the earlier one must
//     have run out, counts as many unknown tokens as the stock limit. Hosts name their
//     tokens to it; it then counts these as held in place of unknown ones, and renews
//     them. The earlier ledger grants nothing any more when the new one begins, because
//     a reply is sent only under the read lease of the leader.
//   - While a ledger counts unknown tokens, the tokens held and the unknown ones together
//     may exceed the stock limit, up to the capacity. The leader records in the
//     replicated log that its ledger grants, and when this period is over. A
//     ledger whose predecessor did not get that far counts the whole capacity as
//     unknown.
//   - When a limit is lowered, the bucket is cut at once, and hosts are asked to return
//     their tokens with their next call, within 500 ms, or lose them after the TTL.
//
// # Distribution
//
// Waiting operations get tokens as long as the bucket and the stock limit allow. Hosts
// also get tokens for operations to come: for 0.6 s of their recent demand, at
// least one after an operation or the start of a session in the last 10 s. Such tokens are granted while the
// tokens held are at most what the capacity exceeds the burst by, so that tokens that
// lie idle cause no refusals, and seven eighths of the stock limit. Each grant of them
// is at most a quarter of the bucket. While an operation of a customer was refused within
// the last second, none are granted, and hosts that hold some are asked to return them:
// a token that lies idle at one host reaches another that asks again after the retry
// time, which is then at most 700 ms.
//
// # Usage
//
// The leader:
//
//	ledger := allowance.NewLedger(allowance.LedgerOptions{ID: term, Params: params, TTL: ttl, Hold: ttl + drift, Now: now})
//	ledger.SetLimits(now, limits)
//	reply := ledger.Process(now, args)
//
// A host:
//
//	stock := allowance.NewStock(host, nil)
//	token, err := stock.Acquire(ctx, customer) // a *Refused if the allowance is used up
//	if token.Use() { send() } else { refuse() }
package allowance
