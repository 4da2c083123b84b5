package owner_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/owner"
	"github.com/arbutusring/arbutusring/internal/ownerrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/logpos"
	"github.com/matryer/is"
)

func (r *harness) withToken(session uint64, token, sql string) *ownerrpc.ExecArgs {
	a := r.args(session, sql)
	a.RequestToken = token
	return a
}

// TestRequestTokenRunsOnce guards against running a request with the same
// request_id twice, whichever session, request or host sends it again.
func TestRequestTokenRunsOnce(t *testing.T) {
	const token = "it's 1"
	for _, tc := range []struct {
		name string
		act  func(is *is.I, r *harness) // the first request
		ran  int                        // statements of all attempts that ran
	}{
		{"first answered", func(is *is.I, r *harness) {
			is.Equal(r.exec(r.withToken(1, token, "INSERT a")).Kind, errkind.OK)
		}, 1},
		{"commit answer lost", func(is *is.I, r *harness) {
			r.server.set(func(f *fakeServer) { f.cutCommit = true })
			is.Equal(r.exec(r.withToken(1, token, "INSERT a")).Kind, errkind.OutcomeUnknown)
			r.server.set(func(f *fakeServer) { f.cutCommit = false })
		}, 1},
		{"not confirmed by a majority", func(is *is.I, r *harness) {
			r.server.set(func(f *fakeServer) { f.stalled = true })
			a := r.withToken(1, token, "INSERT a")
			a.Budget = 100 * time.Millisecond
			is.Equal(r.exec(a).Kind, errkind.OutcomeUnknown)
			b := r.withToken(2, token, "INSERT a")
			b.Budget = 100 * time.Millisecond
			is.Equal(r.exec(b).Kind, errkind.OutcomeUnknown) // the stored outcome waits too
			r.server.set(func(f *fakeServer) { f.stalled, f.reported = false, f.status.Received })
		}, 1},
		{"stored by another host meanwhile", func(is *is.I, r *harness) {
			first := r.exec(r.withToken(1, token, "INSERT a"))
			is.Equal(first.Kind, errkind.OK)
			// The lookup misses the row, so that only the unique key decides.
			r.server.set(func(f *fakeServer) { f.hideRows = 1 })
		}, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			run(t, owner.Options{}, func(t *testing.T, r *harness) {
				is := is.New(t)
				tc.act(is, r)
				second := r.exec(r.withToken(2, token, "INSERT a"))
				is.Equal(second.Kind, errkind.OK)
				is.Equal(second.TxStatus, byte('I'))
				is.True(bytes.HasPrefix(second.Messages, message('C', "INSERT 0 1\x00")))
				is.True(second.Position.Covers(logpos.Position{Term: 1, LSN: 11}))
				is.Equal(r.server.times("INSERT a"), tc.ran)
				is.Equal(r.server.commits, 1)
			})
		})
	}
}

// TestRequestTokenLimits guards against storing a failure, mixing the token's
// transaction with the caller's, running a token concurrently, and storing
// without bound.
func TestRequestTokenLimits(t *testing.T) {
	run(t, owner.Options{Limits: owner.Limits{TokenBytes: 64}}, func(t *testing.T, r *harness) {
		is := is.New(t)
		failed := r.exec(r.withToken(1, "f", "FAIL"))
		is.Equal(failed.Kind, errkind.OK)
		is.Equal(failed.Messages[len(failed.Messages)-1], byte('I'))
		is.Equal(r.server.commits, 0)
		is.Equal(r.exec(r.withToken(1, "f", "INSERT b")).Kind, errkind.OK) // not stored: may be sent again

		first := r.start(r.withToken(1, "c", "INSERT c"))
		time.Sleep(2 * time.Millisecond)
		is.Equal(r.exec(r.withToken(2, "c", "INSERT c")).Kind, errkind.RequestInProgress)
		is.Equal((<-first).Kind, errkind.OK)
		is.Equal(r.server.times("INSERT c"), 1)

		long := "UPDATE " + strings.Repeat("x", 100)
		is.True(len(r.exec(r.withToken(1, "l", long)).Messages) > 100)
		again := r.exec(r.withToken(1, "l", long))
		is.Equal(again.Kind, errkind.OK)
		is.True(strings.Contains(again.Detail, "without its rows"))
		is.True(len(again.Messages) < 64)

		in := r.withToken(3, "t", "BEGIN")
		in.Begin = true
		is.Equal(r.exec(in).Kind, errkind.Unsupported)
		is.Equal(r.exec(r.withToken(3, strings.Repeat("x", 300), "INSERT d")).Kind, errkind.BadRequest)
		ended := r.exec(r.withToken(4, "e", "ROLLBACK")) // ends the transaction of the token
		is.Equal(ended.Kind, errkind.OutcomeUnknown)
	})
}
