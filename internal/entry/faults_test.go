package entry_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/arbutusring/arbutusring/internal/entry"
	"github.com/arbutusring/arbutusring/internal/ownerrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// runInBubble runs a test with a fake group and an entry in a synctest bubble.
func runInBubble(t *testing.T, policyText string, test func(t *testing.T, is *is.I, f *fakeGroup, ent *entry.Entry)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake()
		ent := newEntry(f, policyText)
		defer ent.Close()
		test(t, is.New(t), f, ent)
	})
}

// faultsOnText returns an execHook that injects the faults, one per request, into
// the requests that contain the text.
func faultsOnText(text string, faults ...fault) func(context.Context, *ownerrpc.ExecArgs) (fault, *ownerrpc.ExecReply) {
	return func(_ context.Context, args *ownerrpc.ExecArgs) (fault, *ownerrpc.ExecReply) {
		if len(faults) == 0 || !strings.Contains(string(args.Messages), text) {
			return faultNone, nil
		}
		next := faults[0]
		faults = faults[1:]
		return next, nil
	}
}

// TestWriteFaults guards against a write that runs twice, against a write that is
// given up although a retry is safe, and against a wrong stated outcome.
func TestWriteFaults(t *testing.T) {
	cases := []struct {
		name    string
		faults  []fault
		outcome string // "" if the write succeeds
		runs    int
	}{
		{"refused once", []fault{faultRefuseConnection}, "", 1},
		{"request lost", []fault{faultLoseRequest}, "", 1},
		{"answer lost", []fault{faultLoseAnswer}, "", 1},
		{"answer of another request", []fault{faultWrongID}, "", 1},
		{"arrives after the cancellation", []fault{faultDeliverLate}, "", 1},
		{"lost again and again", []fault{faultLoseRequest, faultDeliverLate, faultLoseRequest, faultLoseAnswer}, "", 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runInBubble(t, "", func(t *testing.T, is *is.I, f *fakeGroup, ent *entry.Entry) {
				f.execHook = faultsOnText("insert", c.faults...)
				s := openSession(t, ent)
				defer s.close()
				a := s.query("insert into kv values ('a', '1')")
				is.Equal(a.outcome, c.outcome)
				time.Sleep(time.Second)
				is.Equal(f.executionCount("insert"), c.runs)
			})
		})
	}
}

// TestRestartedOwner guards against a false not_run after a restart of the owner,
// which has no outcome of a statement that ran before the restart.
func TestRestartedOwner(t *testing.T) {
	runInBubble(t, "", func(t *testing.T, is *is.I, f *fakeGroup, ent *entry.Entry) {
		f.execHook = faultsOnText("insert", faultLoseAnswer)
		f.incarnation = "2"
		s := openSession(t, ent)
		defer s.close()
		a := s.query("insert into kv values ('a', '1')")
		is.Equal(a.code, "08007")
		is.Equal(a.outcome, "unknown")
		is.Equal(a.status, byte('I'))
		is.Equal(f.executionCount("insert"), 1)
	})
}

// TestErrorAfterLostAttempt guards against a false not_run: the answer of the
// first attempt is lost, the write takes effect, and the server refuses the
// second attempt, for example because the first one still holds the row lock.
func TestErrorAfterLostAttempt(t *testing.T) {
	for _, setting := range []string{"repeatable = on", "request_id = 'r1'"} {
		runInBubble(t, "", func(t *testing.T, is *is.I, f *fakeGroup, ent *entry.Entry) {
			var sent int
			f.incarnation = "2" // the restarted owner has no outcome of the first attempt
			f.execHook = func(_ context.Context, args *ownerrpc.ExecArgs) (fault, *ownerrpc.ExecReply) {
				sent++
				if sent == 1 {
					return faultLoseAnswer, nil
				}
				refusal, _ := (&pgproto3.ErrorResponse{Severity: "ERROR", Code: "55P03", Message: "lock timeout"}).Encode(nil)
				return faultNone, &ownerrpc.ExecReply{TxStatus: 'I', Messages: append(refusal, 'Z', 0, 0, 0, 5, 'I')}
			}
			s := openSession(t, ent)
			defer s.close()
			s.mustQuery("set arbutusring." + setting)
			a := s.query("insert into kv values ('a', '1')")
			is.True(sent > 1)
			is.Equal(a.code, "08007")
			is.Equal(a.outcome, "unknown")
			is.Equal(f.executionCount("insert"), 1)
		})
	}
}

// TestUnreachableOwner guards against a wait beyond the deadline, and against an
// unknown outcome of a statement that was never sent.
func TestUnreachableOwner(t *testing.T) {
	runInBubble(t, "", func(t *testing.T, is *is.I, f *fakeGroup, ent *entry.Entry) {
		f.down["a0"] = true
		s := openSession(t, ent, "arbutusring.deadline", "700ms", "arbutusring.max_staleness", "0")
		defer s.close()
		start := time.Now()
		a := s.query("insert into kv values ('a', '1')")
		is.Equal(a.outcome, "not_run")
		is.True(time.Since(start) <= 700*time.Millisecond)
		is.Equal(f.executionCount("insert"), 0)
		f.update(func() { f.down["a0"] = false })
		s.mustQuery("insert into kv values ('a', '2')")
	})
}

