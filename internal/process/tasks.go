package process

import (
	"context"
	"sync"
)

// tasks runs the goroutines of a process and stops them together. The zero value
// is ready for use.
type tasks struct {
	once   sync.Once
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// start runs f in a goroutine; stop cancels its context.
func (t *tasks) start(f func(ctx context.Context)) {
	t.init()
	t.wg.Go(func() { f(t.ctx) })
}

// stop cancels the context of all goroutines and waits for them to return.
func (t *tasks) stop() {
	t.init()
	t.cancel()
	t.wg.Wait()
}

func (t *tasks) init() {
	t.once.Do(func() { t.ctx, t.cancel = context.WithCancel(context.Background()) })
}
