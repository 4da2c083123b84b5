package directory_test

import (
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/allowance"
	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/matryer/is"
)

// callAllowance sends a call of a host for one customer.
func (c *testCluster) callAllowance(sequence, ledger uint64, full bool, use directoryrpc.AllowanceUse) *directoryrpc.AllowanceReply {
	use.Customer = "c"
	reply := new(directoryrpc.AllowanceReply)
	_ = c.d.Service().Allowance(&directoryrpc.AllowanceArgs{
		Host: directoryrpc.Host{ID: "h1", Incarnation: "1"}, Sequence: sequence, Ledger: ledger, Full: full, Customers: []directoryrpc.AllowanceUse{use},
	}, reply)
	return reply
}

// TestAllowanceLeaders guards against a leader that grants tokens before the log says so
// or without its read lease, and against a new leader that does not know of the stocks
// that an earlier one granted, or does not renew them.
func TestAllowanceLeaders(t *testing.T) {
	runWithCluster(t, func(is *is.I, c *testCluster, _ *testHost) {
		sync := func() *directoryrpc.SyncReply {
			reply := new(directoryrpc.SyncReply)
			_ = c.d.Service().Sync(syncArgs("h2", "1", 0, 0), reply)
			return reply
		}
		is.True(!sync().Allowances) // there are no limits
		c.withLock(func() { c.limits = map[string]allowance.Limit{"c": {Rate: 10, Burst: 100}} })
		is.NoErr(c.d.Service().Put(&directoryrpc.PutArgs{Version: 1}, new(directoryrpc.PutReply)))
		is.True(sync().Allowances)
		is.Equal(c.callAllowance(1, 0, true, directoryrpc.AllowanceUse{Waiting: 1}).Kind, errkind.Overloaded) // not in the log yet
		time.Sleep(200 * time.Millisecond)
		first := c.callAllowance(2, 0, true, directoryrpc.AllowanceUse{Waiting: 40})
		is.Equal(first.Customers[0].Tokens, 40)
		is.Equal(c.callAllowance(2, 0, true, directoryrpc.AllowanceUse{Waiting: 40}).Customers[0].Tokens, 40) // repeated
		c.withLock(func() { c.leaseIsValid = false })
		is.Equal(len(c.callAllowance(3, 7, false, directoryrpc.AllowanceUse{Used: 10, Held: 30, Waiting: 5}).Customers), 0)
		c.withLock(func() { c.leaseIsValid = true })

		c.d.OnLeader(false, 7)
		time.Sleep(10 * time.Millisecond)
		c.d.OnLeader(true, 8)
		time.Sleep(200 * time.Millisecond)
		use := directoryrpc.AllowanceUse{Used: 20, Held: 20, Waiting: 80}
		is.True(c.callAllowance(4, 7, false, use).Resync)
		second := c.callAllowance(5, 7, true, use)
		is.True(second.Renewed)                   // the leader knows the 20 tokens now
		is.True(second.Customers[0].Tokens <= 2)  // its bucket began empty
		is.Equal(c.d.Allowances().Settled, false) // other hosts may hold tokens
		is.Equal(c.d.Allowances().Hosts, 1)       // dump
		is.True(c.d.Allowances().Customers[0].Held >= 20)
		time.Sleep(testLeaseEnd + 500*time.Millisecond)
		is.True(c.d.Allowances().Settled)
		is.Equal(c.d.Allowances().Customers[0].Held, 0) // the host fell silent
	})
}
