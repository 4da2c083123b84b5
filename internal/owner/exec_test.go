package owner_test

import (
	"strings"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/owner"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/logpos"
	"github.com/matryer/is"
)

// TestLargeAnswer guards against losing the transaction, the majority or the
// position of a cycle that ran but whose answer exceeds the limit.
func TestLargeAnswer(t *testing.T) {
	run(t, owner.Options{MaxAnswerBytes: 60}, func(t *testing.T, r *harness) {
		is := is.New(t)
		long := strings.Repeat("x", 60)
		got := r.exec(r.read(1, "SELECT "+long))
		is.Equal(got.Kind, errkind.AnswerTooLarge)
		r.begin(t, 2)
		got = r.inTx(2, "SELECT "+long)
		is.Equal(got.Kind, errkind.AnswerTooLarge)
		is.Equal(got.TxStatus, byte('T'))
		is.Equal(r.inTx(2, "COMMIT").Position, logpos.Position{Term: 1, LSN: 11})
		start := time.Now()
		got = r.exec(r.args(1, "UPDATE "+long))
		is.Equal(got.Kind, errkind.AnswerTooLarge)
		is.Equal(got.TxStatus, byte('I'))
		is.Equal(got.Position, logpos.Position{Term: 1, LSN: 11})
		is.True(time.Since(start) < 10*time.Millisecond)
		r.server.set(func(f *fakeServer) { f.stalled = true })
		is.Equal(r.exec(r.args(1, "INSERT a")).Kind, errkind.OutcomeUnknown)
		is.Equal(r.exec(r.args(1, "UPDATE "+long)).Kind, errkind.OutcomeUnknown)
	})
}

// TestExecAnswersReadsWritesAndTransactions guards the plain path: complete
// answers, positions of writes only, and a transaction on one connection.
func TestExecAnswersReadsWritesAndTransactions(t *testing.T) {
	run(t, owner.Options{}, func(t *testing.T, r *harness) {
		is := is.New(t)
		got := r.exec(r.read(1, "SELECT 1"))
		is.Equal(got.Kind, errkind.OK)
		is.Equal(got.Position, logpos.Position{})
		is.Equal(got.Load.Server, "s1")

		start := time.Now()
		got = r.exec(r.args(1, "INSERT a"))
		is.Equal(got.Kind, errkind.OK)
		is.Equal(got.Position, logpos.Position{Term: 1, LSN: 11})
		is.True(time.Since(start) >= 3*time.Millisecond) // service and lag

		begin := r.args(1, "BEGIN")
		begin.Begin = true
		is.Equal(r.exec(begin).TxStatus, byte('T'))
		for _, step := range []struct {
			sql    string
			status byte
		}{{"INSERT b", 'T'}, {"COMMIT", 'I'}} {
			in := r.args(1, step.sql)
			in.InTx = true
			got = r.exec(in)
			is.Equal(got.Kind, errkind.OK)
			is.Equal(got.TxStatus, step.status)
		}
		is.Equal(got.Position, logpos.Position{Term: 1, LSN: 12})
		in := r.args(1, "INSERT c")
		in.InTx = true
		is.Equal(r.exec(in).Kind, errkind.TransactionLost)
		is.Equal(r.server.times("INSERT c"), 0)
	})
}
