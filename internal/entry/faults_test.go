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

// bubble runs a test with a fake and an entry on synthetic time.
func bubble(t *testing.T, policyText string, test func(t *testing.T, is *is.I, f *fake, ent *entry.Entry)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake()
		ent := newEntry(f, policyText)
		defer ent.Close()
		test(t, is.New(t), f, ent)
	})
}

// onText returns an exec hook that injects the faults, one after another, into
// requests that contain the text.
func onText(text string, faults ...fault) func(context.Context, *ownerrpc.ExecArgs) (fault, *ownerrpc.ExecReply) {
	return func(_ context.Context, args *ownerrpc.ExecArgs) (fault, *ownerrpc.ExecReply) {
		if len(faults) == 0 || !strings.Contains(string(args.Messages), text) {
			return faultNone, nil
		}
		next := faults[0]
		faults = faults[1:]
		return next, nil
	}
}

// TestWriteFaults guards against a write that runs twice, against a write that
// is given up although it can be saved, and against a wrong stated outcome.
func TestWriteFaults(t *testing.T) {
	cases := []struct {
		name    string
		faults  []fault
		outcome string // "" is success
		runs    int
	}{
		{"refused once", []fault{faultRefuse}, "", 1},
		{"request lost", []fault{faultLoseAsk}, "", 1},
		{"answer lost", []fault{faultLoseAnswer}, "", 1},
		{"answer of another request", []fault{faultWrongID}, "", 1},
		{"arrives after the cancellation", []fault{faultLate}, "", 1},
		{"lost again and again", []fault{faultLoseAsk, faultLate, faultLoseAsk, faultLoseAnswer}, "", 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			bubble(t, "", func(t *testing.T, is *is.I, f *fake, ent *entry.Entry) {
				f.exec = onText("insert", c.faults...)
				d := open(t, ent)
				defer d.close()
				a := d.query("insert into kv values ('a', '1')")
				is.Equal(a.outcome, c.outcome)
				time.Sleep(time.Second)
				is.Equal(f.count("insert"), c.runs)
			})
		})
	}
}

// TestRestartedOwner guards against believing a restarted owner, which knows
// nothing of the statements before its start, that a statement did not run.
func TestRestartedOwner(t *testing.T) {
	bubble(t, "", func(t *testing.T, is *is.I, f *fake, ent *entry.Entry) {
		f.exec = onText("insert", faultLoseAnswer)
		f.incarnation = "2"
		d := open(t, ent)
		defer d.close()
		a := d.query("insert into kv values ('a', '1')")
		is.Equal(a.code, "08007")
		is.Equal(a.outcome, "unknown")
		is.Equal(a.status, byte('I'))
		is.Equal(f.count("insert"), 1)
	})
}

// TestErrorAfterLostAttempt guards against a false not_run: the answer of the
// first attempt is lost, the write takes effect, and the server refuses the
// second attempt, for example because the first one still holds the row lock.
func TestErrorAfterLostAttempt(t *testing.T) {
	for _, setting := range []string{"repeatable = on", "request_id = 'r1'"} {
		bubble(t, "", func(t *testing.T, is *is.I, f *fake, ent *entry.Entry) {
			var sent int
			f.incarnation = "2" // the owner knows nothing of the first attempt
			f.exec = func(_ context.Context, args *ownerrpc.ExecArgs) (fault, *ownerrpc.ExecReply) {
				sent++
				if sent == 1 {
					return faultLoseAnswer, nil
				}
				refusal, _ := (&pgproto3.ErrorResponse{Severity: "ERROR", Code: "55P03", Message: "lock timeout"}).Encode(nil)
				return faultNone, &ownerrpc.ExecReply{TxStatus: 'I', Messages: append(refusal, 'Z', 0, 0, 0, 5, 'I')}
			}
			d := open(t, ent)
			defer d.close()
			d.must("set arbutusring." + setting)
			a := d.query("insert into kv values ('a', '1')")
			is.True(sent > 1)
			is.Equal(a.code, "08007")
			is.Equal(a.outcome, "unknown")
			is.Equal(f.count("insert"), 1)
		})
	}
}

