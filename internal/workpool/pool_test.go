package workpool_test

import (
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/arbutusring/arbutusring/internal/workpool"
	"github.com/matryer/is"
)

// task blocks until its gate is closed.
type task struct {
	gate    chan struct{}
	started *atomic.Int64
}

func (t task) Work() {
	t.started.Add(1)
	<-t.gate
}

// TestBurstStartsEnoughWorkers guards against a task that waits behind a blocked
// one although more workers may be started: tasks that were submitted together
// were all left to the same idle worker.
func TestBurstStartsEnoughWorkers(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1)) // no worker runs between two submits
	for _, idle := range []int{0, 1, 3} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			pool := workpool.New[task](8)
			var started atomic.Int64
			run := func(n int) {
				gate := make(chan struct{})
				for range n {
					is.True(pool.Submit(task{gate, &started}))
				}
				synctest.Wait()
				close(gate)
				synctest.Wait()
			}
			run(idle) // leaves that many workers idle
			gate := make(chan struct{})
			started.Store(0)
			for range 6 {
				is.True(pool.Submit(task{gate, &started}))
			}
			synctest.Wait()
			is.Equal(started.Load(), int64(6)) // no task waits for another one
			close(gate)
			pool.Close()
		})
	}
}

// TestWorkerLimit guards against more workers than the limit, and against tasks
// that are lost when all workers are busy.
func TestWorkerLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		pool := workpool.New[task](3)
		var started atomic.Int64
		gate := make(chan struct{})
		var submits sync.WaitGroup
		for range 10 {
			submits.Go(func() { pool.Submit(task{gate, &started}) })
		}
		submits.Wait()
		synctest.Wait()
		is.Equal(started.Load(), int64(3)) // the limit
		close(gate)
		pool.Close()
		is.Equal(started.Load(), int64(10)) // every task ran
		is.True(!pool.Submit(task{gate, &started}))
	})
}
