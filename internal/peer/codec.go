package peer

import (
	"io"
	"net/rpc"
	"sync/atomic"

	"github.com/ugorji/go/codec"
)

// newHandle returns the msgpack settings of one connection. WriteExt encodes
// strings and byte slices as different types. Buffering is left to batchConn:
// with a buffer of its own, the codec (v1.3.2) decodes the last request
// repeatedly after a failed read.
func newHandle() *codec.MsgpackHandle {
	h := new(codec.MsgpackHandle)
	h.WriteExt = true
	return h
}

func newClientCodec(conn io.ReadWriteCloser) rpc.ClientCodec {
	return codec.GoRpc.ClientCodec(conn, newHandle())
}

// countingCodec counts the calls that a server has read but not answered yet,
// so that a graceful shutdown can wait for them.
type countingCodec struct {
	rpc.ServerCodec
	runningCalls *atomic.Int64
}

var _ rpc.ServerCodec = (*countingCodec)(nil)

func newServerCodec(conn io.ReadWriteCloser, runningCalls *atomic.Int64) rpc.ServerCodec {
	return &countingCodec{ServerCodec: codec.GoRpc.ServerCodec(conn, newHandle()), runningCalls: runningCalls}
}

// ReadRequestHeader counts a call as running once its header has been read.
func (c *countingCodec) ReadRequestHeader(r *rpc.Request) error {
	err := c.ServerCodec.ReadRequestHeader(r)
	if err == nil {
		c.runningCalls.Add(1)
	}
	return err
}

// WriteResponse stops counting the call once its answer has been written.
func (c *countingCodec) WriteResponse(r *rpc.Response, body any) error {
	defer c.runningCalls.Add(-1)
	return c.ServerCodec.WriteResponse(r, body)
}
