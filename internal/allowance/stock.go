package allowance

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/arbutusring/arbutusring/internal/clock"
	"github.com/arbutusring/arbutusring/internal/directoryrpc"
)

const (
	// maxWait bounds the wait of an operation for a token, if its deadline doesn't. The
	// leader answers within a round trip; a change of the leader takes up to a second.
	maxWait = 1200 * time.Millisecond
	// minCallInterval is the shortest time between two calls.
	minCallInterval = 10 * time.Millisecond
	// refillInterval is the shortest time between two calls for operations to come.
	refillInterval = 100 * time.Millisecond
	// renewInterval is the longest time between two calls while the host holds tokens.
	renewInterval = 500 * time.Millisecond
	// maxAskDelay bounds how long operations wait for a call after others were refused.
	// A customer that sends several times its limit would otherwise cause a call for
	// almost every operation.
	maxAskDelay = 100 * time.Millisecond
)

// Stock holds the tokens of one host. Loop makes the calls to the ledger, one at a
// time. The other methods are safe for concurrent use.
type Stock struct {
	host directoryrpc.Host
	now  func() time.Time
	wake chan struct{}

	mu         sync.Mutex
	accounts   map[string]*stockAccount // also of customers that have no limit any more
	limits     map[string]Limit
	enforced   bool
	generation uint64 // grows when all tokens become invalid
	validUntil time.Time
	sequence   uint64
	ledger     uint64 // of the last reply
	full       bool   // the next request names all tokens
	lastCall   time.Time
	answeredAt time.Time // when the last answered call was sent
	sentAt     time.Time // of the call in flight
	voided     int       // tokens that became invalid since the last call of TakeVoided
}

// NewStock returns an empty stock. now is clock.Now if it is nil.
func NewStock(host directoryrpc.Host, now func() time.Time) *Stock {
	if now == nil {
		now = clock.Now
	}
	return &Stock{host: host, now: now, wake: make(chan struct{}, 1), accounts: make(map[string]*stockAccount), full: true, enforced: true}
}

// SetLimits replaces the limits. Customers without a limit are not in the map.
func (s *Stock) SetLimits(limits map[string]Limit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = maps.Clone(limits)
	s.releaseUnlimited()
}

// Enforce sets whether the limits are enforced, and reports whether that changed. They
// can't be if the leader is of a release without allowances.
func (s *Stock) Enforce(enforced bool) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed, s.enforced = s.enforced != enforced, enforced
	s.releaseUnlimited()
	return changed
}

// releaseUnlimited admits the waiting operations that need no token any more, and
// forgets customers that hold none. The caller holds mu.
func (s *Stock) releaseUnlimited() {
	for customer, a := range s.accounts {
		if s.limited(customer) {
			continue
		}
		for _, w := range a.waiters {
			w.ready <- waitResult{}
		}
		a.waiters = nil
		if a.held() == 0 && !a.changed() {
			delete(s.accounts, customer)
		}
	}
}

func (s *Stock) limited(customer string) bool {
	_, ok := s.limits[customer]
	return ok && s.enforced
}

// Acquire returns a token for an operation. If the host has none, it waits for the
// next answer of the ledger, for at most 1.2 s. The error is a *Refused, or the
// cause of the end of ctx.
func (s *Stock) Acquire(ctx context.Context, customer string) (*Token, error) {
	s.mu.Lock()
	if !s.limited(customer) {
		s.mu.Unlock()
		return nil, nil
	}
	now := s.now()
	s.expire(now)
	a := s.accounts[customer]
	if a == nil {
		a = &stockAccount{generation: s.generation}
		s.accounts[customer] = a
	}
	a.recordDemand(now)
	if a.free > 0 && len(a.waiters) == 0 {
		token := a.take(s)
		low := a.low(now)
		s.mu.Unlock()
		if low {
			s.signal()
		}
		return token, nil
	}
	w := &waiter{ready: make(chan waitResult, 1)}
	a.waiters = append(a.waiters, w)
	s.mu.Unlock()
	s.signal()
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case r := <-w.ready:
		return r.token, r.err
	case <-timer.C:
		return s.cancelWait(customer, a, w, nil)
	case <-ctx.Done():
		return s.cancelWait(customer, a, w, context.Cause(ctx))
	}
}

