package limit

import (
	"container/list"
	"sync/atomic"
	"time"
)

// Member is what a Guard knows about one connection. The connection embeds it and tells
// it about messages and answers.
type Member struct {
	held     atomic.Int64 // bytes taken from the budget
	unsent   atomic.Int64 // bytes of answers that the caller has not taken
	begun    atomic.Int64 // start of the incomplete message or of the start-up; 0 if there is none
	progress atomic.Int64 // start of the session, or last progress of an unread answer
	flags    atomic.Uint32

	// Guarded by the lock of the Guard.
	listed bool          // unused is in the list of unused sessions
	used   bool          // a statement has run
	unused *list.Element // in the list of starting connections or of unused sessions
}

// The flags of a Member.
const (
	flagStarted = 1 << iota // the session has started
	flagClosing             // the guard is closing the connection
)

var processStart = time.Now()

// now returns the monotonic time in ns, which is never 0.
func now() int64 { return int64(time.Since(processStart)) + 1 }

// Incomplete tells whether the connection has an incomplete message.
func (m *Member) Incomplete(incomplete bool) {
	switch {
	case !m.Started():
	case !incomplete:
		if m.begun.Load() != 0 {
			m.begun.Store(0)
		}
	case m.begun.Load() == 0:
		m.begun.Store(now())
	}
}

// Open tells that the connection is set up; its start-up begins.
func (m *Member) Open() { m.begun.Store(now()) }

// Started reports whether the session has started.
func (m *Member) Started() bool { return m.flags.Load()&flagStarted != 0 }

// Unsent returns the number of answer bytes that the caller has not taken.
func (m *Member) Unsent() int64 { return m.unsent.Load() }

// AddUnsent changes the number of answer bytes that the caller has not taken, and
// returns it.
func (m *Member) AddUnsent(n int) int64 {
	left := m.unsent.Add(int64(n))
	if left > 0 {
		m.progress.Store(now())
	}
	return left
}

// Held returns the bytes that the connection holds.
func (m *Member) Held() int64 { return m.held.Load() }

// useless reports whether the connection holds memory without being able to use it, and
// since when.
func (m *Member) useless() (since int64, ok bool) {
	switch {
	case m.flags.Load()&flagClosing != 0:
		return 0, false
	case m.unsent.Load() > 0:
		return m.progress.Load(), true
	}
	since = m.begun.Load()
	return since, since != 0 && m.held.Load() > 0
}

// overdue returns the time limit that the connection has exceeded.
func (m *Member) overdue(l Limits, at int64) (Reason, bool) {
	begun := m.begun.Load()
	after := func(since int64, d time.Duration) bool { return d > 0 && since != 0 && at-since > int64(d) }
	switch {
	case !m.Started():
		return StartupTimeout, after(begun, l.StartupTimeout)
	case m.unsent.Load() > 0:
		return WriteTimeout, after(m.progress.Load(), l.WriteTimeout)
	}
	return MessageTimeout, after(begun, l.MessageTimeout)
}