// TestUnreachableOwner guards against waiting beyond the deadline, and against
// an unknown outcome of a statement that was never sent.
func TestUnreachableOwner(t *testing.T) {
	bubble(t, "", func(t *testing.T, is *is.I, f *fake, ent *entry.Entry) {
		f.down["a0"] = true
		d := open(t, ent, "arbutusring.deadline", "700ms", "arbutusring.max_staleness", "0")
		defer d.close()
		start := time.Now()
		a := d.query("insert into kv values ('a', '1')")
		is.Equal(a.outcome, "not_run")
		is.True(time.Since(start) <= 700*time.Millisecond)
		is.Equal(f.count("insert"), 0)
		f.change(func() { f.down["a0"] = false })
		d.must("insert into kv values ('a', '2')")
	})
}

// TestReadFaults guards against a read that fails although another member can
// serve it, and against a replica that is asked to write a second time.
func TestReadFaults(t *testing.T) {
	bubble(t, "", func(t *testing.T, is *is.I, f *fake, ent *entry.Entry) {
		d := open(t, ent)
		defer d.close()
		d.must("insert into kv values ('a', '1')")
		f.exec = onText("select", faultLoseAsk, faultRefuse)
		is.Equal(d.read("a").values, []string{"1"})
		time.Sleep(time.Second) // the suspicions end
		f.exec = func(_ context.Context, args *ownerrpc.ExecArgs) (fault, *ownerrpc.ExecReply) {
			if args.Server != "s0" {
				return faultNone, &ownerrpc.ExecReply{Kind: errkind.ReadOnlyMember}
			}
			is.True(args.Write) // the owner has to wait for its commit
			return faultNone, nil
		}
		is.Equal(d.read("a").values, []string{"1"})
		f.exec = func(context.Context, *ownerrpc.ExecArgs) (fault, *ownerrpc.ExecReply) { return faultLoseAsk, nil }
		a := d.read("a")
		is.Equal(a.outcome, "unknown") // a lost read may have run
		d.must("set arbutusring.repeatable = off")
		f.exec = onText("select", faultLoseAnswer)
		before := f.count("select")
		is.Equal(d.read("a").values, []string{"1"})
		is.Equal(f.count("select"), before+1) // at most once
		f.exec = onText("select", faultLoseAsk, faultLate, faultLoseAsk, faultLoseAsk)
		is.Equal(d.read("a").values, []string{"1"}) // the owners confirm that it did not run
		time.Sleep(time.Second)
		is.Equal(f.count("select"), before+2)
	})
}

// TestReadOnlyTransactionThatWrites guards against a commit for which the owner
// does not wait, because it believes that the transaction is read-only.
func TestReadOnlyTransactionThatWrites(t *testing.T) {
	bubble(t, "[[policy]]\nname = \"p\"\nreplica_reads = false", func(t *testing.T, is *is.I, f *fake, ent *entry.Entry) {
		var writes []bool
		f.exec = func(_ context.Context, args *ownerrpc.ExecArgs) (fault, *ownerrpc.ExecReply) {
			writes = append(writes, args.Write)
			return faultNone, nil
		}
		d := open(t, ent)
		defer d.close()
		for _, sql := range []string{"begin read only", "select 1", "set transaction read write", "insert into kv values ('a', '1')", "commit"} {
			d.must(sql)
		}
		is.Equal(writes, []bool{false, false, true, true, false})
	})
}

