package entry_test

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/arbutusring/arbutusring/internal/caller"
	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/internal/entry"
	"github.com/arbutusring/arbutusring/internal/ownerrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/logpos"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"
)

const rankPolicy = `
[[traffic_rank]]
name = "urgent"
order = 0
[[traffic_rank]]
name = "bulk"
order = 1
default = true
`

// TestAttributes guards against attributes that are accepted with an invalid
// value, are lost, or are not shown.
func TestAttributes(t *testing.T) {
	runInBubble(t, rankPolicy, func(t *testing.T, is *is.I, f *fakeGroup, ent *entry.Entry) {
		s := openSession(t, ent, "options", `-c arbutusring.rank=urgent --arbutusring.deadline=1500`, "arbutusring.max_staleness", "2s",
			"application_name", "x", "client_encoding", "UTF8")
		defer s.close()
		show := func(name string) string { return s.mustQuery("show arbutusring." + name).values[0] }
		is.Equal(show("rank"), "urgent")
		is.Equal(show("deadline"), "1.5s")
		is.Equal(show("max_staleness"), "2s")
		s.mustQuery("reset arbutusring.rank")
		is.Equal(show("rank"), "bulk")
		for _, bad := range []string{"rank = 'none'", "max_staleness = 'soon'", "max_staleness = '-1s'", "deadline = 0",
			"repeatable = maybe", "session_token = 'v1:orders:1/9:00000000'", "colour = red"} {
			a := s.query("set arbutusring." + bad)
			is.Equal(a.code, "08P01")
			is.Equal(a.outcome, "not_run")
			is.Equal(a.status, byte('I'))
		}
		other := logpos.Token{Group: "other", Position: logpos.Position{Term: 1, LSN: 1}}
		is.Equal(s.query("set arbutusring.session_token = '"+other.String()+"'").code, "08P01")
		a := s.mustQuery("insert into kv values ('a', '1')")
		is.Equal(show("session_token"), a.token)
		is.Equal(a.kinds, "CSZ") // the token comes before ReadyForQuery

		is.Equal(s.extended(&pgproto3.Parse{Query: "set arbutusring.rank = 'urgent'"}, &pgproto3.Describe{ObjectType: 'S'}, &pgproto3.Bind{}, &pgproto3.Execute{}).kinds, "1tn2CZ")
		is.Equal(s.extended(&pgproto3.Parse{Query: "show arbutusring.rank"}, &pgproto3.Bind{}, &pgproto3.Describe{ObjectType: 'P'}, &pgproto3.Execute{}).kinds, "12TDCZ")
		is.Equal(show("rank"), "urgent")
		is.Equal(s.query("set search_path = x").code, "0A000")
	})
}

// TestOpenRefused guards against sessions for unknown groups, and against startup
// parameters that are ignored although they would change results.
func TestOpenRefused(t *testing.T) {
	runInBubble(t, "", func(t *testing.T, is *is.I, f *fakeGroup, ent *entry.Entry) {
		for params, want := range map[[2]string]errkind.Kind{
			{"database", "nothing"}:              errkind.UnknownGroup,
			{"search_path", "x"}:                 errkind.Unsupported,
			{"options", "-c TimeZone=Asia/Oral"}: errkind.Unsupported,
			{"arbutusring.rank", "none"}:         errkind.BadRequest,
			{"options", "-x"}:                    errkind.BadRequest,
		} {
			st := caller.Startup{Parameters: map[string]string{"user": "u", "database": groupName}}
			st.Parameters[params[0]] = params[1]
			_, err := ent.Handler().Open(t.Context(), st)
			is.Equal(errkind.Of(err), want)
		}
	})
}

