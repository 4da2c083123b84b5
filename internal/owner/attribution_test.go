package owner_test

import (
	"encoding/base64"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/owner"
	"github.com/arbutusring/arbutusring/internal/ownerrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/matryer/is"
)

// txArgs returns the arguments of a cycle in a transaction that writes.
func (r *harness) txArgs(sql string) *ownerrpc.ExecArgs {
	a := r.writeArgs(1, sql)
	a.Begin, a.InTx = sql == "BEGIN", sql != "BEGIN"
	return a
}

// TestLateAnswerIsNotTakenForTheNextOne guards against taking an answer that the
// server repeats late, on a connection that is in use again, for the answer to the
// next statement.
func TestLateAnswerIsNotTakenForTheNextOne(t *testing.T) {
	for _, copies := range []int{1, 2, 3, 4} { // the answer alone, or with those to what the proxy adds
		for _, tc := range []struct {
			name    string
			before  []string // statements; the answers to the last one are repeated
			sql     string
			read    bool
			want    string // part of a right answer
			unknown errkind.Kind
		}{
			{"read", []string{"SELECT 'one'"}, "SELECT 'two'", true, "two", errkind.ServerLost},
			{"write after a write", []string{"INSERT one"}, "INSERT two", false, "INSERT 0 1", errkind.OutcomeUnknown},
			{"write after an error", []string{"FAIL one"}, "INSERT two", false, "INSERT 0 1", errkind.OutcomeUnknown},
			{"read in a transaction", []string{"BEGIN", "SELECT 'one'"}, "SELECT 'two'", false, "two", errkind.OutcomeUnknown},
			{"commit", []string{"BEGIN", "INSERT one"}, "COMMIT", false, "COMMIT", errkind.OutcomeUnknown},
			{"begin after a read", []string{"SELECT 'one'"}, "BEGIN", false, "BEGIN", errkind.OutcomeUnknown},
			{"begin after an error", []string{"FAIL one"}, "BEGIN", false, "BEGIN", errkind.OutcomeUnknown},
			{"begin after a failed begin", []string{"BEGIN WRONG"}, "BEGIN", false, "BEGIN", errkind.OutcomeUnknown},
			{"rollback of a failed transaction", []string{"BEGIN", "FAIL one"}, "ROLLBACK", false, "ROLLBACK", errkind.OutcomeUnknown},
		} {
			t.Run(fmt.Sprintf("%s, %d", tc.name, copies), func(t *testing.T) {
				is := is.New(t)
				r, s := startRawOwner(t)
				args := func(sql string) *ownerrpc.ExecArgs {
					switch {
					case tc.read:
						return r.readArgs(1, sql)
					case tc.before[0] == "BEGIN", sql == "BEGIN":
						return r.txArgs(sql)
					}
					return r.writeArgs(1, sql)
				}
				s.repeatLate(tc.before[len(tc.before)-1], copies, tc.sql)
				for _, sql := range tc.before {
					got := r.exec(args(sql))
					is.Equal(got.Kind, errkind.OK) // a statement before the repeated answer
				}
				got := r.exec(args(tc.sql))
				is.Equal(s.runCount(tc.sql), 1)
				if got.Kind == errkind.OK {
					is.True(strings.Contains(string(got.Messages), tc.want)) // the statement's own answer
					is.True(!strings.Contains(string(got.Messages), "one"))
					if strings.HasPrefix(tc.sql, "INSERT") || tc.sql == "COMMIT" {
						s.mu.Lock()
						is.Equal(got.Position.LSN, s.lsn) // the position of this commit
						s.mu.Unlock()
					}
				} else {
					is.Equal(got.Kind, tc.unknown)
				}
				// The connection isn't one answer behind afterwards.
				for i := range 3 {
					sql := fmt.Sprintf("SELECT 'after %d'", i)
					got := r.exec(r.readArgs(2, sql))
					is.Equal(got.Kind, errkind.OK)
					is.True(strings.Contains(string(got.Messages), fmt.Sprintf("after %d", i)))
				}
			})
		}
	}
}

// TestLateAnswerOfAContractFunction guards against taking a status that the server
// repeats late for one that was read later.
func TestLateAnswerOfAContractFunction(t *testing.T) {
	is := is.New(t)
	s := newRawServer(t)
	c, err := s.connect(t.Context(), "", "")
	is.NoErr(err)
	defer c.Close()
	s.mu.Lock()
	s.recordOf = "SELECT 'record'"
	s.mu.Unlock()
	_, err = c.Relay(t.Context(), query("SELECT 'record'"), 1<<20)
	is.NoErr(err)
	_, err = c.Status(t.Context())
	is.NoErr(err)
	s.mu.Lock()
	last := s.recorded[len(s.recorded)-1]
	s.lsn++
	s.recorded = [][]byte{last}
	s.recordOf, s.repeat, s.repeatNext = "", 1, true
	s.mu.Unlock()
	st, err := c.Status(t.Context())
	if err == nil {
		is.Equal(st.Received.LSN, uint64(11))
	} else {
		is.Equal(errkind.Of(err), errkind.ServerLost)
		is.True(c.Closed())
	}
}

