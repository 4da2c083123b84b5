// Package workpool provides a pool of goroutines that work on connections. Most
// connections of a proxy are idle, so a goroutine per connection would waste
// memory.
//
// # Usage
//
//	pool := workpool.New[*conn](1000)
//	pool.Submit(c) // a worker calls c.Work
//	pool.Close()
package workpool

import "sync"

// maxIdleWorkers is the number of idle workers that wait for the next task;
// further ones exit.
const maxIdleWorkers = 32

// Task is something that has pending work from time to time, such as a connection.
type Task interface {
	// Work does the pending work. The pool may call it from several workers
	// concurrently.
	Work()
}

// Pool works on tasks in the order in which they were submitted. Workers are
// started on demand up to a limit. Methods are safe for concurrent use.
type Pool[T Task] struct {
	mu          sync.Mutex
	wake        *sync.Cond
	queue       []T
	head        int // index in queue of the next task
	idleWorkers int
	workers     int // running or idle
	maxWorkers  int
	closed      bool
	wg          sync.WaitGroup
}

// New returns a pool of at most limit workers.
func New[T Task](limit int) *Pool[T] {
	p := &Pool[T]{maxWorkers: limit}
	p.wake = sync.NewCond(&p.mu)
	return p
}

// Submit queues task and never blocks. It returns false if the pool is closed. A
// task may be submitted although it has no pending work or another worker is
// working on it.
func (p *Pool[T]) Submit(task T) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.queue = append(p.queue, task)
	// A signaled worker counts as idle until it runs, and then takes one task. If
	// more tasks are queued than workers are idle, another worker is needed,
	// because a task may block.
	switch {
	case len(p.queue)-p.head <= p.idleWorkers:
		p.wake.Signal()
	case p.workers < p.maxWorkers:
		p.workers++
		p.wg.Add(1)
		go p.run()
	}
	return true
}

// HasQueuedTasks reports whether queued tasks are waiting for a worker.
func (p *Pool[T]) HasQueuedTasks() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.queue) > p.head
}

func (p *Pool[T]) run() {
	defer p.wg.Done()
	for {
		task, ok := p.next()
		if !ok {
			return
		}
		task.Work()
	}
}

// next waits for a task and takes it from the queue. It returns false if the
// worker should exit.
func (p *Pool[T]) next() (T, bool) {
	var zero T
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.queue) == p.head {
		p.queue, p.head = p.queue[:0], 0
		if p.closed || p.idleWorkers >= maxIdleWorkers {
			p.workers--
			return zero, false
		}
		p.idleWorkers++
		p.wake.Wait()
		p.idleWorkers--
	}
	task := p.queue[p.head]
	p.queue[p.head] = zero
	p.head++
	return task, true
}

// Close waits until the workers have finished the queued tasks and exited. Later
// tasks are refused.
func (p *Pool[T]) Close() {
	p.mu.Lock()
	p.closed = true
	p.wake.Broadcast()
	p.mu.Unlock()
	p.wg.Wait()
}
