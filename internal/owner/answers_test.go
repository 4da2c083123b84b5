package owner_test

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/owner"
	"github.com/arbutusring/arbutusring/internal/ownerrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// TestAnswersMatchTheirRequests guards against delivering an answer to another
// request. Meanwhile cycles exceed their deadlines, connections stop answering
// and are replaced, and every request is sent twice.
func TestAnswersMatchTheirRequests(t *testing.T) {
	t.Parallel()
	runTest(t, owner.Options{}, func(t *testing.T, r *harness) {
		random := rand.New(rand.NewPCG(3, 4))
		done := make(chan bool)
		const sessions, cycles = 20, 30
		for session := range uint64(sessions) {
			budgets := make([]time.Duration, cycles)
			for i := range budgets {
				budgets[i] = time.Duration(random.IntN(60)) * time.Millisecond
			}
			go func() {
				answered := 0
				for i, budget := range budgets {
					sql := "SELECT " + strconv.Itoa(int(session)*cycles+i)
					a := r.readArgs(session, sql)
					a.Budget = time.Millisecond + budget
					first := r.execAsync(a)
					second := r.exec(a)
					for _, got := range []ownerrpc.ExecReply{<-first, second} {
						if got.ID != a.ID {
							t.Errorf("got the answer to %v for request %v", got.ID, a.ID)
						}
						if got.Kind == errkind.OK {
							answered++
							if !strings.Contains(string(got.Messages), sql+"C") {
								t.Errorf("%q was answered with %q", sql, got.Messages)
							}
						}
					}
				}
				done <- answered > 0
			}()
		}
		for range 10 {
			time.Sleep(20 * time.Millisecond)
			r.server.set(func(f *fakeServer) {
				f.unresponsiveUpTo = f.connsOpened - 2
				f.serviceTime = time.Duration(1+random.IntN(10)) * time.Millisecond
			})
		}
		for range sessions {
			if !<-done {
				t.Error("no cycle of a session was answered")
			}
		}
		r.server.set(func(f *fakeServer) {
			if f.maxRunning != 3 {
				t.Errorf("%d statements ran at the same time; want 3, the number of slots", f.maxRunning)
			}
			if f.maxOpen > 8 { // 10 announced, 2 reserved for control
				t.Errorf("%d connections were open at the same time; want at most 8", f.maxOpen)
			}
		})
	})
}
