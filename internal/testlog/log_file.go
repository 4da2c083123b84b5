package testlog

import (
	"os"
	"sync"
)

// logFile is the log of one process. Lines that a process writes after the test has
// ended are dropped.
type logFile struct {
	mu     sync.Mutex
	file   *os.File
	closed bool
}

func (l *logFile) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return len(p), nil
	}
	return l.file.Write(p)
}

func (l *logFile) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	_ = l.file.Close() // the lines are kept only for reading
}
