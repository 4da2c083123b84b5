package owner

import (
	"sync"
	"time"
)

// entryForget is far above every EntrySilence; it only bounds the table.
const entryForget = time.Minute

// entryTable remembers when each entry incarnation was last heard.
type entryTable struct {
	mu    sync.Mutex
	heard map[string]time.Time
}

func newEntryTable() *entryTable { return &entryTable{heard: map[string]time.Time{}} }

func (t *entryTable) touch(entry string) {
	t.mu.Lock()
	t.heard[entry] = time.Now()
	t.mu.Unlock()
}

// silent reports whether the entry was not heard for longer than limit.
func (t *entryTable) silent(entry string, limit time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Since(t.heard[entry]) > limit
}

func (t *entryTable) sweep() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for entry, at := range t.heard {
		if time.Since(at) > entryForget {
			delete(t.heard, entry)
		}
	}
}
