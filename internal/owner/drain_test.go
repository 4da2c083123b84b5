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

// TestDrainCutsNothingOff guards against a planned stop that cuts off running
// or waiting cycles or transactions, takes new work, or returns early.
func TestDrainCutsNothingOff(t *testing.T) {
	run(t, owner.Options{}, func(t *testing.T, r *harness) {
		is := is.New(t)
		r.begin(t, 1)
		r.server.set(func(f *fakeServer) { f.service, f.lag = 50*time.Millisecond, 100*time.Millisecond })
		var taken []<-chan ownerrpc.ExecReply
		for i := range 12 { // 3 run, 9 wait
			taken = append(taken, r.start(r.args(uint64(10+i), fmt.Sprintf("INSERT %d", i))))
		}
		time.Sleep(time.Millisecond)
		short, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
		defer cancel()
		is.Equal(r.Drain(short), context.DeadlineExceeded) // it ends with its context
		drained := make(chan time.Time, 1)
		go func() {
			if err := r.Drain(context.Background()); err != nil {
				t.Error(err)
			}
			drained <- time.Now()
		}()
		time.Sleep(time.Millisecond)
		is.Equal(r.exec(r.args(50, "INSERT new")).Kind, errkind.Draining)
		is.Equal(r.inTx(1, "INSERT tx").Kind, errkind.OK)
		for _, reply := range taken {
			is.Equal((<-reply).Kind, errkind.OK)
		}
		time.Sleep(500 * time.Millisecond)
		is.Equal(r.inTx(1, "COMMIT").Kind, errkind.OK)
		committed := time.Now()
		is.True(!(<-drained).Before(committed))
		is.Equal(r.server.times("INSERT new"), 0)
	})
}

// TestDepartingServerGetsNoNewWork guards against work for a server that is
// leaving. A primary goes on for a bounded time, until its role has moved.
func TestDepartingServerGetsNoNewWork(t *testing.T) {
	for _, primary := range []bool{false, true} {
		t.Run(fmt.Sprintf("primary %v", primary), func(t *testing.T) {
			run(t, owner.Options{}, func(t *testing.T, r *harness) {
				is := is.New(t)
				r.lease(time.Hour, primary, 1)
				state := r.state
				state.Draining = map[string]bool{"s1": true}
				r.SetState(state, r.cfg)
				want := map[bool]errkind.Kind{false: errkind.Draining, true: errkind.OK}
				is.Equal(r.exec(r.read(1, "SELECT 1")).Kind, want[primary])
				r.SetState(state, r.cfg) // another change does not restart the time
				time.Sleep(4 * time.Second)
				got := r.exec(r.read(1, "SELECT 1"))
				is.Equal(got.Kind, errkind.Draining)
				is.True(got.Load.Draining)
				state.Draining = nil
				r.SetState(state, r.cfg)
				is.Equal(r.exec(r.read(1, "SELECT 1")).Kind, errkind.OK)
			})
		})
	}
}

// TestSilentConnections guards against taking a dead connection for a dead
// server and the other way round, against cycles that stay stuck on silent
// connections, and against sending to a server that is known to be gone.
func TestSilentConnections(t *testing.T) {
	for _, tc := range []struct {
		name    string
		fault   func(f *fakeServer)
		suspect bool
	}{
		{"healthy", func(*fakeServer) {}, false},
		{"one connection silent", func(f *fakeServer) { f.silentOld = 1 }, false},
		{"all present connections silent", func(f *fakeServer) { f.silentOld = f.conns }, false},
		{"new connections refused", func(f *fakeServer) { f.down = true }, false},
		{"all silent and refused", func(f *fakeServer) { f.down, f.silentOld = true, f.conns }, true},
		{"new connections silent too", func(f *fakeServer) { f.silentOld = 1 << 30 }, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			run(t, owner.Options{}, func(t *testing.T, r *harness) {
				is := is.New(t)
				r.server.set(tc.fault)
				start := time.Now()
				stuck := r.start(r.read(1, "SELECT 1"))
				time.Sleep(400 * time.Millisecond)
				is.Equal(len(r.Suspects()), 0) // too early for every case
				time.Sleep(600 * time.Millisecond)
				is.Equal(len(r.Suspects()) == 1, tc.suspect)
				got := r.exec(r.args(2, "INSERT a"))
				if tc.suspect {
					is.Equal(got.Kind, errkind.ConnectFailed)
					r.server.set(func(f *fakeServer) { f.down, f.silentOld = false, f.conns })
					time.Sleep(time.Second)
					is.Equal(len(r.Suspects()), 0)
					is.Equal(r.exec(r.args(2, "INSERT a")).Kind, errkind.OK)
				} else {
					is.Equal(got.Kind, errkind.OK)
					if (<-stuck).Kind != errkind.OK {
						is.True(time.Since(start) < 1200*time.Millisecond) // far before the deadline
					}
				}
			})
		})
	}
}

// TestLeaseOfUnknownServerWaitsForState guards against a lease that arrives
// before the state that describes its server, and against the reverse.
func TestLeaseOfUnknownServerWaitsForState(t *testing.T) {
	run(t, owner.Options{}, func(t *testing.T, r *harness) {
		is := is.New(t)
		r.SetState(controlrpc.State{}, r.cfg)
		is.Equal(r.exec(r.read(1, "SELECT 1")).Kind, errkind.NotOwner)
		r.SetState(r.state, r.cfg)
		is.Equal(r.exec(r.read(1, "SELECT 1")).Kind, errkind.OK)
		is.Equal(len(r.Leases()), 1)
	})
}
