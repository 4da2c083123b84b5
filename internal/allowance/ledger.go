package allowance

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/arbutusring/arbutusring/internal/directoryrpc"
)

// Earlier is what is known about the ledgers of earlier leaders.
type Earlier int

// The states of the ledgers of earlier leaders.
const (
	EarlierNone      Earlier = iota // there was none
	EarlierSettled                  // the last one had counted all tokens, so hosts hold at most the stock limit
	EarlierUnsettled                // the last one had not
)

// LedgerOptions configures a Ledger.
type LedgerOptions struct {
	ID      uint64 // differs from that of every other ledger
	Params  Params
	TTL     time.Duration // validity of stocks at hosts
	Hold    time.Duration // TTL plus the largest drift of clocks in it
	Earlier Earlier
	Now     time.Time // the time when the ledger begins
}

// expireInterval is the time between two searches for hosts that fell silent.
const expireInterval = 100 * time.Millisecond

// Ledger holds the buckets of all customers and counts the tokens at hosts. The
// times that its methods get must come from one clock. Methods are safe for
// concurrent use.
type Ledger struct {
	opts LedgerOptions

	mu         sync.Mutex
	accounts   map[string]*account
	hosts      map[directoryrpc.Host]*hostStock
	limits     map[string]Limit
	nextExpiry time.Time
	reclaimed  []Reclaimed // since the last call of TakeReclaimed
}

// NewLedger returns a ledger without limits.
func NewLedger(opts LedgerOptions) *Ledger {
	opts.Params = opts.Params.withDefaults()
	return &Ledger{opts: opts, accounts: make(map[string]*account), hosts: make(map[directoryrpc.Host]*hostStock), nextExpiry: opts.Now}
}

// SetLimits replaces the limits. Customers without a limit are not in the map.
func (l *Ledger) SetLimits(now time.Time, limits map[string]Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	l.limits = maps.Clone(limits)
	for customer, a := range l.accounts {
		l.fill(now, a)
		a.limited = false
		if limit, ok := limits[customer]; ok {
			a.setLimit(l.opts.Params, limit)
			l.fill(now, a)
		}
	}
}

// Settled reports whether the ledger counts every token that hosts may hold.
func (l *Ledger) Settled(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.earlierMayHold(now) {
		return false
	}
	for _, a := range l.accounts {
		if a.held > stockLimit(a.capacity) {
			return false
		}
	}
	return true
}

// TakeReclaimed returns the stocks that were taken as used because their hosts fell
// silent, since its last call.
func (l *Ledger) TakeReclaimed(now time.Time) []Reclaimed {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	r := l.reclaimed
	l.reclaimed = nil
	return r
}

func (l *Ledger) earlierMayHold(now time.Time) bool {
	return l.opts.Earlier != EarlierNone && now.Before(l.opts.Now.Add(l.opts.Hold))
}

// unknown returns the number of tokens of a customer that hosts may have from an
// earlier ledger and have not named.
func (l *Ledger) unknown(now time.Time, a *account) float64 {
	switch {
	case !l.earlierMayHold(now):
		return 0
	case l.opts.Earlier == EarlierSettled:
		return max(0, float64(stockLimit(a.capacity)-a.adopted))
	}
	return max(0, a.capacity-float64(a.adopted))
}

func (l *Ledger) fill(now time.Time, a *account) { a.fill(now, l.unknown(now, a)) }

// account returns the account of a customer, filled until now, or nil if the
// customer has no limit.
func (l *Ledger) account(now time.Time, customer string) *account {
	a := l.accounts[customer]
	if a == nil {
		limit, ok := l.limits[customer]
		if !ok {
			return nil
		}
		a = &account{filledAt: l.opts.Now}
		a.setLimit(l.opts.Params, limit)
		if l.opts.Earlier == EarlierNone {
			a.bucket = a.capacity
		}
		l.accounts[customer] = a
	}
	l.fill(now, a)
	return a
}

// expire takes the tokens of hosts that fell silent as used, and removes accounts
// that no longer matter.
func (l *Ledger) expire(now time.Time) {
	if now.Before(l.nextExpiry) {
		return
	}
	l.nextExpiry = now.Add(expireInterval)
	for host, h := range l.hosts {
		if now.Before(h.expires) {
			continue
		}
		tokens := 0
		for customer, s := range h.stocks {
			tokens += s.held
			l.drop(h, customer)
		}
		if tokens > 0 {
			l.reclaimed = append(l.reclaimed, Reclaimed{Host: host.ID, Tokens: tokens})
		}
		delete(l.hosts, host)
	}
	for customer, a := range l.accounts {
		if a.limited || a.held > 0 {
			continue
		}
		if l.fill(now, a); a.bucket >= a.capacity {
			delete(l.accounts, customer)
		}
	}
}

// drop takes the tokens of a customer at a host as used.
func (l *Ledger) drop(h *hostStock, customer string) {
	l.accounts[customer].held -= h.stocks[customer].held
	delete(h.stocks, customer)
}

