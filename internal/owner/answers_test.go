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

// TestAnswersBelongToTheirRequests guards against an answer that reaches
// another request, while deadlines cut cycles off, connections go silent and
// are replaced, and requests are sent twice.
func TestAnswersBelongToTheirRequests(t *testing.T) {
	t.Parallel()
	run(t, owner.Options{}, func(t *testing.T, r *harness) {
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
					a := r.read(session, sql)
					a.Budget = time.Millisecond + budget
					first := r.start(a)
					second := r.exec(a)
					for _, got := range []ownerrpc.ExecReply{<-first, second} {
						if got.ID != a.ID {
							t.Errorf("answer to %v came for %v", got.ID, a.ID)
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
				f.silentOld = f.conns - 2
				f.service = time.Duration(1+random.IntN(10)) * time.Millisecond
			})
		}
		for range sessions {
			if !<-done {
				t.Error("a session had no cycle answered")
			}
		}
		r.server.set(func(f *fakeServer) {
			if f.mostRun != 3 {
				t.Errorf("%d statements ran at one time, the server has 3 slots", f.mostRun)
			}
			if f.mostOpen > 8 { // 10 announced, 2 reserved for control
				t.Errorf("%d connections were open at one time", f.mostOpen)
			}
		})
	})
}