// TestReadFaults guards against a read that fails although another member can
// serve it, against a read that is not sent to the primary as a write after a
// replica refused it, and against a wrong outcome or a second execution of a read.
func TestReadFaults(t *testing.T) {
	runInBubble(t, "", func(t *testing.T, is *is.I, f *fakeGroup, ent *entry.Entry) {
		s := openSession(t, ent)
		defer s.close()
		s.mustQuery("insert into kv values ('a', '1')")
		f.execHook = faultsOnText("select", faultLoseRequest, faultRefuseConnection)
		is.Equal(s.readKey("a").values, []string{"1"})
		time.Sleep(time.Second) // until the members are no longer suspect
		f.execHook = func(_ context.Context, args *ownerrpc.ExecArgs) (fault, *ownerrpc.ExecReply) {
			if args.Server != "s0" {
				return faultNone, &ownerrpc.ExecReply{Kind: errkind.ReadOnlyMember}
			}
			is.True(args.Write) // otherwise the owner would not wait until a majority has the commit
			return faultNone, nil
		}
		is.Equal(s.readKey("a").values, []string{"1"})
		f.execHook = func(context.Context, *ownerrpc.ExecArgs) (fault, *ownerrpc.ExecReply) { return faultLoseRequest, nil }
		a := s.readKey("a")
		is.Equal(a.outcome, "unknown") // a read without an answer may have run
		s.mustQuery("set arbutusring.repeatable = off")
		f.execHook = faultsOnText("select", faultLoseAnswer)
		before := f.executionCount("select")
		is.Equal(s.readKey("a").values, []string{"1"})
		is.Equal(f.executionCount("select"), before+1) // at most once
		f.execHook = faultsOnText("select", faultLoseRequest, faultDeliverLate, faultLoseRequest, faultLoseRequest)
		is.Equal(s.readKey("a").values, []string{"1"}) // retried, because the owners confirm that it did not run
		time.Sleep(time.Second)
		is.Equal(f.executionCount("select"), before+2)
	})
}

// TestReadOnlyTransactionMadeWritable guards against a write in a transaction that
// began as read-only and is not announced to the owner as a write. The owner would
// not wait until a majority has its commit.
func TestReadOnlyTransactionMadeWritable(t *testing.T) {
	runInBubble(t, "[[policy]]\nname = \"p\"\nreplica_reads = false", func(t *testing.T, is *is.I, f *fakeGroup, ent *entry.Entry) {
		var writes []bool
		f.execHook = func(_ context.Context, args *ownerrpc.ExecArgs) (fault, *ownerrpc.ExecReply) {
			writes = append(writes, args.Write)
			return faultNone, nil
		}
		s := openSession(t, ent)
		defer s.close()
		for _, sql := range []string{"begin read only", "select 1", "set transaction read write", "insert into kv values ('a', '1')", "commit"} {
			s.mustQuery(sql)
		}
		is.Equal(writes, []bool{false, false, true, true, false})
	})
}

// TestTransactionFaults guards against a lost transaction that is reported as
// committed, that is reported with an unknown outcome although it is known, or
// that makes the session unusable.
func TestTransactionFaults(t *testing.T) {
	cases := []struct {
		name     string
		text     string // text of the statement that fails
		inject   fault
		restarts bool // the owner restarts
		code     string
		status   byte
	}{
		{"owner lost before the send", "insert", faultRefuseConnection, true, "25P03", 'E'},
		{"owner lost after the send", "insert", faultLoseAnswer, true, "25P03", 'E'},
		{"owner lost before COMMIT", "commit", faultRefuseConnection, true, "25P03", 'I'},
		{"owner lost between COMMIT and its answer", "commit", faultLoseAnswer, true, "08007", 'I'},
		{"owner lost between ROLLBACK and its answer", "rollback", faultLoseAnswer, true, "", 'I'},
		{"answer lost", "insert", faultLoseAnswer, false, "", 'T'},
		{"request lost", "insert", faultLoseRequest, false, "", 'T'},
		{"answer to COMMIT lost", "commit", faultLoseAnswer, false, "", 'I'},
		{"COMMIT lost", "commit", faultLoseRequest, false, "", 'I'},
		{"BEGIN lost", "begin", faultLoseAnswer, true, "25P03", 'I'},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runInBubble(t, "", func(t *testing.T, is *is.I, f *fakeGroup, ent *entry.Entry) {
				injected := false
				f.execHook = func(_ context.Context, args *ownerrpc.ExecArgs) (fault, *ownerrpc.ExecReply) {
					if !strings.Contains(string(args.Messages), c.text) || injected {
						return faultNone, nil
					}
					injected = true
					f.update(func() {
						f.down["a0"] = c.inject == faultRefuseConnection
						if c.restarts {
							f.incarnation = "2"
						}
					})
					return c.inject, nil
				}
				s := openSession(t, ent)
				defer s.close()
				var a decodedAnswer
				for _, sql := range []string{"begin", "insert into kv values ('a', '1')"} {
					if a = s.query(sql); a.code != "" || c.text == "insert" && sql != "begin" {
						break
					}
				}
				if c.text == "commit" || c.text == "rollback" {
					a = s.query(c.text)
				}
				is.Equal(a.code, c.code)
				is.Equal(a.status, c.status)
				f.execHook = nil
				if c.status == 'E' {
					is.Equal(s.query("select 1").code, "25P02")
					is.Equal(s.query("set arbutusring.rank = 'default'").code, "25P02")
					is.Equal(s.mustQuery("commit").kinds, "CZ")
				}
				if c.code != "" && c.code != "08007" {
					is.Equal(f.executionCount("commit"), 0)
				}
				f.update(func() { f.down["a0"], f.incarnation = false, "" })
				time.Sleep(6 * time.Second)
				if c.status != 'T' {
					s.mustQuery("begin")
				}
				s.mustQuery("insert into kv values ('b', '2')")
				is.Equal(s.mustQuery("commit").status, byte('I'))
				is.Equal(s.readKey("b").values, []string{"2"})
			})
		})
	}
}

