package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to record.txt, with the seconds
// since the start of the script.
type recorder struct {
	started time.Time

	mu   sync.Mutex
	file *os.File
	w    *bufio.Writer
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{started: time.Now(), file: f, w: bufio.NewWriter(f)}, nil
}

// at returns a time as seconds since the start.
func (r *recorder) at(t time.Time) float64 { return t.Sub(r.started).Seconds() }

// note records one line.
func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%9.3f  %s\n", r.at(time.Now()), fmt.Sprintf(format, args...))
}

// say records one line and prints it.
func (r *recorder) say(format string, args ...any) {
	r.note(format, args...)
	fmt.Printf("%9.3f  %s\n", r.at(time.Now()), fmt.Sprintf(format, args...))
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.file.Close()
}
