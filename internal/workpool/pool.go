// Package workpool is a pool of goroutines that work on connections. Most
// connections of a proxy are idle, so a goroutine for each would waste memory.
//
// # Usage
//
//	pool := workpool.New[*conn](1000)
//	pool.Submit(c) // a worker calls c.Work
//	pool.Close()
package workpool

import "sync"

// keepIdleWorkers is the number of idle workers that stay for the next task;
// further ones end.
const keepIdleWorkers = 32

// Task is something that has work from time to time, such as a connection.
type Task interface {
	// Work does what is due. The pool may call it from several workers at once.
	Work()
}

// Pool works on tasks in the order in which they were submitted. Workers are
// started on demand up to a limit. Methods are safe for concurrent use.
type Pool[T Task] struct {
	mu     sync.Mutex
	wake   *sync.Cond
	queue  []T
	head   int
	idle   int
	total  int
	max    int
	closed bool
	done   sync.WaitGroup
}

// New returns a pool of at most limit workers.
func New[T Task](limit int) *Pool[T] {
	w := &Pool[T]{max: limit}
	w.wake = sync.NewCond(&w.mu)
	return w
}

// Submit queues c. It never blocks. Submitting a task that has nothing
// to do, or that another worker works on, is harmless. It returns false if
// the pool is closed.
func (w *Pool[T]) Submit(c T) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return false
	}
	w.queue = append(w.queue, c)
	// An idle worker that was woken counts as idle until it runs, and takes one
	// task. Tasks beyond the idle workers need further ones: a task may block.
	switch {
	case len(w.queue)-w.head <= w.idle:
		w.wake.Signal()
	case w.total < w.max:
		w.total++
		w.done.Add(1)
		go w.run()
	}
	return true
}

// Crowded reports whether other tasks wait for a worker.
func (w *Pool[T]) Crowded() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.queue) > w.head
}

func (w *Pool[T]) run() {
	defer w.done.Done()
	for {
		c, ok := w.next()
		if !ok {
			return
		}
		c.Work()
	}
}

// next returns the next task, or false when the worker should end.
func (w *Pool[T]) next() (T, bool) {
	var none T
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.queue) == w.head {
		w.queue, w.head = w.queue[:0], 0
		if w.closed || w.idle >= keepIdleWorkers {
			w.total--
			return none, false
		}
		w.idle++
		w.wake.Wait()
		w.idle--
	}
	c := w.queue[w.head]
	w.queue[w.head] = none
	w.head++
	return c, true
}

// Close lets the workers finish the queue and end, and waits for them.
func (w *Pool[T]) Close() {
	w.mu.Lock()
	w.closed = true
	w.wake.Broadcast()
	w.mu.Unlock()
	w.done.Wait()
}
