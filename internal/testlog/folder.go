// Package testlog keeps the logs of the processes that a test has started if the test
// fails. The folder is outside of the test's temporary folder, which is removed also
// after a failure.
//
// # Usage
//
//	logs := testlog.New(t) // before the processes are started
//	events := eventlog.New(eventlog.Options{Output: logs.Writer("c1"), Host: "c1"})
package testlog

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// RootName is the name of the folder in os.TempDir that holds the folders of failed
// tests.
const RootName = "arbutusring-failures"

// Folder holds the logs of the processes of one run of a test, one file a process.
type Folder struct {
	t    testing.TB
	path string
	disk *diskWatch
}

// New creates the folder of a test. When the test and its later cleanups have ended,
// the folder is removed if the test has passed. Otherwise its path is logged, and the
// slowest sync of the disk meanwhile.
func New(t testing.TB) *Folder {
	t.Helper()
	root := filepath.Join(os.TempDir(), RootName)
	if err := os.MkdirAll(root, 0o755); err != nil {
		t.Fatal(err)
	}
	name := strings.NewReplacer("/", "_", " ", "_").Replace(t.Name())
	path, err := os.MkdirTemp(root, name+"-"+time.Now().UTC().Format("0102T150405")+"-*")
	if err != nil {
		t.Fatal(err)
	}
	f := &Folder{t: t, path: path, disk: startDiskWatch(path)}
	t.Cleanup(f.end)
	return f
}

// Path returns the path of the folder.
func (f *Folder) Path() string { return f.path }

// Writer returns the file that keeps the log of the named process, which several lives
// of the process share. It is closed before the folder ends.
func (f *Folder) Writer(process string) *os.File {
	f.t.Helper()
	name := filepath.Join(f.path, strings.ReplaceAll(process, "/", "_")+".log")
	w, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = w.Close() }) // the lines are kept only for reading
	return w
}

// Logger returns a logger that writes to the file of the named process.
func (f *Folder) Logger(process string) zerolog.Logger {
	return zerolog.New(f.Writer(process)).With().Timestamp().Str("host", process).Logger()
}

func (f *Folder) end() {
	slowest, at := f.disk.stop()
	if f.t.Failed() {
		f.t.Logf("the logs of the processes are kept in %s; the slowest sync of the disk took %s at %s", f.path, slowest, at.UTC().Format(time.RFC3339))
		return
	}
	if err := os.RemoveAll(f.path); err != nil {
		f.t.Errorf("removing the logs: %v", err)
	}
}