// TestPrepared guards against prepared statements that are lost when the session
// moves to another server or that remain after a failed Parse, and against answers
// to inserted Parse messages that reach the caller.
func TestPrepared(t *testing.T) {
	runInBubble(t, "", func(t *testing.T, is *is.I, f *fakeGroup, ent *entry.Entry) {
		s := openSession(t, ent)
		defer s.close()
		const sql = "select v from kv where k = $1"
		bind := &pgproto3.Bind{PreparedStatement: "s", Parameters: [][]byte{[]byte("a")}}
		is.Equal(s.extended(&pgproto3.Parse{Name: "s", Query: sql}, &pgproto3.Describe{ObjectType: 'S', Name: "s"}).kinds, "1tTZ")
		for _, down := range []string{"a0", "a1", "a2"} {
			f.update(func() { f.down = map[string]bool{down: true} })
			is.Equal(s.extended(bind, &pgproto3.Execute{}).kinds, "2DCZ")
			is.Equal(s.extended(&pgproto3.Describe{ObjectType: 'S', Name: "s"}).kinds, "tTZ")
		}
		is.Equal(s.extended(&pgproto3.Parse{Name: "bad", Query: "bad_syntax"}).code, "42601")
		is.Equal(s.extended(&pgproto3.Bind{PreparedStatement: "bad"}, &pgproto3.Execute{}).code, "26000")
		is.Equal(s.extended(&pgproto3.Parse{Name: "s", Query: sql}).code, "42P05")
		is.Equal(s.extended(&pgproto3.Execute{Portal: "p"}).code, "34000")
		two := s.extended(bind, &pgproto3.Execute{}, &pgproto3.Parse{Name: "w", Query: "insert into kv values ($1, $2)"}, bind, &pgproto3.Execute{})
		is.Equal(two.kinds, "2DC12DCZ")
		is.Equal(s.extended(&pgproto3.Close{ObjectType: 'S', Name: "s"}).kinds, "3Z")
		is.Equal(s.extended(bind, &pgproto3.Execute{}).code, "26000")
		is.Equal(s.extended(&pgproto3.Parse{Name: "t", Query: "create temp table t ()"}).code, "0A000")
		is.True(s.run(caller.Cycle{Kind: caller.KindExtended, Messages: []byte("B\x00\x00\x00\x05xS\x00\x00\x00\x04")}).closed)

		flush := func(messages ...pgproto3.FrontendMessage) decodedAnswer {
			return s.run(caller.Cycle{Kind: caller.KindFlush, Messages: encodeMessages(messages...)})
		}
		is.Equal(flush(&pgproto3.Parse{Query: sql}, &pgproto3.Describe{ObjectType: 'S'}).kinds, "1tT")
		is.Equal(s.extended(&pgproto3.Bind{Parameters: [][]byte{[]byte("a")}}, &pgproto3.Execute{}).kinds, "2DCZ")
		is.Equal(flush(&pgproto3.Bind{PreparedStatement: "w"}, &pgproto3.Execute{}).code, "0A000")
	})
}

// TestRequestID guards against a request_id that is applied to the wrong statement,
// or to a transaction block, whose cycles the owner can't deduplicate as a whole.
func TestRequestID(t *testing.T) {
	runInBubble(t, "", func(t *testing.T, is *is.I, f *fakeGroup, ent *entry.Entry) {
		var tokens []string
		f.execHook = func(_ context.Context, args *ownerrpc.ExecArgs) (fault, *ownerrpc.ExecReply) {
			tokens = append(tokens, args.RequestToken)
			return faultNone, nil
		}
		s := openSession(t, ent)
		defer s.close()
		s.mustQuery("set arbutusring.request_id = 'r1'")
		is.Equal(s.extended(&pgproto3.Parse{Name: "w", Query: "insert into kv values ($1, $2)"}).code, "")
		is.Equal(s.extended(&pgproto3.Bind{PreparedStatement: "w", Parameters: [][]byte{[]byte("a"), []byte("1")}}, &pgproto3.Execute{}).code, "")
		s.mustQuery("insert into kv values ('b', '2')")
		is.Equal(tokens, []string{"", "r1", ""})
		s.mustQuery("set arbutusring.request_id = 'r2'")
		is.Equal(s.query("begin").code, "0A000")
		is.Equal(s.mustQuery("begin").status, byte('T'))
	})
}

