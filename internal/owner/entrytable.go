package owner

import (
	"sync"
	"time"
)

// entryRetention bounds the size of the table. It must be far above
// Limits.EntryTimeout.
const entryRetention = time.Minute

// entryTable records when each entry incarnation last sent a request.
type entryTable struct {
	mu          sync.Mutex
	lastContact map[string]time.Time
}

func newEntryTable() *entryTable { return &entryTable{lastContact: map[string]time.Time{}} }

func (t *entryTable) touch(entry string) {
	t.mu.Lock()
	t.lastContact[entry] = time.Now()
	t.mu.Unlock()
}

// timedOut reports whether the entry has sent no request for longer than
// limit.
func (t *entryTable) timedOut(entry string, limit time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Since(t.lastContact[entry]) > limit
}

func (t *entryTable) sweep() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for entry, at := range t.lastContact {
		if time.Since(at) > entryRetention {
			delete(t.lastContact, entry)
		}
	}
}
