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

const ranks = `
[[traffic_rank]]
name = "urgent"
order = 0
[[traffic_rank]]
name = "bulk"
order = 1
default = true
`

// TestAttributes guards against attributes that are accepted with a wrong
// value, lost, or not shown.
func TestAttributes(t *testing.T) {
	bubble(t, ranks, func(t *testing.T, is *is.I, f *fake, ent *entry.Entry) {
		d := open(t, ent, "options", `-c arbutusring.rank=urgent --arbutusring.deadline=1500`, "arbutusring.max_staleness", "2s",
			"application_name", "x", "client_encoding", "UTF8")
		defer d.close()
		show := func(name string) string { return d.must("show arbutusring." + name).values[0] }
		is.Equal(show("rank"), "urgent")
		is.Equal(show("deadline"), "1.5s")
		is.Equal(show("max_staleness"), "2s")
		d.must("reset arbutusring.rank")
		is.Equal(show("rank"), "bulk")
		for _, bad := range []string{"rank = 'none'", "max_staleness = 'soon'", "max_staleness = '-1s'", "deadline = 0",
			"repeatable = maybe", "session_token = 'v1:orders:1/9:00000000'", "colour = red"} {
			a := d.query("set arbutusring." + bad)
			is.Equal(a.code, "08P01")
			is.Equal(a.outcome, "not_run")
			is.Equal(a.status, byte('I'))
		}
		other := logpos.Token{Group: "other", Position: logpos.Position{Term: 1, LSN: 1}}
		is.Equal(d.query("set arbutusring.session_token = '"+other.String()+"'").code, "08P01")
		a := d.must("insert into kv values ('a', '1')")
		is.Equal(show("session_token"), a.token)
		is.Equal(a.kinds, "CSZ") // the token comes before ReadyForQuery

		is.Equal(d.extended(&pgproto3.Parse{Query: "set arbutusring.rank = 'urgent'"}, &pgproto3.Describe{ObjectType: 'S'}, &pgproto3.Bind{}, &pgproto3.Execute{}).kinds, "1tn2CZ")
		is.Equal(d.extended(&pgproto3.Parse{Query: "show arbutusring.rank"}, &pgproto3.Bind{}, &pgproto3.Describe{ObjectType: 'P'}, &pgproto3.Execute{}).kinds, "12TDCZ")
		is.Equal(show("rank"), "urgent")
		is.Equal(d.query("set search_path = x").code, "0A000")
	})
}

