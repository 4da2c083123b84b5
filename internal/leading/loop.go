// Package leading runs what a control host does while it leads the replicated
// log, one leadership after the other.
//
// # Usage
//
//	l := leading.New(func(ctx context.Context, term uint64) *leadership { ... }, (*leadership).run)
//	node, err := consensus.Start(consensus.Options{OnLeader: l.OnLeader, ...})
//	l.Start(node.ReadBarrier)
//	if lead := l.Current(); lead != nil { ... } // this host answers
//	l.Stop()
package leading

import (
	"context"
	"sync"
	"time"
)

const (
	// barrierLimit bounds one attempt to apply what earlier leaders committed.
	barrierLimit = time.Second
	// barrierPause is the pause between two attempts.
	barrierPause = 50 * time.Millisecond
)

// Loop serves leaderships. T is everything that belongs to one of them. Methods
// are safe for concurrent use.
type Loop[T any] struct {
	begin func(ctx context.Context, term uint64) *T
	run   func(*T)
	wake  chan struct{} // leading has changed

	mu      sync.Mutex
	leading bool
	term    uint64 // of the log, grows with each leadership
	current *T
	cancel  context.CancelFunc // ends loop
	done    chan struct{}      // loop has returned
}

// New returns a loop that does nothing until Start. begin returns a new
// leadership, whose ctx ends with it; run works until ctx ends.
func New[T any](begin func(ctx context.Context, term uint64) *T, run func(*T)) *Loop[T] {
	return &Loop[T]{begin: begin, run: run, wake: make(chan struct{}, 1)}
}

// OnLeader tells that this host became or stopped being the leader of the log.
// It does not block. A leadership that ends is not current any more at once.
func (l *Loop[T]) OnLeader(leading bool, term uint64) {
	l.mu.Lock()
	l.leading, l.term = leading, term
	l.current = nil
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Start begins to work in the background. barrier returns once everything that
// was committed before has been applied.
func (l *Loop[T]) Start(barrier func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cancel, l.done = cancel, make(chan struct{})
	go l.loop(ctx, barrier, l.done)
}

// Stop ends all work. ctx bounds the wait for it.
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

// Current returns the leadership of this host, nil if it has none.
func (l *Loop[T]) Current() *T {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current
}

func (l *Loop[T]) leads(term uint64) bool {
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
		l.await(ctx)
	}
}

func (l *Loop[T]) await(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-l.wake:
	}
}

// serve serves the leadership of one term of the log until it ends. Everything
// that earlier leaders committed is applied before the first answer.
func (l *Loop[T]) serve(ctx context.Context, barrier func(context.Context) error, term uint64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !l.pass(ctx, barrier, term) {
		return
	}
	lead := l.begin(ctx, term)
	l.mu.Lock()
	if !l.leading || l.term != term {
		l.mu.Unlock()
		return
	}
	l.current = lead
	l.mu.Unlock()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		l.run(lead)
	}()
	for l.leads(term) && ctx.Err() == nil {
		l.await(ctx)
	}
	l.mu.Lock()
	if l.current == lead {
		l.current = nil
	}
	l.mu.Unlock()
	cancel()
	<-ended
}

// pass repeats the barrier until it succeeds or the leadership ends.
func (l *Loop[T]) pass(ctx context.Context, barrier func(context.Context) error, term uint64) bool {
	for ctx.Err() == nil && l.leads(term) {
		call, cancel := context.WithTimeout(ctx, barrierLimit)
		err := barrier(call)
		cancel()
		if err == nil {
			return true
		}
		select {
		case <-ctx.Done():
		case <-time.After(barrierPause):
		}
	}
	return false
}