// Process applies a call of a host and returns the reply.
func (l *Ledger) Process(now time.Time, args *directoryrpc.AllowanceArgs) *directoryrpc.AllowanceReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	resync := &directoryrpc.AllowanceReply{TTL: l.opts.TTL, Ledger: l.opts.ID, Resync: true}
	h := l.hosts[args.Host]
	switch {
	case h != nil && args.Sequence < h.sequence:
		return resync // a late copy of a call whose reply nobody waits for
	case h != nil && args.Sequence == h.sequence:
		return h.reply
	case !args.Full && (h == nil || args.Ledger != l.opts.ID):
		return resync
	case h == nil:
		h = &hostStock{stocks: make(map[string]*customerStock)}
		l.hosts[args.Host] = h
	}
	reply := &directoryrpc.AllowanceReply{TTL: l.opts.TTL, Ledger: l.opts.ID, Renewed: true}
	if args.Full {
		l.dropUnnamed(h, args.Customers)
	}
	for _, u := range args.Customers {
		known := l.recordUse(now, h, u, args.Full)
		reply.Renewed = reply.Renewed && known
		if g := l.grant(now, h, u); g != (directoryrpc.AllowanceGrant{Customer: u.Customer}) {
			reply.Customers = append(reply.Customers, g)
		}
	}
	l.addRecalls(now, h, reply)
	h.sequence, h.reply, h.expires = args.Sequence, reply, now.Add(l.opts.Hold)
	return reply
}

// dropUnnamed takes the tokens of customers that a full call does not name as used.
func (l *Ledger) dropUnnamed(h *hostStock, uses []directoryrpc.AllowanceUse) {
	named := make(map[string]bool, len(uses))
	for _, u := range uses {
		named[u.Customer] = true
	}
	for customer := range h.stocks {
		if !named[customer] {
			l.drop(h, customer)
		}
	}
}

// recordUse applies what a host reports about a customer. It returns false if the
// host holds tokens that the ledger neither granted nor may adopt.
func (l *Ledger) recordUse(now time.Time, h *hostStock, u directoryrpc.AllowanceUse, full bool) bool {
	held := max(0, u.Held)
	a := l.account(now, u.Customer)
	if a == nil {
		return held == 0
	}
	s := h.stocks[u.Customer]
	if s == nil {
		s = &customerStock{used: u.Used}
		h.stocks[u.Customer] = s
	}
	used := s.held // if the counter went back: the host has started to count anew
	if u.Used >= s.used {
		used = int(min(u.Used-s.used, uint64(s.held)))
		a.used.add(now, u.Used-s.used)
	}
	s.used = u.Used
	known := true
	if held > s.held {
		known = full && l.adopt(now, a, s, held-s.held)
		held = min(held, s.held)
	}
	returned := max(0, s.held-used-held)
	a.held -= s.held - held
	s.held = held
	a.bucket += float64(returned)
	l.fill(now, a)
	return known
}

// adopt counts n tokens that an earlier ledger granted as held. It returns false if
// that ledger can't have granted them, or they can no longer be valid.
func (l *Ledger) adopt(now time.Time, a *account, s *customerStock, n int) bool {
	if l.unknown(now, a) < float64(n) {
		return false
	}
	a.adopted += n
	a.held += n
	s.held += n
	return true
}

// grant gives tokens to a host, and removes its stock if it has none.
func (l *Ledger) grant(now time.Time, h *hostStock, u directoryrpc.AllowanceUse) directoryrpc.AllowanceGrant {
	g := directoryrpc.AllowanceGrant{Customer: u.Customer}
	a, s := l.accounts[u.Customer], h.stocks[u.Customer]
	if a == nil || s == nil {
		return g // without a limit in the configuration of the leader, which the host is about to receive
	}
	if a.limited {
		g.Tokens, g.Retry = a.grant(now, max(0, u.Waiting), max(0, u.Wanted))
		s.held += g.Tokens
		if l.earlierMayHold(now) && g.Retry < maxWait {
			g.Retry = 0 // a new ledger begins with empty buckets, so a shortage says little
		}
	}
	if s.held == 0 {
		delete(h.stocks, u.Customer)
	}
	return g
}

// addRecalls asks the host to return tokens of customers that need them elsewhere.
func (l *Ledger) addRecalls(now time.Time, h *hostStock, reply *directoryrpc.AllowanceReply) {
	for _, customer := range slices.Sorted(maps.Keys(h.stocks)) {
		if !l.accounts[customer].recalls(now) {
			continue
		}
		i := slices.IndexFunc(reply.Customers, func(g directoryrpc.AllowanceGrant) bool { return g.Customer == customer })
		if i < 0 {
			i = len(reply.Customers)
			reply.Customers = append(reply.Customers, directoryrpc.AllowanceGrant{Customer: customer})
		}
		reply.Customers[i].Recall = true
	}
}