// TestOpenRefused guards against sessions for unknown groups and against
// ignoring startup parameters that would change results.
func TestOpenRefused(t *testing.T) {
	bubble(t, "", func(t *testing.T, is *is.I, f *fake, ent *entry.Entry) {
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

// TestPrepared guards against statements that are lost when the session moves
// to another server, that stay after a failed Parse, or whose extra messages
// reach the caller.
func TestPrepared(t *testing.T) {
	bubble(t, "", func(t *testing.T, is *is.I, f *fake, ent *entry.Entry) {
		d := open(t, ent)
		defer d.close()
		const sql = "select v from kv where k = $1"
		bind := &pgproto3.Bind{PreparedStatement: "s", Parameters: [][]byte{[]byte("a")}}
		is.Equal(d.extended(&pgproto3.Parse{Name: "s", Query: sql}, &pgproto3.Describe{ObjectType: 'S', Name: "s"}).kinds, "1tTZ")
		for _, down := range []string{"a0", "a1", "a2"} {
			f.change(func() { f.down = map[string]bool{down: true} })
			is.Equal(d.extended(bind, &pgproto3.Execute{}).kinds, "2DCZ")
			is.Equal(d.extended(&pgproto3.Describe{ObjectType: 'S', Name: "s"}).kinds, "tTZ")
		}
		is.Equal(d.extended(&pgproto3.Parse{Name: "bad", Query: "bad_syntax"}).code, "42601")
		is.Equal(d.extended(&pgproto3.Bind{PreparedStatement: "bad"}, &pgproto3.Execute{}).code, "26000")
		is.Equal(d.extended(&pgproto3.Parse{Name: "s", Query: sql}).code, "42P05")
		is.Equal(d.extended(&pgproto3.Execute{Portal: "p"}).code, "34000")
		two := d.extended(bind, &pgproto3.Execute{}, &pgproto3.Parse{Name: "w", Query: "insert into kv values ($1, $2)"}, bind, &pgproto3.Execute{})
		is.Equal(two.kinds, "2DC12DCZ")
		is.Equal(d.extended(&pgproto3.Close{ObjectType: 'S', Name: "s"}).kinds, "3Z")
		is.Equal(d.extended(bind, &pgproto3.Execute{}).code, "26000")
		is.Equal(d.extended(&pgproto3.Parse{Name: "t", Query: "create temp table t ()"}).code, "0A000")
		is.True(d.run(caller.Cycle{Kind: caller.KindExtended, Messages: []byte("B\x00\x00\x00\x05xS\x00\x00\x00\x04")}).closed)

		flush := func(messages ...pgproto3.FrontendMessage) answer {
			return d.run(caller.Cycle{Kind: caller.KindFlush, Messages: frontend(messages...)})
		}
		is.Equal(flush(&pgproto3.Parse{Query: sql}, &pgproto3.Describe{ObjectType: 'S'}).kinds, "1tT")
		is.Equal(d.extended(&pgproto3.Bind{Parameters: [][]byte{[]byte("a")}}, &pgproto3.Execute{}).kinds, "2DCZ")
		is.Equal(flush(&pgproto3.Bind{PreparedStatement: "w"}, &pgproto3.Execute{}).code, "0A000")
	})
}

// TestRequestID guards against a request_id that is applied to another
// statement, or to a transaction whose parts the owner cannot bind together.
func TestRequestID(t *testing.T) {
	bubble(t, "", func(t *testing.T, is *is.I, f *fake, ent *entry.Entry) {
		var tokens []string
		f.exec = func(_ context.Context, args *ownerrpc.ExecArgs) (fault, *ownerrpc.ExecReply) {
			tokens = append(tokens, args.RequestToken)
			return faultNone, nil
		}
		d := open(t, ent)
		defer d.close()
		d.must("set arbutusring.request_id = 'r1'")
		is.Equal(d.extended(&pgproto3.Parse{Name: "w", Query: "insert into kv values ($1, $2)"}).code, "")
		is.Equal(d.extended(&pgproto3.Bind{PreparedStatement: "w", Parameters: [][]byte{[]byte("a"), []byte("1")}}, &pgproto3.Execute{}).code, "")
		d.must("insert into kv values ('b', '2')")
		is.Equal(tokens, []string{"", "r1", ""})
		d.must("set arbutusring.request_id = 'r2'")
		is.Equal(d.query("begin").code, "0A000")
		is.Equal(d.must("begin").status, byte('T'))
	})
}

// TestRefusalInTransaction guards against a transaction that goes on after a
// refused statement, or that stays open at its owner.
func TestRefusalInTransaction(t *testing.T) {
	bubble(t, "", func(t *testing.T, is *is.I, f *fake, ent *entry.Entry) {
		d := open(t, ent)
		d.must("begin")
		d.must("insert into kv values ('a', '1')")
		a := d.query("listen c")
		is.Equal(a.code, "0A000")
		is.Equal(a.status, byte('E'))
		is.Equal(d.must("commit").status, byte('I'))
		synctest.Wait()
		is.Equal(len(f.servers["s0"].txs), 0)
		is.Equal(len(f.log), 0)
		d.must("begin")
		d.close() // a caller that disconnects within a transaction
		synctest.Wait()
		is.Equal(len(f.servers["s0"].txs), 0)
	})
}

// TestLocalRefusal guards against asking owners whose queue is known to be
// full, and against refusing on knowledge that is no longer fresh.
func TestLocalRefusal(t *testing.T) {
	bubble(t, ranks, func(t *testing.T, is *is.I, f *fake, ent *entry.Entry) {
		f.exec = func(_ context.Context, args *ownerrpc.ExecArgs) (fault, *ownerrpc.ExecReply) {
			return faultNone, &ownerrpc.ExecReply{Kind: errkind.Overloaded, Load: ownerrpc.Load{Server: args.Server, Full: []string{"bulk"}}}
		}
		d := open(t, ent)
		defer d.close()
		is.Equal(d.read("a").code, "53000") // asks all three
		asked := f.called("Owner.Exec")
		is.Equal(asked, 3)
		for range 20 {
			a := d.read("a")
			is.Equal(a.code, "53000")
			is.Equal(a.outcome, "not_run")
			is.Equal(d.query("insert into kv values ('a', '1')").code, "53000")
		}
		is.Equal(f.called("Owner.Exec"), asked)
		f.exec = nil
		d.must("set arbutusring.rank = 'urgent'")
		is.Equal(d.read("a").code, "")
		d.must("set arbutusring.rank = 'bulk'")
		time.Sleep(150 * time.Millisecond)
		is.Equal(d.read("a").code, "")
	})
}

// TestConfigStale guards against taking new work without a confirmed state,
// and against cutting off open transactions.
func TestConfigStale(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, f := is.New(t), newFake()
		ent := entry.New(entry.Options{Host: controlrpc.Host{ID: "e"}, Owners: f.client()})
		defer ent.Close()
		is.True(!ent.Ready())
		ent.SetState(f.state(5), mustPolicy(""))
		is.True(!ent.Ready())
		ent.Confirmed(time.Now())
		is.True(ent.Ready())
		d, tx := open(t, ent), open(t, ent)
		defer d.close()
		defer tx.close()
		tx.must("begin")
		time.Sleep(3100 * time.Millisecond)
		ent.Confirmed(time.Now().Add(-3050 * time.Millisecond)) // the request was sent too long ago
		is.True(!ent.Ready())
		a := d.query("insert into kv values ('a', '1')")
		is.Equal(a.code, "57P03")
		is.Equal(a.outcome, "not_run")
		is.Equal(d.read("a").code, "57P03")
		tx.must("insert into kv values ('b', '1')")
		tx.must("commit")
		is.Equal(f.count("'a'"), 0)

		old := f.state(4)
		old.Groups = nil
		ent.SetState(old, mustPolicy("")) // an older state must not revert the newer one
		ent.Confirmed(time.Now())
		d.must("insert into kv values ('a', '1')")
	})
}

// TestHedge guards against waiting for a silent owner, and against hedges
// without a limit.
func TestHedge(t *testing.T) {
	bubble(t, "[[policy]]\nname = \"p\"\nhedge_after = \"20ms\"", func(t *testing.T, is *is.I, f *fake, ent *entry.Entry) {
		d := open(t, ent)
		defer d.close()
		d.must("insert into kv values ('a', '1')")
		f.exec = func(ctx context.Context, args *ownerrpc.ExecArgs) (fault, *ownerrpc.ExecReply) {
			if args.Server == "s1" {
				<-ctx.Done()
				return faultLoseAsk, nil
			}
			return faultNone, nil
		}
		for range 40 {
			begun := time.Now()
			is.Equal(d.read("a").values, []string{"1"})
			is.True(time.Since(begun) <= 20*time.Millisecond)
			time.Sleep(50 * time.Millisecond)
		}
		synctest.Wait()
		is.True(f.called("Owner.Cancel") > 0) // the losers are cancelled
		is.True(f.called("Owner.Cancel") < 10)
	})
}

// TestCancelCycle guards against a cancellation that does not reach the owner
// or the wait for a primary.
func TestCancelCycle(t *testing.T) {
	bubble(t, "", func(t *testing.T, is *is.I, f *fake, ent *entry.Entry) {
		d := open(t, ent)
		defer d.close()
		var id ownerrpc.RequestID
		f.exec = func(_ context.Context, args *ownerrpc.ExecArgs) (fault, *ownerrpc.ExecReply) {
			id = args.ID
			time.Sleep(200 * time.Millisecond) // in the queue of the owner
			return faultNone, nil
		}
		done := make(chan answer)
		go func() { done <- d.query("insert into kv values ('a', '1')") }()
		time.Sleep(50 * time.Millisecond)
		d.h.Cancel(t.Context(), d.sess)
		a := <-done
		is.Equal(a.code, "57014")
		is.Equal(a.outcome, "not_run")
		is.True(f.servers["s0"].refused[id])
		is.Equal(f.count("insert"), 0)

		st := f.state(2)
		g := st.Groups[groupName]
		g.Phase, g.Primary = controlrpc.PhaseFencing, ""
		st.Groups[groupName] = g
		ent.SetState(st, mustPolicy(""))
		go func() { done <- d.query("insert into kv values ('a', '1')") }()
		time.Sleep(50 * time.Millisecond)
		d.h.Cancel(t.Context(), d.sess)
		a = <-done
		is.Equal(a.outcome, "not_run")
		go func() { done <- d.query("insert into kv values ('a', '2')") }()
		time.Sleep(time.Second)
		f.exec = nil
		ent.SetState(f.state(3), mustPolicy("")) // the failover is over
		is.Equal((<-done).code, "")
	})
}

// TestSuspicion guards against new work for a member that just failed, and
// against avoiding it for ever.
func TestSuspicion(t *testing.T) {
	bubble(t, "", func(t *testing.T, is *is.I, f *fake, ent *entry.Entry) {
		d := open(t, ent)
		defer d.close()
		f.change(func() { f.down["a1"] = true })
		for range 200 {
			is.Equal(d.read("a").code, "")
			time.Sleep(5 * time.Millisecond)
		}
		is.Equal(f.reads("s1"), 0)
		is.True(f.reads("s2") > 190)
		f.change(func() { f.down["a1"] = false })
		time.Sleep(5 * time.Second)
		for range 200 {
			is.Equal(d.read("a").code, "")
		}
		is.True(f.reads("s1") > 50)
	})
}

// TestDrain guards against a shutdown that does not wait for sessions, against
// new sessions during it, and against a dump in another form than snake_case.
func TestDrain(t *testing.T) {
	bubble(t, "", func(t *testing.T, is *is.I, f *fake, ent *entry.Entry) {
		d := open(t, ent)
		d.must("begin")
		done := make(chan error)
		go func() { done <- ent.Drain(context.Background()) }()
		synctest.Wait()
		is.True(!ent.Ready())
		_, err := ent.Handler().Open(t.Context(), caller.Startup{Parameters: map[string]string{"database": groupName}})
		is.Equal(errkind.Of(err), errkind.Draining)
		d.must("insert into kv values ('a', '1')")
		d.must("commit")
		text, err := json.Marshal(ent.Dump())
		is.NoErr(err)
		is.True(strings.Contains(string(text), `"state_version":1`) && strings.ToLower(string(text)) == string(text))
		d.close()
		is.NoErr(<-done)
	})
}
