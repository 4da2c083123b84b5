package owner_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/owner"
	"github.com/arbutusring/arbutusring/internal/ownerrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/matryer/is"
)

// begin opens a read-write transaction of a session.
func (r *harness) begin(t *testing.T, session uint64) {
	t.Helper()
	a := r.args(session, fmt.Sprintf("BEGIN --%d", session))
	a.Begin = true
	if got := r.exec(a); got.TxStatus != 'T' {
		t.Fatalf("BEGIN: %s %s", got.Kind, got.Detail)
	}
}

func (r *harness) inTx(session uint64, sql string) ownerrpc.ExecReply {
	a := r.args(session, sql)
	a.InTx = true
	return r.exec(a)
}

// TestTransactionsAreNotMixed guards against a statement that runs in the
// transaction of another session, also when a cycle opens a transaction that
// nobody announced.
func TestTransactionsAreNotMixed(t *testing.T) {
	for _, off := range []bool{false, true} {
		t.Run(fmt.Sprintf("mechanism off %v", off), func(t *testing.T) {
			run(t, owner.Options{Disabled: owner.Disabled{CleanReturn: off}}, func(t *testing.T, r *harness) {
				done := make(chan string)
				for i := range uint64(30) {
					go func() {
						a := r.args(i, fmt.Sprintf("BEGIN --%d", i))
						a.Begin = i%3 != 0
						got := r.exec(a)
						if !a.Begin { // it opened a transaction without being marked
							done <- ""
							return
						}
						if got.TxStatus != 'T' {
							done <- fmt.Sprint(got.Kind, got.Detail)
							return
						}
						for range 3 {
							r.exec(r.read(100+i, fmt.Sprintf("SELECT --%d", 100+i)))
							r.inTx(i, fmt.Sprintf("INSERT --%d", i))
						}
						done <- string(r.inTx(i, "COMMIT").Kind)
					}()
				}
				for range 30 {
					if fault := <-done; fault != "" {
						t.Error(fault)
					}
				}
				if r.server.mixed != off {
					t.Errorf("statements of different sessions were mixed: %v", r.server.mixed)
				}
			})
		})
	}
}

// TestTransactionEnds guards against a transaction that outlives its session,
// its entry, the lease or the primary role, and against ending one too early.
func TestTransactionEnds(t *testing.T) {
	for _, tc := range []struct {
		name string
		act  func(r *harness)
		lost bool
	}{
		{"entry polls", func(r *harness) {
			for range 20 {
				time.Sleep(200 * time.Millisecond)
				r.poll()
			}
		}, false},
		{"entry silent for less than the limit", func(*harness) { time.Sleep(1900 * time.Millisecond) }, false},
		{"entry silent", func(*harness) { time.Sleep(2100 * time.Millisecond) }, true},
		{"released", func(r *harness) { r.releaseSession(1) }, true},
		{"silent connection, found before the next cycle", func(r *harness) {
			r.server.set(func(f *fakeServer) { f.silentOld = f.conns })
			time.Sleep(500 * time.Millisecond)
		}, true},
		{"other session released", func(r *harness) { r.releaseSession(2) }, false},
		{"lease expired", func(r *harness) {
			r.lease(time.Millisecond, true, 1)
			time.Sleep(60 * time.Millisecond)
			r.lease(time.Hour, true, 1)
		}, true},
		{"role lost, finishes in time", func(r *harness) { r.lease(time.Hour, false, 1) }, false},
		{"role lost, time passes", func(r *harness) {
			r.lease(50*time.Millisecond, true, 1)
			r.lease(time.Hour, false, 1)
			time.Sleep(100 * time.Millisecond)
		}, true},
		{"later term, revoked", func(r *harness) { r.lease(time.Hour, true, 2); r.revoke(0, 1) }, true},
		{"revoked", func(r *harness) { r.revoke(0, 1) }, true},
		{"idle", func(r *harness) {
			for range 200 {
				time.Sleep(200 * time.Millisecond)
				r.poll()
			}
		}, true},
		{"drain time-out", func(r *harness) {
			go func() {
				for range 30 {
					time.Sleep(200 * time.Millisecond)
					r.exec(r.read(7, "SELECT 1")) // keeps the entry heard; refused
				}
			}()
			if err := r.Drain(context.Background()); err != nil {
				panic(err)
			}
		}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			run(t, owner.Options{}, func(t *testing.T, r *harness) {
				is := is.New(t)
				r.begin(t, 1)
				tc.act(r)
				got := r.inTx(1, "INSERT a")
				if !tc.lost {
					is.Equal(got.Kind, errkind.OK)
					is.Equal(r.inTx(1, "COMMIT").Kind, errkind.OK)
					return
				}
				is.Equal(got.Kind, errkind.TransactionLost)
				is.Equal(r.server.times("INSERT a"), 0)
				is.Equal(r.Dump().(owner.State).Servers[0].OpenTx, 0)
				time.Sleep(7 * time.Second)
			})
		})
	}
}

// TestReleaseDuringBegin guards against a transaction that opens after its
// session was released, which nobody would end.
func TestReleaseDuringBegin(t *testing.T) {
	run(t, owner.Options{}, func(t *testing.T, r *harness) {
		is := is.New(t)
		a := r.args(1, "BEGIN")
		a.Begin = true
		done := r.start(a)
		time.Sleep(500 * time.Microsecond)
		r.releaseSession(1)
		is.Equal((<-done).Kind, errkind.TransactionLost)
		is.Equal(r.Dump().(owner.State).Servers[0].OpenTx, 0)
	})
}

// TestExpiredLeaseFreesConnections guards against keeping connections that
// the next owner needs within the server's limit.
func TestExpiredLeaseFreesConnections(t *testing.T) {
	run(t, owner.Options{}, func(t *testing.T, r *harness) {
		is := is.New(t)
		r.begin(t, 1)
		r.lease(10*time.Millisecond, true, 1)
		time.Sleep(500 * time.Millisecond)
		is.Equal(r.server.connections(), 0)
		r.lease(time.Hour, true, 1)
		time.Sleep(500 * time.Millisecond)
		is.Equal(r.exec(r.args(2, "INSERT a")).Kind, errkind.OK)
		r.unlist()
		time.Sleep(500 * time.Millisecond)
		is.Equal(r.server.connections(), 0)
	})
}

// TestTransactionsLeaveConnections guards against open transactions of a low
// rank taking the connections that higher ranks need. The server has 7 usable
// connections, of which 3 are for the slots; bulk has two higher ranks.
func TestTransactionsLeaveConnections(t *testing.T) {
	run(t, owner.Options{}, func(t *testing.T, r *harness) {
		is := is.New(t)
		open := func(session uint64, rank string) errkind.Kind {
			a := r.args(session, "BEGIN")
			a.Begin, a.Rank, a.Budget = true, rank, 50*time.Millisecond
			return r.exec(a).Kind
		}
		for i := range uint64(2) {
			is.Equal(open(i, "bulk"), errkind.OK)
		}
		is.Equal(open(4, "bulk"), errkind.Overloaded)
		is.Equal(open(5, "normal"), errkind.OK)
		is.Equal(open(6, "normal"), errkind.Overloaded)
		is.Equal(open(7, "urgent"), errkind.OK)
		is.Equal(r.exec(r.read(8, "SELECT 1")).Kind, errkind.OK)
		is.Equal(r.inTx(5, "COMMIT").Kind, errkind.OK)
		is.Equal(open(9, "urgent"), errkind.OK)
	})
}
