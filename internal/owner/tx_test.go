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
	a := r.writeArgs(session, fmt.Sprintf("BEGIN --%d", session))
	a.Begin = true
	if got := r.exec(a); got.TxStatus != 'T' {
		t.Fatalf("BEGIN: %s %s", got.Kind, got.Detail)
	}
}

func (r *harness) execInTx(session uint64, sql string) ownerrpc.ExecReply {
	a := r.writeArgs(session, sql)
	a.InTx = true
	return r.exec(a)
}

// TestTransactionsAreIsolatedBySession guards against a statement running in the
// transaction of another session, also when a cycle opens a transaction without
// being marked as one that may.
func TestTransactionsAreIsolatedBySession(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		t.Run(fmt.Sprintf("mechanism off %v", disabled), func(t *testing.T) {
			runTest(t, owner.Options{Disabled: owner.Disabled{CleanReturn: disabled}}, func(t *testing.T, r *harness) {
				done := make(chan string)
				for i := range uint64(30) {
					go func() {
						a := r.writeArgs(i, fmt.Sprintf("BEGIN --%d", i))
						a.Begin = i%3 != 0
						got := r.exec(a)
						if !a.Begin { // the cycle opened a transaction without being marked
							done <- ""
							return
						}
						if got.TxStatus != 'T' {
							done <- fmt.Sprint(got.Kind, got.Detail)
							return
						}
						for range 3 {
							r.exec(r.readArgs(100+i, fmt.Sprintf("SELECT --%d", 100+i)))
							r.execInTx(i, fmt.Sprintf("INSERT --%d", i))
						}
						done <- string(r.execInTx(i, "COMMIT").Kind)
					}()
				}
				for range 30 {
					if fault := <-done; fault != "" {
						t.Error(fault)
					}
				}
				if r.server.sessionsMixed != disabled {
					t.Errorf("statements of different sessions were mixed: %v", r.server.sessionsMixed)
				}
			})
		})
	}
}

// TestTransactionRollback guards against a transaction that outlives its
// session, its entry, the lease or the primary role, and against rolling one
// back too early.
func TestTransactionRollback(t *testing.T) {
	for _, tc := range []struct {
		name     string
		event    func(r *harness)
		wantLost bool
	}{
		{"entry polls", func(r *harness) {
			for range 20 {
				time.Sleep(200 * time.Millisecond)
				r.pollStatus()
			}
		}, false},
		{"entry silent for less than the limit", func(*harness) { time.Sleep(1900 * time.Millisecond) }, false},
		{"entry silent", func(*harness) { time.Sleep(2100 * time.Millisecond) }, true},
		{"released", func(r *harness) { r.releaseSession(1) }, true},
		{"silent connection, found before the next cycle", func(r *harness) {
			r.server.set(func(f *fakeServer) { f.unresponsiveUpTo = f.connsOpened })
			time.Sleep(500 * time.Millisecond)
		}, true},
		{"other session released", func(r *harness) { r.releaseSession(2) }, false},
		{"lease expired", func(r *harness) {
			r.grantLease(time.Millisecond, true, 1)
			time.Sleep(60 * time.Millisecond)
			r.grantLease(time.Hour, true, 1)
		}, true},
		{"lease expired, later term", func(r *harness) {
			r.grantLease(time.Millisecond, true, 1)
			time.Sleep(2 * time.Millisecond)
			r.grantLease(time.Hour, true, 2)
		}, true},
		{"role lost, finishes in time", func(r *harness) { r.grantLease(time.Hour, false, 1) }, false},
		{"role lost, time passes", func(r *harness) {
			r.grantLease(50*time.Millisecond, true, 1)
			r.grantLease(time.Hour, false, 1)
			time.Sleep(100 * time.Millisecond)
		}, true},
		{"later term, revoked", func(r *harness) { r.grantLease(time.Hour, true, 2); r.revoke(0, 1) }, true},
		{"revoked", func(r *harness) { r.revoke(0, 1) }, true},
		{"idle", func(r *harness) {
			for range 200 {
				time.Sleep(200 * time.Millisecond)
				r.pollStatus()
			}
		}, true},
		{"drain time-out", func(r *harness) {
			go func() {
				for range 30 {
					time.Sleep(200 * time.Millisecond)
					r.exec(r.readArgs(7, "SELECT 1")) // refused, but prevents the entry timeout
				}
			}()
			if err := r.Drain(context.Background()); err != nil {
				panic(err)
			}
		}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runTest(t, owner.Options{}, func(t *testing.T, r *harness) {
				is := is.New(t)
				r.begin(t, 1)
				tc.event(r)
				got := r.execInTx(1, "INSERT a")
				if !tc.wantLost {
					is.Equal(got.Kind, errkind.OK)
					is.Equal(r.execInTx(1, "COMMIT").Kind, errkind.OK)
					return
				}
				is.Equal(got.Kind, errkind.TransactionLost)
				is.Equal(r.server.runCount("INSERT a"), 0)
				is.Equal(r.Dump().(owner.State).Servers[0].OpenTx, 0)
				time.Sleep(7 * time.Second)
			})
		})
	}
}

// TestReleaseDuringBegin guards against a transaction that opens after its
// session was released and would stay open.
func TestReleaseDuringBegin(t *testing.T) {
	runTest(t, owner.Options{}, func(t *testing.T, r *harness) {
		is := is.New(t)
		a := r.writeArgs(1, "BEGIN")
		a.Begin = true
		done := r.execAsync(a)
		time.Sleep(500 * time.Microsecond)
		r.releaseSession(1)
		is.Equal((<-done).Kind, errkind.TransactionLost)
		is.Equal(r.Dump().(owner.State).Servers[0].OpenTx, 0)
	})
}

// TestExpiredLeaseFreesConnections guards against keeping connections open
// without a lease: the next owner needs them within the server's connection
// limit.
func TestExpiredLeaseFreesConnections(t *testing.T) {
	runTest(t, owner.Options{}, func(t *testing.T, r *harness) {
		is := is.New(t)
		r.begin(t, 1)
		r.grantLease(10*time.Millisecond, true, 1)
		time.Sleep(500 * time.Millisecond)
		is.Equal(r.server.connections(), 0)
		r.grantLease(time.Hour, true, 1)
		time.Sleep(500 * time.Millisecond)
		is.Equal(r.exec(r.writeArgs(2, "INSERT a")).Kind, errkind.OK)
		r.withdrawLeases()
		time.Sleep(500 * time.Millisecond)
		is.Equal(r.server.connections(), 0)
	})
}

// TestTransactionsLeaveConnectionsForHigherRanks guards against open
// transactions of a low rank using the connections that higher ranks need. The
// server has 7 usable connections, 3 of them for the slots; bulk has two higher
// ranks.
func TestTransactionsLeaveConnectionsForHigherRanks(t *testing.T) {
	runTest(t, owner.Options{}, func(t *testing.T, r *harness) {
		is := is.New(t)
		open := func(session uint64, rank string) errkind.Kind {
			a := r.writeArgs(session, "BEGIN")
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
		is.Equal(r.exec(r.readArgs(8, "SELECT 1")).Kind, errkind.OK)
		is.Equal(r.execInTx(5, "COMMIT").Kind, errkind.OK)
		is.Equal(open(9, "urgent"), errkind.OK)
	})
}
