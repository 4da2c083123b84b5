package peer_test

import (
	"bytes"
	"reflect"
	"testing"
	"testing/iotest"

	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/internal/peer"
)

// FuzzRequest guards against a request of a peer that causes a panic, that depends on how
// it arrives in pieces, that changes when it is encoded again, or of which a part is
// taken for the whole.
func FuzzRequest(f *testing.F) {
	var seed bytes.Buffer
	if err := peer.EncodeRequest(&seed, "Directory.Sync", &directoryrpc.SyncArgs{Host: directoryrpc.Host{ID: "g1"}, Version: 7, Reports: []directoryrpc.Report{{Group: "a"}}}); err != nil {
		f.Fatal(err)
	}
	f.Add(seed.Bytes())
	f.Add([]byte("\xdf\xff\xff\xff\xff"))
	f.Add([]byte("\x94\x00\x01\xaeDirectory.Sync\xc6\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, data []byte) {
		args, again := new(directoryrpc.SyncArgs), new(directoryrpc.SyncArgs)
		header, err := peer.ReadRequest(bytes.NewReader(data), args)
		header2, err2 := peer.ReadRequest(iotest.OneByteReader(bytes.NewReader(data)), again)
		if (err == nil) != (err2 == nil) || err == nil && (header != header2 || !reflect.DeepEqual(args, again)) {
			t.Fatalf("whole: %+v %v, in pieces: %+v %v", args, err, again, err2)
		}
		if err != nil {
			return
		}
		var out bytes.Buffer
		if err := peer.EncodeRequest(&out, header.ServiceMethod, args); err != nil {
			t.Fatal(err)
		}
		again = new(directoryrpc.SyncArgs)
		if _, err := peer.ReadRequest(bytes.NewReader(out.Bytes()), again); err != nil || !reflect.DeepEqual(args, again) {
			t.Fatalf("%+v is decoded as %+v, %v", args, again, err)
		}
		for n := range min(out.Len(), 100) {
			if _, err := peer.ReadRequest(bytes.NewReader(out.Bytes()[:n]), new(directoryrpc.SyncArgs)); err == nil {
				t.Fatalf("%d of %d bytes are taken for a whole request", n, out.Len())
			}
		}
	})
}