// TestReportedOutcomes guards against errors whose stated outcome differs from
// what ran, and against statements and transactions that run twice, under random
// faults of the owners and an owner restart that loses the stored outcomes.
func TestReportedOutcomes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.IntRange(0, int(faultDeliverLate)), 1, 60).Draw(rt, "faults")
		restartAt := rapid.IntRange(0, 80).Draw(rt, "forget_at")
		steps := rapid.SliceOfN(rapid.SampledFrom([]string{"write", "tx", "read", "repeatable"}), 1, 8).Draw(rt, "steps")
		wrong := ""
		synctest.Test(t, func(t *testing.T) {
			f := newFake()
			ent := newEntry(f, "")
			defer ent.Close()
			n := 0
			f.execHook = func(context.Context, *ownerrpc.ExecArgs) (fault, *ownerrpc.ExecReply) {
				f.mu.Lock()
				defer f.mu.Unlock()
				n++
				if n == restartAt {
					f.incarnation = "2"
				}
				if n > len(faults) {
					return faultNone, nil
				}
				return fault(faults[n-1]), nil
			}
			s := openSession(t, ent, "arbutusring.deadline", "800ms")
			defer s.close()
			for i, step := range steps {
				key := fmt.Sprintf("key%dx", i)
				sql := "insert into kv values ('" + key + "', '1')"
				var a decodedAnswer
				limit := 1
				switch step {
				case "read":
					sql = "select v from kv where k = '" + key + "'"
					a = s.query(sql)
					limit = 1000 // reads are repeatable
				case "repeatable":
					s.mustQuery("set arbutusring.repeatable = on")
					a = s.query(sql)
					s.mustQuery("set arbutusring.repeatable = default")
					limit = 1000
				case "write":
					a = s.query(sql)
				case "tx":
					if a = s.query("begin"); a.code == "" {
						if a = s.query(sql); a.code == "" {
							a = s.query("commit")
						}
					}
					if a.status != 'I' {
						s.mustQuery("rollback")
					}
				}
				time.Sleep(time.Second) // until late requests have arrived
				runs := f.executionCount(key)
				if step == "tx" {
					runs = 0
					for _, kv := range f.committed {
						if kv[0] == key {
							runs++
						}
					}
				}
				switch {
				case runs > limit, a.code == "" && runs == 0, a.outcome == "not_run" && runs > 0, a.outcome == "ran" && runs == 0:
					wrong = fmt.Sprintf("step %d (%s) ran %d times; the caller was told %q %s %s", i, step, runs, a.outcome, a.code, a.message)
				}
			}
		})
		if wrong != "" {
			rt.Fatal(wrong)
		}
	})
}

// TestRetryBudget guards against retries that multiply the load of owners when
// every request is lost.
func TestRetryBudget(t *testing.T) {
	runInBubble(t, "", func(t *testing.T, is *is.I, f *fakeGroup, ent *entry.Entry) {
		s := openSession(t, ent, "arbutusring.deadline", "100ms")
		defer s.close()
		s.mustQuery("insert into kv values ('a', '1')")
		for range 200 {
			is.Equal(s.readKey("a").code, "")
		}
		f.execHook = func(context.Context, *ownerrpc.ExecArgs) (fault, *ownerrpc.ExecReply) { return faultLoseRequest, nil }
		before := f.callCount("Owner.Exec")
		const statements = 200
		for range statements {
			is.Equal(s.readKey("a").outcome, "unknown")
		}
		// The retries are limited, for each of the three members, to a burst of ten
		// and one per second for 20 s.
		is.True(f.callCount("Owner.Exec")-before <= statements+3*10+3*20)
	})
}
