package control_test

import (
	"bytes"
	"testing"

	"github.com/arbutusring/arbutusring/internal/control"
	"github.com/arbutusring/arbutusring/internal/controlrpc"
)

// FuzzState guards against a log entry or snapshot that causes a panic, and against a
// state that changes when it is stored and loaded.
func FuzzState(f *testing.F) {
	m := control.NewMachine()
	entry := control.EncodeCommands(control.Command{Announce: &control.AnnounceServer{Server: controlrpc.Server{ID: "m1", Group: "g"}}})
	m.Apply(1, entry)
	f.Add(entry, m.Snapshot())
	f.Add([]byte("\xdd\xff\xff\xff\xff"), []byte("\x81"))
	f.Fuzz(func(t *testing.T, entry, snapshot []byte) {
		m := control.NewMachine()
		if m.Restore(snapshot) != nil {
			m = control.NewMachine()
		}
		m.Apply(1<<40, entry)
		stored := m.Snapshot()
		other := control.NewMachine()
		if err := other.Restore(stored); err != nil || !bytes.Equal(other.Snapshot(), stored) {
			t.Fatalf("the state differs after a restore: %v", err)
		}
	})
}
