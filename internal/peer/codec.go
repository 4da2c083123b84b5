package peer

import (
	"io"
	"net/rpc"
	"sync"
	"sync/atomic"

	"github.com/arbutusring/arbutusring/internal/limit"
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

// clientCodec is the codec of the library with another reader.
type clientCodec struct {
	rpc.ClientCodec
	in *messageReader
}

func newClientCodec(conn io.ReadWriteCloser) rpc.ClientCodec {
	return &clientCodec{ClientCodec: codec.GoRpc.ClientCodec(conn, newHandle()), in: newMessageReader(conn, nil)}
}

// ReadResponseHeader refuses a response without a sequence number, which would be taken
// for the answer to call 0.
func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	c.in.begin()
	var h header
	if err := c.in.decode(&h); err != nil {
		return err
	}
	if h.Seq == nil || h.Error == nil {
		return c.in.reject(Error.New("the header of a response is not complete"))
	}
	r.ServiceMethod, r.Seq, r.Error = h.ServiceMethod, *h.Seq, *h.Error
	return nil
}

func (c *clientCodec) ReadResponseBody(body any) error { return c.in.decode(body) }

// countingCodec counts the calls that a server has read but not answered yet,
// so that a graceful shutdown can wait for them, and the memory of their arguments.
type countingCodec struct {
	rpc.ServerCodec
	runningCalls *atomic.Int64
	in           *messageReader
	seq          uint64 // of the request that is being read
	onRequest    func() // called for each request that was read; nil for none
	malformed    error  // of a body; where the next message begins is not known then

	mu   sync.Mutex
	held map[uint64]int64 // memory of the arguments of running calls, by sequence number
}

var _ rpc.ServerCodec = (*countingCodec)(nil)

func newServerCodec(conn io.ReadWriteCloser, runningCalls *atomic.Int64, memory *limit.Budget) *countingCodec {
	return &countingCodec{
		ServerCodec: codec.GoRpc.ServerCodec(conn, newHandle()), runningCalls: runningCalls,
		in: newMessageReader(conn, memory), held: make(map[uint64]int64),
	}
}

// ReadRequestHeader counts a call as running once its header has been read. It fails
// after a malformed body: the caller, net/rpc, would go on reading in the middle of it.
func (c *countingCodec) ReadRequestHeader(r *rpc.Request) error {
	if c.malformed != nil {
		return c.malformed
	}
	c.in.begin()
	if err := c.readHeader(r); err != nil {
		c.in.release()
		return err
	}
	c.seq = r.Seq
	if c.onRequest != nil {
		c.onRequest()
	}
	c.runningCalls.Add(1)
	return nil
}

func (c *countingCodec) readHeader(r *rpc.Request) error {
	var h header
	if err := c.in.decode(&h); err != nil {
		return err
	}
	if h.Seq == nil || h.ServiceMethod == "" {
		return c.in.reject(Error.New("the header of a request is not complete"))
	}
	r.ServiceMethod, r.Seq = h.ServiceMethod, *h.Seq
	return nil
}

// ReadRequestBody keeps what the arguments take from the budget until the call is
// answered.
func (c *countingCodec) ReadRequestBody(body any) error {
	err := c.in.decode(body)
	c.malformed = err
	if held := c.in.takeHeld(); held > 0 {
		c.mu.Lock()
		c.held[c.seq] += held
		c.mu.Unlock()
	}
	return err
}

// sentNotifier is a reply that is told when it has been written.
type sentNotifier interface{ Sent() }

// WriteResponse stops counting the call once its answer has been written.
func (c *countingCodec) WriteResponse(r *rpc.Response, body any) error {
	defer c.finish(r.Seq)
	if n, ok := body.(sentNotifier); ok {
		defer n.Sent()
	}
	return c.ServerCodec.WriteResponse(r, body)
}

func (c *countingCodec) finish(seq uint64) {
	c.runningCalls.Add(-1)
	c.mu.Lock()
	held := c.held[seq]
	delete(c.held, seq)
	c.mu.Unlock()
	c.in.memory.Give(held)
}