// Expect tells that a session of a customer has started, so that the host asks for a
// token before its first operation.
func (s *Stock) Expect(customer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.limited(customer) {
		return
	}
	now := s.now()
	a := s.accounts[customer]
	if a == nil {
		a = &stockAccount{generation: s.generation}
		s.accounts[customer] = a
	}
	if a.target(now) > 0 {
		return
	}
	a.lastDemand = now
	s.signal()
}

// cancelWait ends the wait of an operation with cause, or because the ledger did not
// answer in time if that is nil. A token that it got in the meantime is kept in the
// second case.
func (s *Stock) cancelWait(customer string, a *stockAccount, w *waiter, cause error) (*Token, error) {
	s.mu.Lock()
	i := slices.Index(a.waiters, w)
	if i >= 0 {
		a.waiters = slices.Delete(a.waiters, i, i+1)
	}
	age := s.stockAge(s.now())
	s.mu.Unlock()
	switch {
	case i >= 0 && cause == nil:
		return nil, &Refused{Customer: customer, StockAge: age, Reason: "no token of the allowance arrived in time"}
	case i >= 0:
		return nil, cause
	}
	r := <-w.ready
	if cause != nil {
		r.token.Refund()
		return nil, cause
	}
	return r.token, r.err
}

func (s *Stock) stockAge(now time.Time) time.Duration {
	if s.answeredAt.IsZero() {
		return 0
	}
	return now.Sub(s.answeredAt)
}

func (s *Stock) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Stock) valid(t *Token) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.validLocked(t)
}

// validLocked is valid for callers that hold mu.
func (s *Stock) validLocked(t *Token) bool {
	s.expire(s.now())
	return !t.done && t.generation == t.account.generation
}

func (s *Stock) use(t *Token) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.validLocked(t) {
		return false
	}
	t.done, t.usedAt = true, s.sequence
	t.account.taken--
	t.account.used++
	return true
}

func (s *Stock) refund(t *Token) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(s.now())
	a := t.account
	switch {
	case t.generation != a.generation:
		return
	case !t.done:
		a.taken--
	case t.usedAt > 0 && t.usedAt == s.sequence: // no call has reported the use
		a.used--
	default:
		return
	}
	t.done, t.usedAt = true, 0
	a.free++
	a.serve(s)
}

// expire removes all tokens if they are no longer valid. The caller holds mu.
func (s *Stock) expire(now time.Time) {
	if !now.Before(s.validUntil) {
		s.void()
	}
}

// void removes all tokens. The caller holds mu.
func (s *Stock) void() {
	n := 0
	for _, a := range s.accounts {
		n += a.held()
	}
	if n == 0 {
		return
	}
	s.voided += n
	s.generation++
	for _, a := range s.accounts {
		a.void(s.generation)
	}
}

// TakeVoided returns the number of tokens that became invalid since its last call, and
// the time since the last answered call was sent.
func (s *Stock) TakeVoided() (tokens int, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.expire(now)
	tokens, s.voided = s.voided, 0
	return tokens, s.stockAge(now)
}

