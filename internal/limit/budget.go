package limit

import (
	"math"
	"sync/atomic"

	"github.com/rcrowley/go-metrics"
)

const (
	// budgetFraction is the fraction of the memory of a process that its callers may
	// make it hold. The garbage collector keeps the heap below 0.7; the difference is
	// for the process itself and for garbage.
	budgetFraction = 0.25
	// reserveFraction is the fraction of a budget that only small messages may use
	// beyond it.
	reserveFraction = 0.5
	// smallBytes is the greatest size of a small message. A statement in calm has
	// about 500 bytes.
	smallBytes = 64 << 10
	// calmFraction is the fraction of a budget that others may hold while a single
	// large message is accepted beyond the budget.
	calmFraction = 0.125
	// stateFraction is the fraction of a budget for the values of sessions.
	stateFraction = 0.5
)

// BudgetOptions configures a Budget.
type BudgetOptions struct {
	MemoryMB int              // memory of the process; 0 for no limit
	Registry metrics.Registry // nil: no metrics
}

// Budget counts bytes that are held on behalf of callers. Its methods are safe for
// concurrent use; a nil Budget has no limit.
type Budget struct {
	limit int64
	used  atomic.Int64
	state atomic.Int64 // part of used for the values of sessions
}

// NewBudget returns an empty budget.
func NewBudget(opts BudgetOptions) *Budget {
	b := &Budget{limit: math.MaxInt64 / 4}
	if opts.MemoryMB > 0 {
		b.limit = int64(budgetFraction * float64(opts.MemoryMB) * (1 << 20))
	}
	if opts.Registry != nil {
		registerGauge(opts.Registry, "callers.memory_bytes", b.Used)
		registerGauge(opts.Registry, "callers.memory_limit_bytes", func() int64 { return b.limit })
	}
	return b
}

// registerGauge registers a gauge in place of one of the same name, which a process that
// was started again in the same registry has left.
func registerGauge(r metrics.Registry, name string, value func() int64) {
	r.Unregister(name)
	metrics.NewRegisteredFunctionalGauge(name, r, value)
}

// Used returns the number of bytes in use.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}
	return b.used.Load()
}

// Take takes n bytes for a holder that holds held bytes already. It takes nothing and
// returns false if there is no room.
func (b *Budget) Take(n, held int64) bool {
	if b == nil || n <= 0 {
		return true
	}
	used := b.used.Add(n)
	switch {
	case used <= b.limit:
		return true
	case n+held <= smallBytes && used <= b.limit+int64(reserveFraction*float64(b.limit)):
		return true
	case used-n-held <= int64(calmFraction*float64(b.limit)):
		return true
	}
	b.used.Add(-n)
	return false
}

// Force takes n bytes without a check.
func (b *Budget) Force(n int64) {
	if b != nil {
		b.used.Add(n)
	}
}

// Give returns n bytes.
func (b *Budget) Give(n int64) { b.Force(-n) }

// TakeState takes n bytes for the values of a session. It takes nothing and returns
// false if there is no room.
func (b *Budget) TakeState(n int64) bool {
	if b == nil || n <= 0 {
		return true
	}
	state, used := b.state.Add(n), b.used.Add(n)
	if state > int64(stateFraction*float64(b.limit)) || used > b.limit {
		b.GiveState(n)
		return false
	}
	return true
}

// GiveState returns n bytes of TakeState.
func (b *Budget) GiveState(n int64) {
	if b != nil {
		b.state.Add(-n)
		b.used.Add(-n)
	}
}
