package owner_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/internal/owner"
	"github.com/arbutusring/arbutusring/internal/ownerrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/matryer/is"
)

// TestDrainFinishesAcceptedWork guards against a drain that interrupts running
// or waiting cycles or open transactions, accepts new work, or returns early.
func TestDrainFinishesAcceptedWork(t *testing.T) {
	runTest(t, owner.Options{}, func(t *testing.T, r *harness) {
		is := is.New(t)
		r.begin(t, 1)
		r.server.set(func(f *fakeServer) { f.serviceTime, f.replicationLag = 50*time.Millisecond, 100*time.Millisecond })
		var accepted []<-chan ownerrpc.ExecReply
		for i := range 12 { // 3 run, 9 wait
			accepted = append(accepted, r.execAsync(r.writeArgs(uint64(10+i), fmt.Sprintf("INSERT %d", i))))
		}
		time.Sleep(time.Millisecond)
		short, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
		defer cancel()
		is.Equal(r.Drain(short), context.DeadlineExceeded) // returns when its context ends
		drained := make(chan time.Time, 1)
		go func() {
			if err := r.Drain(context.Background()); err != nil {
				t.Error(err)
			}
			drained <- time.Now()
		}()
		time.Sleep(time.Millisecond)
		is.Equal(r.exec(r.writeArgs(50, "INSERT new")).Kind, errkind.Draining)
		is.Equal(r.execInTx(1, "INSERT tx").Kind, errkind.OK)
		for _, reply := range accepted {
			is.Equal((<-reply).Kind, errkind.OK)
		}
		time.Sleep(500 * time.Millisecond)
		is.Equal(r.execInTx(1, "COMMIT").Kind, errkind.OK)
		committed := time.Now()
		is.True(!(<-drained).Before(committed))
		is.Equal(r.server.runCount("INSERT new"), 0)
	})
}

// TestDepartingServerGetsNoNewWork guards against sending new work to a draining
// server. A draining primary still accepts work for a limited time, so that its
// role can move first.
func TestDepartingServerGetsNoNewWork(t *testing.T) {
	for _, primary := range []bool{false, true} {
		t.Run(fmt.Sprintf("primary %v", primary), func(t *testing.T) {
			runTest(t, owner.Options{}, func(t *testing.T, r *harness) {
				is := is.New(t)
				r.grantLease(time.Hour, primary, 1)
				state := r.state
				state.Draining = map[string]bool{"s1": true}
				r.SetState(state, r.cfg)
				want := map[bool]errkind.Kind{false: errkind.Draining, true: errkind.OK}
				is.Equal(r.exec(r.readArgs(1, "SELECT 1")).Kind, want[primary])
				r.SetState(state, r.cfg) // a further state change does not restart the time limit
				time.Sleep(4 * time.Second)
				got := r.exec(r.readArgs(1, "SELECT 1"))
				is.Equal(got.Kind, errkind.Draining)
				is.True(got.Load.Draining)
				state.Draining = nil
				r.SetState(state, r.cfg)
				is.Equal(r.exec(r.readArgs(1, "SELECT 1")).Kind, errkind.OK)
			})
		})
	}
}

// TestUnresponsiveConnections guards against mistaking a dead connection for a
// dead server and vice versa, against cycles that stay blocked on connections that
// no longer answer, and against sending to a server that is known to be
// unreachable.
func TestUnresponsiveConnections(t *testing.T) {
	for _, tc := range []struct {
		name    string
		fault   func(f *fakeServer)
		suspect bool
	}{
		{"healthy", func(*fakeServer) {}, false},
		{"one connection silent", func(f *fakeServer) { f.unresponsiveUpTo = 1 }, false},
		{"all present connections silent", func(f *fakeServer) { f.unresponsiveUpTo = f.connsOpened }, false},
		{"new connections refused", func(f *fakeServer) { f.refuseConns = true }, false},
		{"all silent and refused", func(f *fakeServer) { f.refuseConns, f.unresponsiveUpTo = true, f.connsOpened }, true},
		{"new connections silent too", func(f *fakeServer) { f.unresponsiveUpTo = 1 << 30 }, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			runTest(t, owner.Options{}, func(t *testing.T, r *harness) {
				is := is.New(t)
				r.server.set(tc.fault)
				start := time.Now()
				stuck := r.execAsync(r.readArgs(1, "SELECT 1"))
				time.Sleep(400 * time.Millisecond)
				is.Equal(len(r.Suspects()), 0) // too early for every case
				time.Sleep(600 * time.Millisecond)
				is.Equal(len(r.Suspects()) == 1, tc.suspect)
				got := r.exec(r.writeArgs(2, "INSERT a"))
				if tc.suspect {
					is.Equal(got.Kind, errkind.ConnectFailed)
					r.server.set(func(f *fakeServer) { f.refuseConns, f.unresponsiveUpTo = false, f.connsOpened })
					time.Sleep(time.Second)
					is.Equal(len(r.Suspects()), 0)
					is.Equal(r.exec(r.writeArgs(2, "INSERT a")).Kind, errkind.OK)
				} else {
					is.Equal(got.Kind, errkind.OK)
					if (<-stuck).Kind != errkind.OK {
						is.True(time.Since(start) < 1200*time.Millisecond) // well before the deadline
					}
				}
			})
		})
	}
}

// TestLeaseOfUnknownServerWaitsForState guards against ignoring a lease whose
// server is missing from the state at first: the server must be served once a
// later state contains it.
func TestLeaseOfUnknownServerWaitsForState(t *testing.T) {
	runTest(t, owner.Options{}, func(t *testing.T, r *harness) {
		is := is.New(t)
		r.SetState(controlrpc.State{}, r.cfg)
		is.Equal(r.exec(r.readArgs(1, "SELECT 1")).Kind, errkind.NotOwner)
		r.SetState(r.state, r.cfg)
		is.Equal(r.exec(r.readArgs(1, "SELECT 1")).Kind, errkind.OK)
		is.Equal(len(r.Leases()), 1)
	})
}
