package directory_test

import (
	"bytes"
	"testing"

	"github.com/arbutusring/arbutusring/internal/directory"
	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/internal/msgpack"
)

// FuzzState guards against a log entry or snapshot that causes a panic, and against a
// state that changes when it is stored and loaded.
func FuzzState(f *testing.F) {
	m := directory.NewMachine()
	for i, c := range []directory.Command{
		{Announce: &directory.PutServer{Server: directoryrpc.Server{ID: "i1", Group: "g", Slots: 3}}},
		{Control: &directory.PutControl{ID: "c1", DataCentre: "dc"}},
		{Remove: &directory.RemoveServer{ID: "i2"}},
	} {
		entry := directory.EncodeCommand(c)
		m.Apply(uint64(i+1), entry)
		f.Add(entry, m.Snapshot())
	}
	f.Add([]byte("\x81\xa1d\x80"), []byte("\xdf\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, entry, snapshot []byte) {
		var c directory.Command
		if msgpack.Decode(entry, &c, "a log entry") == nil {
			once := msgpack.Encode(c)
			var d directory.Command
			if err := msgpack.Decode(once, &d, "a log entry"); err != nil || !bytes.Equal(once, msgpack.Encode(d)) {
				t.Fatalf("%+v is decoded as %+v, %v", c, d, err)
			}
		}
		m := directory.NewMachine()
		if m.Restore(snapshot) != nil {
			m = directory.NewMachine()
		}
		m.Apply(1<<40, entry)
		stored := m.Snapshot()
		other := directory.NewMachine()
		if err := other.Restore(stored); err != nil || !bytes.Equal(other.Snapshot(), stored) {
			t.Fatalf("the state differs after a restore: %v", err)
		}
	})
}
