package process

import (
	"context"
	"sync"
)

// tasks are the goroutines of a process. The zero value is ready for use.
type tasks struct {
	once   sync.Once
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// start runs f until it returns; its context ends with stop.
func (t *tasks) start(f func(ctx context.Context)) {
	t.init()
	t.wg.Go(func() { f(t.ctx) })
}

// stop ends the context of all goroutines and waits for them.
func (t *tasks) stop() {
	t.init()
	t.cancel()
	t.wg.Wait()
}

func (t *tasks) init() {
	t.once.Do(func() { t.ctx, t.cancel = context.WithCancel(context.Background()) })
}