// TestRefusalAbortsTransaction guards against a transaction that continues after a
// refused statement, or that stays open at its owner.
func TestRefusalAbortsTransaction(t *testing.T) {
	runInBubble(t, "", func(t *testing.T, is *is.I, f *fakeGroup, ent *entry.Entry) {
		s := openSession(t, ent)
		s.mustQuery("begin")
		s.mustQuery("insert into kv values ('a', '1')")
		a := s.query("listen c")
		is.Equal(a.code, "0A000")
		is.Equal(a.status, byte('E'))
		is.Equal(s.mustQuery("commit").status, byte('I'))
		synctest.Wait()
		is.Equal(len(f.servers["s0"].txs), 0)
		is.Equal(len(f.committed), 0)
		s.mustQuery("begin")
		s.close() // a caller that disconnects within a transaction
		synctest.Wait()
		is.Equal(len(f.servers["s0"].txs), 0)
	})
}

// TestLocalRefusal guards against requests to owners whose queue is known to be
// full, and against refusals based on an outdated report.
func TestLocalRefusal(t *testing.T) {
	runInBubble(t, rankPolicy, func(t *testing.T, is *is.I, f *fakeGroup, ent *entry.Entry) {
		f.execHook = func(_ context.Context, args *ownerrpc.ExecArgs) (fault, *ownerrpc.ExecReply) {
			return faultNone, &ownerrpc.ExecReply{Kind: errkind.Overloaded, Load: ownerrpc.Load{Server: args.Server, Full: []string{"bulk"}}}
		}
		s := openSession(t, ent)
		defer s.close()
		is.Equal(s.readKey("a").code, "53000") // tries all three members
		sent := f.callCount("Owner.Exec")
		is.Equal(sent, 3)
		for range 20 {
			a := s.readKey("a")
			is.Equal(a.code, "53000")
			is.Equal(a.outcome, "not_run")
			is.Equal(s.query("insert into kv values ('a', '1')").code, "53000")
		}
		is.Equal(f.callCount("Owner.Exec"), sent)
		f.execHook = nil
		s.mustQuery("set arbutusring.rank = 'urgent'")
		is.Equal(s.readKey("a").code, "")
		s.mustQuery("set arbutusring.rank = 'bulk'")
		time.Sleep(150 * time.Millisecond)
		is.Equal(s.readKey("a").code, "")
	})
}

// TestConfigStale guards against new work that is accepted without a recently
// confirmed state, and against refused statements of open transactions.
func TestConfigStale(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, f := is.New(t), newFake()
		ent := entry.New(entry.Options{Host: controlrpc.Host{ID: "e"}, Owners: f.client()})
		defer ent.Close()
		is.True(!ent.Ready())
		ent.SetState(f.state(5), parsePolicy(""))
		is.True(!ent.Ready())
		ent.RecordConfirmation(time.Now())
		is.True(ent.Ready())
		s, tx := openSession(t, ent), openSession(t, ent)
		defer s.close()
		defer tx.close()
		tx.mustQuery("begin")
		time.Sleep(3100 * time.Millisecond)
		ent.RecordConfirmation(time.Now().Add(-3050 * time.Millisecond)) // the confirmed request was sent too long ago
		is.True(!ent.Ready())
		a := s.query("insert into kv values ('a', '1')")
		is.Equal(a.code, "57P03")
		is.Equal(a.outcome, "not_run")
		is.Equal(s.readKey("a").code, "57P03")
		tx.mustQuery("insert into kv values ('b', '1')")
		tx.mustQuery("commit")
		is.Equal(f.executionCount("'a'"), 0)

		old := f.state(4)
		old.Groups = nil
		ent.SetState(old, parsePolicy("")) // an older state must not revert the newer one
		ent.RecordConfirmation(time.Now())
		s.mustQuery("insert into kv values ('a', '1')")
	})
}

// TestHedge guards against a read that waits for an unresponsive owner longer than
// the hedge delay, and against hedges without a limit.
func TestHedge(t *testing.T) {
	runInBubble(t, "[[policy]]\nname = \"p\"\nhedge_after = \"20ms\"", func(t *testing.T, is *is.I, f *fakeGroup, ent *entry.Entry) {
		s := openSession(t, ent)
		defer s.close()
		s.mustQuery("insert into kv values ('a', '1')")
		f.execHook = func(ctx context.Context, args *ownerrpc.ExecArgs) (fault, *ownerrpc.ExecReply) {
			if args.Server == "s1" {
				<-ctx.Done()
				return faultLoseRequest, nil
			}
			return faultNone, nil
		}
		for range 40 {
			start := time.Now()
			is.Equal(s.readKey("a").values, []string{"1"})
			is.True(time.Since(start) <= 20*time.Millisecond)
			time.Sleep(50 * time.Millisecond)
		}
		synctest.Wait()
		is.True(f.callCount("Owner.Cancel") > 0) // the slower attempts are cancelled
		is.True(f.callCount("Owner.Cancel") < 10)
	})
}

