package backend

import (
	"errors"
	"io"
	"net"
	"syscall"

	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// errUnsolicited means that the server sent something between two cycles. It
// is either the reason why the server is about to close the connection, or the
// rest of an answer that would be taken for the next one.
var errUnsolicited = errkind.New(errkind.ConnectFailed, "server sent messages outside a cycle")

// prober finds out whether an idle connection can take a cycle. A server that
// has closed the connection is found before anything is sent, so the cycle is
// known not to have run. The check is a non-blocking peek at the socket.
type prober struct {
	raw    syscall.RawConn
	peek   func(fd uintptr) bool // the method of the same name; kept to save an allocation for each cycle
	result error                 // of the last peek
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

// peekSocket stores the result of a peek. It returns true always, so that the
// caller does not wait for the socket to become readable.
func (p *prober) peekSocket(fd uintptr) bool {
	var buf [1]byte
	n, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
		p.result = nil
	case err != nil:
		p.result = err
	case n == 0:
		p.result = io.EOF
	default:
		p.result = errUnsolicited
	}
	return true
}

// check returns nil if the connection is open and nothing has arrived on it.
func (p *prober) check() error {
	if err := p.raw.Read(p.peek); err != nil {
		return err
	}
	return p.result
}