// TestTransactionFaults guards against a lost transaction that is reported as
// committed, as unknown without need, or that makes the session unusable.
func TestTransactionFaults(t *testing.T) {
	cases := []struct {
		name   string
		text   string // the statement that fails
		what   fault
		forget bool // the owner restarts
		code   string
		status byte
	}{
		{"owner lost before the send", "insert", faultRefuse, true, "25P03", 'E'},
		{"owner lost after the send", "insert", faultLoseAnswer, true, "25P03", 'E'},
		{"owner lost before COMMIT", "commit", faultRefuse, true, "25P03", 'I'},
		{"owner lost between COMMIT and its answer", "commit", faultLoseAnswer, true, "08007", 'I'},
		{"owner lost between ROLLBACK and its answer", "rollback", faultLoseAnswer, true, "", 'I'},
		{"answer lost", "insert", faultLoseAnswer, false, "", 'T'},
		{"request lost", "insert", faultLoseAsk, false, "", 'T'},
		{"answer to COMMIT lost", "commit", faultLoseAnswer, false, "", 'I'},
		{"COMMIT lost", "commit", faultLoseAsk, false, "", 'I'},
		{"BEGIN lost", "begin", faultLoseAnswer, true, "25P03", 'I'},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			bubble(t, "", func(t *testing.T, is *is.I, f *fake, ent *entry.Entry) {
				injected := false
				f.exec = func(_ context.Context, args *ownerrpc.ExecArgs) (fault, *ownerrpc.ExecReply) {
					if !strings.Contains(string(args.Messages), c.text) || injected {
						return faultNone, nil
					}
					injected = true
					f.change(func() {
						f.down["a0"] = c.what == faultRefuse
						if c.forget {
							f.incarnation = "2"
						}
					})
					return c.what, nil
				}
				d := open(t, ent)
				defer d.close()
				var a answer
				for _, sql := range []string{"begin", "insert into kv values ('a', '1')"} {
					if a = d.query(sql); a.code != "" || c.text == "insert" && sql != "begin" {
						break
					}
				}
				if c.text == "commit" || c.text == "rollback" {
					a = d.query(c.text)
				}
				is.Equal(a.code, c.code)
				is.Equal(a.status, c.status)
				f.exec = nil
				if c.status == 'E' {
					is.Equal(d.query("select 1").code, "25P02")
					is.Equal(d.query("set arbutusring.rank = 'default'").code, "25P02")
					is.Equal(d.must("commit").kinds, "CZ")
				}
				if c.code != "" && c.code != "08007" {
					is.Equal(f.count("commit"), 0)
				}
				f.change(func() { f.down["a0"], f.incarnation = false, "" })
				time.Sleep(6 * time.Second)
				if c.status != 'T' {
					d.must("begin")
				}
				d.must("insert into kv values ('b', '2')")
				is.Equal(d.must("commit").status, byte('I'))
				is.Equal(d.read("b").values, []string{"2"})
			})
		})
	}
}

// TestOutcomesAreTrue guards against any error whose stated outcome differs
// from what ran, and against statements and transactions that run twice, under
// random faults of the owner and of its memory of outcomes.
func TestOutcomesAreTrue(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.IntRange(0, int(faultLate)), 1, 60).Draw(rt, "faults")
		forget := rapid.IntRange(0, 80).Draw(rt, "forget_at")
		steps := rapid.SliceOfN(rapid.SampledFrom([]string{"write", "tx", "read", "repeatable"}), 1, 8).Draw(rt, "steps")
		wrong := ""
		synctest.Test(t, func(t *testing.T) {
			f := newFake()
			ent := newEntry(f, "")
			defer ent.Close()
			n := 0
			f.exec = func(context.Context, *ownerrpc.ExecArgs) (fault, *ownerrpc.ExecReply) {
				f.mu.Lock()
				defer f.mu.Unlock()
				n++
				if n == forget {
					f.incarnation = "2"
				}
				if n > len(faults) {
					return faultNone, nil
				}
				return fault(faults[n-1]), nil
			}
			d := open(t, ent, "arbutusring.deadline", "800ms")
			defer d.close()
			for i, step := range steps {
				key := fmt.Sprintf("key%dx", i)
				sql := "insert into kv values ('" + key + "', '1')"
				var a answer
				limit := 1
				switch step {
				case "read":
					sql = "select v from kv where k = '" + key + "'"
					a = d.query(sql)
					limit = 1000 // repeatable
				case "repeatable":
					d.must("set arbutusring.repeatable = on")
					a = d.query(sql)
					d.must("set arbutusring.repeatable = default")
					limit = 1000
				case "write":
					a = d.query(sql)
				case "tx":
					if a = d.query("begin"); a.code == "" {
						if a = d.query(sql); a.code == "" {
							a = d.query("commit")
						}
					}
					if a.status != 'I' {
						d.must("rollback")
					}
				}
				time.Sleep(time.Second) // late requests arrive
				runs := f.count(key)
				if step == "tx" {
					runs = 0
					for _, kv := range f.log {
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

// TestRetryBudget guards against retries that multiply the load of owners that
// lose every answer.
func TestRetryBudget(t *testing.T) {
	bubble(t, "", func(t *testing.T, is *is.I, f *fake, ent *entry.Entry) {
		d := open(t, ent, "arbutusring.deadline", "100ms")
		defer d.close()
		d.must("insert into kv values ('a', '1')")
		for range 200 {
			is.Equal(d.read("a").code, "")
		}
		f.exec = func(context.Context, *ownerrpc.ExecArgs) (fault, *ownerrpc.ExecReply) { return faultLoseAsk, nil }
		before := f.called("Owner.Exec")
		const statements = 200
		for range statements {
			is.Equal(d.read("a").outcome, "unknown")
		}
		// Three bursts of ten and one in a second for each member on top.
		is.True(f.called("Owner.Exec")-before <= statements+3*10+3*20)
	})
}
