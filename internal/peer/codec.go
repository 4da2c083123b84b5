package peer

import (
	"io"
	"net/rpc"
	"sync/atomic"

	"github.com/ugorji/go/codec"
)

// newHandle returns the msgpack settings of one connection. Strings and byte
// slices keep their types on the wire. Buffering is left to batchConn: with a
// buffer of its own, the codec decodes the last request again and again after
// a failed read (v1.3.2).
func newHandle() *codec.MsgpackHandle {
	h := new(codec.MsgpackHandle)
	h.WriteExt = true
	return h
}

func newClientCodec(conn io.ReadWriteCloser) rpc.ClientCodec {
	return codec.GoRpc.ClientCodec(conn, newHandle())
}

// countingCodec counts the calls that a server has read and not answered yet,
// so that a graceful shutdown can wait for them.
type countingCodec struct {
	rpc.ServerCodec
	running *atomic.Int64
}

var _ rpc.ServerCodec = (*countingCodec)(nil)

func newServerCodec(conn io.ReadWriteCloser, running *atomic.Int64) rpc.ServerCodec {
	return &countingCodec{ServerCodec: codec.GoRpc.ServerCodec(conn, newHandle()), running: running}
}

// ReadRequestHeader counts a call from the moment that its header was read.
func (c *countingCodec) ReadRequestHeader(r *rpc.Request) error {
	err := c.ServerCodec.ReadRequestHeader(r)
	if err == nil {
		c.running.Add(1)
	}
	return err
}

// WriteResponse counts the call as done once its answer has been written.
func (c *countingCodec) WriteResponse(r *rpc.Response, body any) error {
	defer c.running.Add(-1)
	return c.ServerCodec.WriteResponse(r, body)
}
