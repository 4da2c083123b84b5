package caller

import "sync"

// keepIdleWorkers is the number of idle workers that stay for the next cycle;
// further ones end.
const keepIdleWorkers = 32

// workers is a pool of goroutines that work on connections in the order in
// which they were submitted. Workers are started on demand up to max.
type workers struct {
	mu     sync.Mutex
	wake   *sync.Cond
	queue  []*conn
	head   int
	idle   int
	total  int
	max    int
	closed bool
	done   sync.WaitGroup
}

func newWorkers(limit int) *workers {
	w := &workers{max: limit}
	w.wake = sync.NewCond(&w.mu)
	return w
}

// submit queues c. It never blocks. Submitting a connection that has nothing
// to do, or that another worker works on, is harmless. It returns false if
// the pool is closed.
func (w *workers) submit(c *conn) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return false
	}
	w.queue = append(w.queue, c)
	switch {
	case w.idle > 0:
		w.wake.Signal()
	case w.total < w.max:
		w.total++
		w.done.Add(1)
		go w.run()
	}
	return true
}

// crowded reports whether other connections wait for a worker.
func (w *workers) crowded() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.queue) > w.head
}

func (w *workers) run() {
	defer w.done.Done()
	for {
		c := w.next()
		if c == nil {
			return
		}
		c.work()
	}
}

// next returns the next connection, or nil when the worker should end.
func (w *workers) next() *conn {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.queue) == w.head {
		w.queue, w.head = w.queue[:0], 0
		if w.closed || w.idle >= keepIdleWorkers {
			w.total--
			return nil
		}
		w.idle++
		w.wake.Wait()
		w.idle--
	}
	c := w.queue[w.head]
	w.queue[w.head] = nil
	w.head++
	return c
}

// close lets the workers finish the queue and end, and waits for them.
func (w *workers) close() {
	w.mu.Lock()
	w.closed = true
	w.wake.Broadcast()
	w.mu.Unlock()
	w.done.Wait()
}
