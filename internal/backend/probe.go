package backend

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"syscall"

	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// errUnsolicited means that the server sent messages between two cycles other than
// complete asynchronous ones. They
// are either the reason why the server is about to close the connection, or the
// rest of an answer, which would be mistaken for the answer to the next cycle.
var errUnsolicited = errkind.New(errkind.ConnectFailed, "server sent messages outside a cycle")

// prober checks with a non-blocking peek at the socket whether an idle
// connection is usable. A connection that the server has closed is detected
// before anything is sent, so the cycle is known not to have been executed.
type prober struct {
	raw  syscall.RawConn
	peek func(fd uintptr) bool // the method peekSocket; stored to save an allocation for each cycle
	err  error                 // result of the last peek
}

func newProber(nc net.Conn) (*prober, error) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return nil, errkind.New(errkind.Internal, "connection of type %T has no file descriptor", nc)
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil, err
	}
	p := &prober{raw: raw}
	p.peek = p.peekSocket
	return p, nil
}

// peekSocket peeks at the socket and stores the result in p.err. It always
// returns true, so that RawConn.Read does not wait for the socket to become
// readable.
func (p *prober) peekSocket(fd uintptr) bool {
	var buf [1]byte
	n, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
		p.err = nil
	case err != nil:
		p.err = err
	case n == 0:
		p.err = io.EOF
	default:
		p.err = errUnsolicited
	}
	return true
}

// check returns nil if the connection is open and nothing has arrived on it.
func (p *prober) check() error {
	if err := p.raw.Read(p.peek); err != nil {
		return err
	}
	return p.err
}

// maxIdleBytes limits the asynchronous messages that are read between two cycles.
const maxIdleBytes = 64 << 10

// dropAsync discards the asynchronous messages that have arrived since the last
// answer. It returns an error if anything else has arrived or the connection was
// closed. It does not wait for more bytes.
func (c *Conn) dropAsync() error {
	for dropped := 0; ; {
		if c.r.Buffered() == 0 {
			err := c.prober.check()
			if err != errUnsolicited {
				return err
			}
			if _, err := c.r.Peek(1); err != nil { // reads what has arrived
				return err
			}
		}
		b, err := c.r.Peek(c.r.Buffered())
		if err != nil {
			return err
		}
		n := asyncLen(b)
		if n > 0 && b[0] == 'S' {
			if c.recordParameter(b[headerLen:n]); c.unsafe {
				return errUnsafeSetting
			}
		}
		if dropped += n; n == 0 || dropped > maxIdleBytes {
			return errUnsolicited
		}
		if _, err := c.r.Discard(n); err != nil {
			return err
		}
	}
}

// asyncLen returns the length of the first message in b if that is complete and
// asynchronous, and 0 otherwise.
func asyncLen(b []byte) int {
	if len(b) < headerLen || !isAsync(b[0]) {
		return 0
	}
	n := int64(binary.BigEndian.Uint32(b[1:headerLen])) + 1
	if n < headerLen || n > int64(len(b)) {
		return 0
	}
	return int(n)
}
