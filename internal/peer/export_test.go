package peer

import (
	"io"
	"net/rpc"
	"sync/atomic"
)

// stream is a connection that only reads.
type stream struct{ io.Reader }

func (stream) Write(p []byte) (int, error) { return len(p), nil }
func (stream) Close() error                { return nil }

// ReadRequest reads one request from r into args.
func ReadRequest(r io.Reader, args any) (rpc.Request, error) {
	c := newServerCodec(stream{r}, new(atomic.Int64), nil)
	var header rpc.Request
	if err := c.ReadRequestHeader(&header); err != nil {
		return header, err
	}
	return header, c.ReadRequestBody(args)
}

// EncodeRequest returns the encoding of a request.
func EncodeRequest(w io.Writer, method string, args any) error {
	conn := struct {
		io.Reader
		io.Writer
		io.Closer
	}{Writer: w, Closer: stream{}}
	return newClientCodec(conn).WriteRequest(&rpc.Request{ServiceMethod: method, Seq: 1}, args)
}
