package directoryrpc_test

import (
	"bytes"
	"testing"

	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/internal/msgpack"
	"github.com/matryer/is"
)

// TestSyncReplyWithoutAllowances guards against other bytes on the wire in installations
// without limits of customers.
func TestSyncReplyWithoutAllowances(t *testing.T) {
	is := is.New(t)
	is.True(!bytes.Contains(msgpack.Encode(directoryrpc.SyncReply{}), []byte("al")))
	is.True(bytes.Contains(msgpack.Encode(directoryrpc.SyncReply{Allowances: true}), []byte("al")))
}
