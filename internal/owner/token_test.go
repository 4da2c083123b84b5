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

func (r *harness) tokenArgs(session uint64, token, sql string) *ownerrpc.ExecArgs {
	a := r.writeArgs(session, sql)
	a.RequestToken = token
	return a
}

// TestRequestTokenRunsOnce guards against a request with the same request_id
// taking effect twice when another session, request or host sends it again.
func TestRequestTokenRunsOnce(t *testing.T) {
	const token = "it's 1"
	for _, tc := range []struct {
		name         string
		firstRequest func(is *is.I, r *harness) // sends the first request
		wantRuns     int                        // how often the statement ran in all attempts
	}{
		{"first answered", func(is *is.I, r *harness) {
			is.Equal(r.exec(r.tokenArgs(1, token, "INSERT a")).Kind, errkind.OK)
		}, 1},
		{"commit answer lost", func(is *is.I, r *harness) {
			r.server.set(func(f *fakeServer) { f.loseCommitAnswer = true })
			is.Equal(r.exec(r.tokenArgs(1, token, "INSERT a")).Kind, errkind.OutcomeUnknown)
			r.server.set(func(f *fakeServer) { f.loseCommitAnswer = false })
		}, 1},
		{"not confirmed by a majority", func(is *is.I, r *harness) {
			r.server.set(func(f *fakeServer) { f.replicationStalled = true })
			a := r.tokenArgs(1, token, "INSERT a")
			a.Budget = 100 * time.Millisecond
			is.Equal(r.exec(a).Kind, errkind.OutcomeUnknown)
			b := r.tokenArgs(2, token, "INSERT a")
			b.Budget = 100 * time.Millisecond
			is.Equal(r.exec(b).Kind, errkind.OutcomeUnknown) // the stored outcome also waits for a majority
			r.server.set(func(f *fakeServer) { f.replicationStalled, f.reportedPosition = false, f.status.Received })
		}, 1},
		{"stored by another host meanwhile", func(is *is.I, r *harness) {
			first := r.exec(r.tokenArgs(1, token, "INSERT a"))
			is.Equal(first.Kind, errkind.OK)
			// The lookup does not find the row, so that only the unique key
			// prevents a second commit.
			r.server.set(func(f *fakeServer) { f.hiddenLookups = 1 })
		}, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runTest(t, owner.Options{}, func(t *testing.T, r *harness) {
				is := is.New(t)
				tc.firstRequest(is, r)
				second := r.exec(r.tokenArgs(2, token, "INSERT a"))
				is.Equal(second.Kind, errkind.OK)
				is.Equal(second.TxStatus, byte('I'))
				is.True(bytes.HasPrefix(second.Messages, message('C', "INSERT 0 1\x00")))
				is.True(second.Position.AtLeast(logpos.Position{Term: 1, LSN: 11}))
				is.Equal(r.server.runCount("INSERT a"), tc.wantRuns)
				is.Equal(r.server.commits, 1)
			})
		})
	}
}

// TestRequestTokenRestrictions guards against storing a failed outcome, using a
// token within the caller's own transaction, executing a token concurrently, and
// storing answers of unlimited size.
func TestRequestTokenRestrictions(t *testing.T) {
	runTest(t, owner.Options{Limits: owner.Limits{TokenAnswerBytes: 64}}, func(t *testing.T, r *harness) {
		is := is.New(t)
		failed := r.exec(r.tokenArgs(1, "f", "FAIL"))
		is.Equal(failed.Kind, errkind.OK)
		is.Equal(failed.Messages[len(failed.Messages)-1], byte('I'))
		is.Equal(r.server.commits, 0)
		is.Equal(r.exec(r.tokenArgs(1, "f", "INSERT b")).Kind, errkind.OK) // the failure was not stored, so the token may be used again

		first := r.execAsync(r.tokenArgs(1, "c", "INSERT c"))
		time.Sleep(2 * time.Millisecond)
		is.Equal(r.exec(r.tokenArgs(2, "c", "INSERT c")).Kind, errkind.RequestInProgress)
		is.Equal((<-first).Kind, errkind.OK)
		is.Equal(r.server.runCount("INSERT c"), 1)

		long := "UPDATE " + strings.Repeat("x", 100)
		is.True(len(r.exec(r.tokenArgs(1, "l", long)).Messages) > 100)
		again := r.exec(r.tokenArgs(1, "l", long))
		is.Equal(again.Kind, errkind.OK)
		is.True(strings.Contains(again.Detail, "without its rows"))
		is.True(len(again.Messages) < 64)

		in := r.tokenArgs(3, "t", "BEGIN")
		in.Begin = true
		is.Equal(r.exec(in).Kind, errkind.Unsupported)
		is.Equal(r.exec(r.tokenArgs(3, strings.Repeat("x", 300), "INSERT d")).Kind, errkind.BadRequest)
		ended := r.exec(r.tokenArgs(4, "e", "ROLLBACK")) // ends the transaction that stores the outcome
		is.Equal(ended.Kind, errkind.OutcomeUnknown)
	})
}