// TestCancelCycle guards against a cancellation that doesn't reach the owner, or
// that doesn't end the wait for a primary.
func TestCancelCycle(t *testing.T) {
	runInBubble(t, "", func(t *testing.T, is *is.I, f *fakeGroup, ent *entry.Entry) {
		s := openSession(t, ent)
		defer s.close()
		var id ownerrpc.RequestID
		f.execHook = func(_ context.Context, args *ownerrpc.ExecArgs) (fault, *ownerrpc.ExecReply) {
			id = args.ID
			time.Sleep(200 * time.Millisecond) // stands for the wait in the owner's queue
			return faultNone, nil
		}
		done := make(chan decodedAnswer)
		go func() { done <- s.query("insert into kv values ('a', '1')") }()
		time.Sleep(50 * time.Millisecond)
		s.handler.Cancel(t.Context(), s.session)
		a := <-done
		is.Equal(a.code, "57014")
		is.Equal(a.outcome, "not_run")
		is.True(f.servers["s0"].cancelled[id])
		is.Equal(f.executionCount("insert"), 0)

		st := f.state(2)
		g := st.Groups[groupName]
		g.Phase, g.Primary = controlrpc.PhaseFencing, ""
		st.Groups[groupName] = g
		ent.SetState(st, parsePolicy(""))
		go func() { done <- s.query("insert into kv values ('a', '1')") }()
		time.Sleep(50 * time.Millisecond)
		s.handler.Cancel(t.Context(), s.session)
		a = <-done
		is.Equal(a.outcome, "not_run")
		go func() { done <- s.query("insert into kv values ('a', '2')") }()
		time.Sleep(time.Second)
		f.execHook = nil
		ent.SetState(f.state(3), parsePolicy("")) // the failover is over
		is.Equal((<-done).code, "")
	})
}

// TestSuspectMember guards against reads that are sent to a member that just
// failed, and against a member that is avoided for ever.
func TestSuspectMember(t *testing.T) {
	runInBubble(t, "", func(t *testing.T, is *is.I, f *fakeGroup, ent *entry.Entry) {
		s := openSession(t, ent)
		defer s.close()
		f.update(func() { f.down["a1"] = true })
		for range 200 {
			is.Equal(s.readKey("a").code, "")
			time.Sleep(5 * time.Millisecond)
		}
		is.Equal(f.readCount("s1"), 0)
		is.True(f.readCount("s2") > 190)
		f.update(func() { f.down["a1"] = false })
		time.Sleep(5 * time.Second)
		for range 200 {
			is.Equal(s.readKey("a").code, "")
		}
		is.True(f.readCount("s1") > 50)
	})
}

// TestDrain guards against a drain that doesn't wait for open sessions or admits
// new ones, and against a dump whose keys are not in snake_case.
func TestDrain(t *testing.T) {
	runInBubble(t, "", func(t *testing.T, is *is.I, f *fakeGroup, ent *entry.Entry) {
		s := openSession(t, ent)
		s.mustQuery("begin")
		done := make(chan error)
		go func() { done <- ent.Drain(context.Background()) }()
		synctest.Wait()
		is.True(!ent.Ready())
		_, err := ent.Handler().Open(t.Context(), caller.Startup{Parameters: map[string]string{"database": groupName}})
		is.Equal(errkind.Of(err), errkind.Draining)
		s.mustQuery("insert into kv values ('a', '1')")
		s.mustQuery("commit")
		text, err := json.Marshal(ent.Dump())
		is.NoErr(err)
		is.True(strings.Contains(string(text), `"state_version":1`) && strings.ToLower(string(text)) == string(text))
		s.close()
		is.NoErr(<-done)
	})
}
