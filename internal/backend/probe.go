package backend

import (
	"errors"
	"io"
	"syscall"

	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// errUnsolicited means that the server sent something between two cycles. It
// is either the reason why the server is about to close the connection, or the
// rest of an answer that would be taken for the next one.
var errUnsolicited = errkind.New(errkind.ConnectFailed, "server sent messages outside a cycle")

// probe reports whether an idle connection can take a cycle. A server that
// has closed the connection is found before anything is sent, so the cycle is
// known not to have run. The check is a non-blocking peek at the socket.
func (c *Conn) probe() error {
	if c.r.Buffered() > 0 {
		return errUnsolicited
	}
	sc, ok := c.nc.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	var result error
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		n, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
		case err != nil:
			result = err
		case n == 0:
			result = io.EOF
		default:
			result = errUnsolicited
		}
		return true // never waits for the socket to become readable
	})
	return errors.Join(err, result)
}
