package control

import (
	"context"
	"sync"
	"time"
)

// scanUntilEnd calls scan at once, after each change of the state, on each
// signal on wake and at every interval, until ctx ends. It then waits for the
// goroutines that scan has started in the group.
func scanUntilEnd(ctx context.Context, machine *Machine, wake <-chan struct{}, interval time.Duration, scan func(context.Context, *sync.WaitGroup)) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		changed := machine.Changed()
		scan(ctx, &wg)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-wake:
		case <-tick.C:
		}
	}
}
