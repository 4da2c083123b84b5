// Package leading runs the work of a control host that depends on being the
// leader of the replicated log, for one leadership after the other.
//
// # Usage
//
//	l := leading.New(func(ctx context.Context, term uint64) *leadership { ... }, (*leadership).run)
//	node, err := consensus.Start(consensus.Options{OnLeader: l.OnLeader, ...})
//	l.Start(node.ReadBarrier)
//	if leadership := l.Current(); leadership != nil { ... } // this host serves requests
//	err = l.Stop(ctx)
package leading

import (
	"context"
	"sync"
	"time"
)

const (
	// barrierTimeout bounds one call of the read barrier.
	barrierTimeout = time.Second
	// barrierRetryDelay is the time between two calls of the read barrier.
	barrierRetryDelay = 50 * time.Millisecond
)

// Loop runs leaderships one after the other. T is the state of one leadership.
// Methods are safe for concurrent use.
type Loop[T any] struct {
	begin func(ctx context.Context, term uint64) *T
	run   func(*T)
	wake  chan struct{} // signals a change of leading or term

	mu      sync.Mutex
	leading bool
	term    uint64 // of the log; increases with each leadership
	current *T
	cancel  context.CancelFunc // ends the loop goroutine
	done    chan struct{}      // closed when the loop goroutine has ended
}

// New returns a loop that does nothing until Start. begin returns the state of a
// new leadership, whose ctx is cancelled when the leadership ends; run must
// return once ctx has ended.
func New[T any](begin func(ctx context.Context, term uint64) *T, run func(*T)) *Loop[T] {
	return &Loop[T]{begin: begin, run: run, wake: make(chan struct{}, 1)}
}

// OnLeader records whether this host leads the log, and in which term. It does
// not block. After a change Current returns nil at once, until the new leadership
// is ready.
func (l *Loop[T]) OnLeader(leading bool, term uint64) {
	l.mu.Lock()
	if l.leading == leading && l.term == term {
		l.mu.Unlock()
		return
	}
	l.leading, l.term = leading, term
	l.current = nil
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Start starts the loop in the background. barrier returns nil once this host has
// applied every entry that was committed before the call.
func (l *Loop[T]) Start(barrier func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cancel, l.done = cancel, make(chan struct{})
	go l.loop(ctx, barrier, l.done)
}

// Stop ends the current leadership and the loop, and waits for them until ctx
// ends.
func (l *Loop[T]) Stop(ctx context.Context) error {
	l.mu.Lock()
	cancel, done := l.cancel, l.done
	l.mu.Unlock()
	if cancel == nil {
		return nil
	}
	cancel()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Current returns the current leadership of this host, or nil if there is none.
func (l *Loop[T]) Current() *T {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current
}

// isLeading reports whether this host still leads in the term.
func (l *Loop[T]) isLeading(term uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leading && l.term == term
}

// loop starts and ends leaderships until ctx ends.
func (l *Loop[T]) loop(ctx context.Context, barrier func(context.Context) error, done chan struct{}) {
	defer close(done)
	for ctx.Err() == nil {
		l.mu.Lock()
		leading, term := l.leading, l.term
		l.mu.Unlock()
		if leading {
			l.serve(ctx, barrier, term)
			continue
		}
		l.waitForChange(ctx)
	}
}

// waitForChange waits for the next call of OnLeader, or until ctx ends.
func (l *Loop[T]) waitForChange(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-l.wake:
	}
}

// serve runs the leadership of one term until it ends. It waits for the barrier
// first, so that everything that earlier leaders committed is applied before
// the leadership becomes current.
func (l *Loop[T]) serve(ctx context.Context, barrier func(context.Context) error, term uint64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !l.passBarrier(ctx, barrier, term) {
		return
	}
	leadership := l.begin(ctx, term)
	l.mu.Lock()
	if !l.leading || l.term != term {
		l.mu.Unlock()
		return
	}
	l.current = leadership
	l.mu.Unlock()
	runEnded := make(chan struct{})
	go func() {
		defer close(runEnded)
		l.run(leadership)
	}()
	for l.isLeading(term) && ctx.Err() == nil {
		l.waitForChange(ctx)
	}
	l.mu.Lock()
	if l.current == leadership {
		l.current = nil
	}
	l.mu.Unlock()
	cancel()
	<-runEnded
}

// passBarrier calls barrier until it succeeds, which it reports, or the
// leadership or ctx ends.
func (l *Loop[T]) passBarrier(ctx context.Context, barrier func(context.Context) error, term uint64) bool {
	for ctx.Err() == nil && l.isLeading(term) {
		call, cancel := context.WithTimeout(ctx, barrierTimeout)
		err := barrier(call)
		cancel()
		if err == nil {
			return true
		}
		select {
		case <-ctx.Done():
		case <-time.After(barrierRetryDelay):
		}
	}
	return false
}