// TestAsynchronousMessagesBetweenStatements guards against giving up a connection, and
// with it a transaction, because of a message that a server may send at any time.
func TestAsynchronousMessagesBetweenStatements(t *testing.T) {
	for _, tc := range []struct {
		name  string
		async []byte
		lost  bool // the connection is closed
	}{
		{"parameter", message('S', "TimeZone\x00UTC\x00"), false},
		{"notice and notification", append(message('N', "SNOTICE\x00C00000\x00Mx\x00\x00"), message('A', "\x00\x00\x00\x01a\x00b\x00")...), false},
		{"a message that is cut", message('S', "TimeZone\x00UTC\x00")[:9], true},
		{"parameter and an answer", append(message('S', "TimeZone\x00UTC\x00"), message('Z', "T")...), true},
		{"error", rawError("57014", "x"), true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			r, s := startRawOwner(t)
			is.Equal(r.exec(r.txArgs("BEGIN")).Kind, errkind.OK)
			s.mu.Lock()
			s.async = tc.async
			s.mu.Unlock()
			is.Equal(r.exec(r.txArgs("INSERT one")).Kind, errkind.OK)
			time.Sleep(20 * time.Millisecond)
			got := r.exec(r.txArgs("COMMIT"))
			if tc.lost {
				is.Equal(got.Kind, errkind.TransactionLost)
				is.Equal(s.runCount("COMMIT"), 0)
				return
			}
			is.Equal(got.Kind, errkind.OK)
			is.True(strings.Contains(string(got.Messages), "COMMIT"))
		})
	}
}

// TestBeginIsFollowedByNoQuery guards against a query between BEGIN and the statements of
// the transaction, after which its isolation level can't be set any more.
func TestBeginIsFollowedByNoQuery(t *testing.T) {
	is := is.New(t)
	r, s := startRawOwner(t)
	is.Equal(r.exec(r.txArgs("BEGIN")).Kind, errkind.OK)
	is.Equal(r.exec(r.txArgs("INSERT one")).Kind, errkind.OK)
	got := r.exec(r.txArgs("COMMIT"))
	is.Equal(got.Kind, errkind.OK)
	s.mu.Lock()
	defer s.mu.Unlock()
	is.Equal(got.Position.LSN, s.lsn)
	is.Equal(s.inTransaction[:2], []string{"BEGIN", "INSERT one"})
}

// TestLateBegin guards against going on in a transaction whose BEGIN was answered twice.
func TestLateBegin(t *testing.T) {
	is := is.New(t)
	r, s := startRawOwner(t)
	s.repeatLate("BEGIN", 1, "SELECT 'one'")
	is.Equal(r.exec(r.txArgs("BEGIN")).Kind, errkind.OK)
	is.Equal(r.exec(r.txArgs("SELECT 'one'")).Kind, errkind.OutcomeUnknown)
	is.Equal(r.exec(r.txArgs("COMMIT")).Kind, errkind.TransactionLost)
	is.Equal(s.runCount("COMMIT"), 0)
}

// TestStoredOutcomeIsOneAnswer guards against sending a caller what was stored under a
// request_id if it is more or less than one answer: the table is the caller's own, and
// the next answer would be taken for that to another statement.
func TestStoredOutcomeIsOneAnswer(t *testing.T) {
	complete, ready := message('C', "INSERT 0 1\x00"), message('Z', "I")
	for name, stored := range map[string][]byte{
		"two answers":         slices.Concat(complete, ready, complete, ready),
		"no end":              complete,
		"an open transaction": slices.Concat(complete, message('Z', "T")),
		"cut message":         slices.Concat(complete[:8], ready),
		"bytes at the end":    slices.Concat(complete, ready, []byte("x")),
		"a copy request":      slices.Concat(message('G', "\x00\x00\x00"), ready),
		"one answer":          slices.Concat(complete, ready),
	} {
		t.Run(name, func(t *testing.T) {
			runTest(t, owner.Options{}, func(t *testing.T, r *harness) {
				r.server.set(func(f *fakeServer) { f.outcomes["once"] = "w" + base64.StdEncoding.EncodeToString(stored) })
				a := r.writeArgs(1, "INSERT one")
				a.RequestToken = "once"
				got := r.exec(a)
				if (got.Kind == errkind.OK) != (name == "one answer") {
					t.Errorf("answered %q with %q", got.Kind, got.Messages)
				}
			})
		})
	}
}
