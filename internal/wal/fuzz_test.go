package wal_test

import (
	"bytes"
	"reflect"
	"testing"

	"github.com/arbutusring/arbutusring/internal/wal"
)

// FuzzRecords guards against a damaged segment that causes a panic, and against entries
// of a shortened or damaged segment that were never written.
func FuzzRecords(f *testing.F) {
	f.Add([]byte("a"), []byte(""), uint(20), byte(1), []byte("\x03\x01\x01\x00\x00"))
	f.Add([]byte(""), bytes.Repeat([]byte("b"), 600), uint(0), byte(0), []byte("\x04\x05\x01\x03\x06\x01\x00\x00"))
	f.Add([]byte("a"), []byte("b"), uint(3), byte(0x80), []byte("\x03\x00\x01\x00\x00\x03\x00\x01\x00\x00"))
	f.Fuzz(func(t *testing.T, first, second []byte, at uint, change byte, payload []byte) {
		want := []wal.Entry{{Index: 1, Term: 1, Data: first}, {Index: 2, Term: 3, Kind: 2, Data: second}}
		data, err := wal.EncodeEntries(want)
		if err != nil {
			t.Fatal(err)
		}
		got, valid, err := wal.ReplayRecords(data)
		if err != nil || valid != len(data) || !equal(got, want) {
			t.Fatalf("%v is replayed as %v, %v", want, got, err)
		}
		n := int(at % uint(len(data)))
		if got, _, err = wal.ReplayRecords(data[:n]); err != nil || len(got) >= len(want) || !equal(got, want[:len(got)]) {
			t.Fatalf("%d of %d bytes are replayed as %v, %v", n, len(data), got, err)
		}
		damaged := bytes.Clone(data)
		damaged[n] ^= change
		if got, _, err = wal.ReplayRecords(damaged); err != nil || !equal(got, want[:len(got)]) {
			t.Fatalf("byte %d changed by %x is replayed as %v, %v", n, change, got, err)
		}
		_, _, _ = wal.ReplayRecords(payload)
		_, _ = wal.ApplyPayload(payload)
	})
}

func equal(a, b []wal.Entry) bool {
	for i := range a {
		if a[i].Index != b[i].Index || a[i].Term != b[i].Term || a[i].Kind != b[i].Kind || !bytes.Equal(a[i].Data, b[i].Data) {
			return false
		}
	}
	return len(a) == len(b)
}

// FuzzSnapshot guards against a damaged snapshot that causes a panic, that changes when
// it is stored again, or of which a part is taken for the whole.
func FuzzSnapshot(f *testing.F) {
	f.Add(wal.EncodeSnapshot(&wal.Snapshot{Index: 7, Term: 2, Members: []byte("m"), Data: []byte("data")}))
	f.Add([]byte("\x01\x01\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := wal.DecodeSnapshot(data)
		if err != nil {
			return
		}
		out := wal.EncodeSnapshot(s)
		again, err := wal.DecodeSnapshot(out)
		if err != nil || !reflect.DeepEqual(again, s) {
			t.Fatalf("%+v is decoded as %+v, %v", s, again, err)
		}
		for n := range min(len(out), 100) {
			if _, err := wal.DecodeSnapshot(out[:n]); err == nil {
				t.Fatalf("%d of %d bytes are taken for a whole snapshot", n, len(out))
			}
		}
	})
}
