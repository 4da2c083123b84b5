package owner_test

import (
	"strings"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/limit"
	"github.com/arbutusring/arbutusring/internal/owner"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/logpos"
	"github.com/matryer/is"
)

// TestLargeAnswer guards against mishandling a cycle that ran but whose answer
// exceeds the size limit: its transaction must stay open, and a write must still
// wait for a majority and report its position.
func TestLargeAnswer(t *testing.T) {
	runTest(t, owner.Options{MaxAnswerBytes: 60}, func(t *testing.T, r *harness) {
		is := is.New(t)
		long := strings.Repeat("x", 60)
		got := r.exec(r.readArgs(1, "SELECT "+long))
		is.Equal(got.Kind, errkind.AnswerTooLarge)
		r.begin(t, 2)
		got = r.execInTx(2, "SELECT "+long)
		is.Equal(got.Kind, errkind.AnswerTooLarge)
		is.Equal(got.TxStatus, byte('T'))
		is.Equal(r.execInTx(2, "COMMIT").Position, logpos.Position{Term: 1, LSN: 11})
		start := time.Now()
		got = r.exec(r.writeArgs(1, "UPDATE "+long))
		is.Equal(got.Kind, errkind.AnswerTooLarge)
		is.Equal(got.TxStatus, byte('I'))
		is.Equal(got.Position, logpos.Position{Term: 1, LSN: 11})
		is.True(time.Since(start) < 10*time.Millisecond)
		r.server.set(func(f *fakeServer) { f.replicationStalled = true })
		is.Equal(r.exec(r.writeArgs(1, "INSERT a")).Kind, errkind.OutcomeUnknown)
		is.Equal(r.exec(r.writeArgs(1, "UPDATE "+long)).Kind, errkind.OutcomeUnknown)
	})
}

// TestPanic guards against a panic in one cycle that ends the process, or that keeps the
// slots and connections of its server.
func TestPanic(t *testing.T) {
	runTest(t, owner.Options{}, func(t *testing.T, r *harness) {
		is := is.New(t)
		for i := range uint64(20) {
			is.Equal(r.exec(r.writeArgs(i, "PANIC")).Kind, errkind.OutcomeUnknown)
		}
		r.begin(t, 100)
		is.True(r.execInTx(100, "PANIC").Kind != errkind.OK)
		is.Equal(r.exec(r.writeArgs(1, "INSERT a")).Kind, errkind.OK)
	})
}

// TestAnswerMemory guards against answers that wait for the entry host without limit, and
// against memory that is counted after an answer was sent.
func TestAnswerMemory(t *testing.T) {
	memory := limit.NewBudget(limit.BudgetOptions{MemoryMB: 4}) // 1 MiB
	runTest(t, owner.Options{Memory: memory}, func(t *testing.T, r *harness) {
		is := is.New(t)
		long := "SELECT " + strings.Repeat("x", 200<<10)
		first := r.exec(r.readArgs(1, long))
		is.Equal(first.Kind, errkind.OK)
		is.Equal(r.exec(r.readArgs(2, long)).Kind, errkind.AnswerTooLarge)
		is.Equal(r.exec(r.readArgs(2, "SELECT a")).Kind, errkind.OK)
		first.Sent()
		is.Equal(memory.Used(), int64(0))
		is.Equal(r.exec(r.readArgs(2, long)).Kind, errkind.OK)
	})
}

// TestExecReadsWritesAndTransactions checks execution without faults: complete
// answers, positions only for writes, and a transaction on one connection.
func TestExecReadsWritesAndTransactions(t *testing.T) {
	runTest(t, owner.Options{}, func(t *testing.T, r *harness) {
		is := is.New(t)
		got := r.exec(r.readArgs(1, "SELECT 1"))
		is.Equal(got.Kind, errkind.OK)
		is.Equal(got.Position, logpos.Position{})
		is.Equal(got.Load.Server, "s1")

		start := time.Now()
		got = r.exec(r.writeArgs(1, "INSERT a"))
		is.Equal(got.Kind, errkind.OK)
		is.Equal(got.Position, logpos.Position{Term: 1, LSN: 11})
		is.True(time.Since(start) >= 3*time.Millisecond) // service time and replication lag

		begin := r.writeArgs(1, "BEGIN")
		begin.Begin = true
		is.Equal(r.exec(begin).TxStatus, byte('T'))
		for _, step := range []struct {
			sql    string
			status byte
		}{{"INSERT b", 'T'}, {"COMMIT", 'I'}} {
			in := r.writeArgs(1, step.sql)
			in.InTx = true
			got = r.exec(in)
			is.Equal(got.Kind, errkind.OK)
			is.Equal(got.TxStatus, step.status)
		}
		is.Equal(got.Position, logpos.Position{Term: 1, LSN: 12})
		in := r.writeArgs(1, "INSERT c")
		in.InTx = true
		is.Equal(r.exec(in).Kind, errkind.TransactionLost)
		is.Equal(r.server.runCount("INSERT c"), 0)
	})
}