// nextCall returns when the next call is due. It returns false if none is.
func (s *Stock) nextCall() (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if !s.enforced {
		return time.Time{}, false
	}
	var next time.Time
	consider := func(t time.Time) {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	for customer, a := range s.accounts {
		soon := s.lastCall.Add(minCallInterval)
		switch {
		case len(a.waiters) > 0:
			consider(latest(soon, a.askAfter))
		case a.recalled && a.free > 0, s.full && a.held() > 0:
			consider(soon)
		case s.limited(customer) && a.low(now):
			consider(s.lastCall.Add(refillInterval))
		case a.held() > 0 || a.changed():
			consider(s.lastCall.Add(renewInterval))
		}
	}
	return next, !next.IsZero()
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// request returns the next call. It returns free tokens above the demand with it, or
// all, for a planned stop.
func (s *Stock) request(returnAll bool) *directoryrpc.AllowanceArgs {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.expire(now)
	s.sequence++
	s.lastCall, s.sentAt = now, now
	args := &directoryrpc.AllowanceArgs{Host: s.host, Sequence: s.sequence, Ledger: s.ledger, Full: s.full}
	for _, customer := range slices.Sorted(maps.Keys(s.accounts)) {
		a := s.accounts[customer]
		limited := s.limited(customer)
		if returnAll || !limited {
			a.free = 0
		} else {
			a.free -= a.surplus(now)
		}
		a.recalled = false
		u := directoryrpc.AllowanceUse{Customer: customer, Used: a.used, Held: a.held()}
		if limited && !returnAll {
			u.Waiting, u.Wanted = len(a.waiters), a.wanted(now)
			for _, w := range a.waiters {
				w.asked = true
			}
		}
		if a.changed() || u.Waiting > 0 || u.Wanted > 0 || s.full && u.Held > 0 {
			args.Customers = append(args.Customers, u)
		}
	}
	return args
}

// fail records that a call got no answer. Its reply must not be applied later.
func (s *Stock) fail(args *directoryrpc.AllowanceArgs) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastCall = s.now()
	for _, u := range args.Customers {
		if a := s.accounts[u.Customer]; a != nil {
			a.unsure = true
		}
	}
	s.forgetAsked()
}

// forgetAsked makes the waiting operations part of the next call. The caller holds mu.
func (s *Stock) forgetAsked() {
	for _, a := range s.accounts {
		for _, w := range a.waiters {
			w.asked = false
		}
	}
}

// apply applies the reply to the last call.
func (s *Stock) apply(args *directoryrpc.AllowanceArgs, reply *directoryrpc.AllowanceReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.expire(now)
	if reply.Resync {
		s.full = true
		s.forgetAsked()
		return
	}
	s.full, s.ledger = false, reply.Ledger
	if !reply.Renewed {
		s.void()
	}
	s.answeredAt = s.sentAt
	s.validUntil = latest(s.validUntil, s.sentAt.Add(reply.TTL))
	grants := make(map[string]directoryrpc.AllowanceGrant, len(reply.Customers))
	for _, g := range reply.Customers {
		grants[g.Customer] = g
		if a := s.accounts[g.Customer]; a != nil {
			a.recalled = g.Recall
		}
	}
	for _, u := range args.Customers {
		if a := s.accounts[u.Customer]; a != nil {
			s.applyGrant(now, a, u, grants[u.Customer])
		}
	}
	s.forgetAsked()
	s.expire(now) // the reply may have come too late
	s.releaseUnlimited()
}

// applyGrant applies the answer for one customer. The caller holds mu.
func (s *Stock) applyGrant(now time.Time, a *stockAccount, u directoryrpc.AllowanceUse, g directoryrpc.AllowanceGrant) {
	a.reportedUsed, a.reportedHeld, a.unsure = u.Used, u.Held+g.Tokens, false
	a.free += g.Tokens
	if now.Before(s.validUntil) {
		a.serve(s)
	}
	if a.recalled || g.Tokens < u.Waiting+u.Wanted {
		a.spareAfter = now.Add(shortageMemory)
	}
	if g.Tokens < u.Waiting && g.Retry > 0 {
		a.askAfter = now.Add(min(g.Retry, maxAskDelay))
		a.refuse(&Refused{Customer: u.Customer, Retry: g.Retry, StockAge: s.stockAge(now), Reason: "the allowance is used up"})
	}
}

// Held returns the tokens at the host by customer, for diagnostics.
func (s *Stock) Held() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.accounts))
	for customer, a := range s.accounts {
		if n := a.held(); n > 0 {
			out[customer] = n
		}
	}
	return out
}
