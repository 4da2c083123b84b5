package limit_test

import (
	"testing"

	"github.com/arbutusring/arbutusring/internal/limit"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/matryer/is"
)

// TestBudget guards against large messages that leave no room for small ones, against a
// single large message that is never served, and against bytes that are lost on a
// refusal.
func TestBudget(t *testing.T) {
	is := is.New(t)
	b := limit.NewBudget(limit.BudgetOptions{MemoryMB: 4}) // 1 MiB
	is.True(b.Take(3<<20, 0))                              // alone
	is.True(!b.Take(1<<20, 0))                             // beside the first one
	b.Give(3 << 20)
	is.True(b.Take(1<<20, 0))
	is.True(!b.Take(100<<10, 0)) // large, full
	for range 128 {
		is.True(b.Take(4<<10, 0)) // small, in the reserve
	}
	is.True(!b.Take(4<<10, 0))  // the reserve is used up
	is.True(!b.Take(1, 64<<10)) // not small together with what it holds
	b.Give(1<<20 + 128*4<<10)
	is.Equal(b.Used(), int64(0))
	is.True((*limit.Budget)(nil).Take(1<<40, 0)) // no limit
}

// TestSessionState guards against sessions that keep values without limit, and against
// values that are counted after they were replaced or released.
func TestSessionState(t *testing.T) {
	is := is.New(t)
	b := limit.NewBudget(limit.BudgetOptions{MemoryMB: 4})
	limits := limit.StateLimits{MaxNames: 2, MaxBytes: 1000}
	size := func(n int) *limit.Size { return &limit.Size{Own: n} }
	var s limit.State
	is.NoErr(s.Replace(b, limits, nil, size(100)))
	is.NoErr(s.Replace(b, limits, nil, size(100)))
	is.Equal(errkind.Of(s.Replace(b, limits, nil, size(1))), errkind.Overloaded)         // names
	is.Equal(errkind.Of(s.Replace(b, limits, size(100), size(900))), errkind.Overloaded) // bytes
	is.NoErr(s.Replace(b, limits, size(100), size(200)))
	is.NoErr(s.Replace(b, limits, size(100), nil))
	is.NoErr(s.Replace(b, limits, nil, &limit.Size{Own: 1, Shared: 100}))
	used := b.Used()
	is.True(used >= 201 && used < 201+2*200) // with an overhead, without what is shared
	s.Release(b)
	is.Equal(b.Used(), int64(0))

	var big limit.State // half of the budget is for the values of sessions
	is.NoErr(big.Replace(b, limit.StateLimits{}, nil, size(500<<10)))
	is.Equal(errkind.Of(s.Replace(b, limit.StateLimits{}, nil, size(100<<10))), errkind.Overloaded)
	is.True(b.Take(400<<10, 0)) // messages
}
