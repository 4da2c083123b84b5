package backend

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"net"

	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/jackc/pgx/v5/pgproto3"
)

// maxStartupMessageBytes limits one message that the server sends during the
// startup.
const maxStartupMessageBytes = 64 << 10

// Connect opens a connection and completes the startup. Every error has kind
// ConnectFailed. The server must accept the user without a password.
func Connect(ctx context.Context, opts ConnOptions) (*Conn, error) {
	if opts.DialTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, opts.DialTimeout)
		defer cancel()
	}
	nc, err := new(net.Dialer).DialContext(ctx, "tcp", opts.Address)
	if err != nil {
		return nil, errkind.Wrap(errkind.ConnectFailed, err, "connecting to server %s", opts.Address)
	}
	c := &Conn{id: lastConnID.Add(1), nc: nc, r: bufio.NewReaderSize(nc, readBufferBytes)}
	stop := c.closeOnDone(ctx)
	if c.prober, err = newProber(nc); err == nil {
		err = c.startup(opts)
	}
	if !stop() && err == nil {
		err = ctx.Err() // closeOnDone has closed the connection
	}
	if err != nil {
		return nil, c.fail(errkind.ConnectFailed, contextCause(ctx, err), "startup")
	}
	return c, nil
}

// startup sends the StartupMessage and reads messages up to ReadyForQuery.
func (c *Conn) startup(opts ConnOptions) error {
	msg := pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters: map[string]string{
			"user":             opts.User,
			"database":         opts.Database,
			"application_name": "arbutusring",
			"client_encoding":  "UTF8",
		},
	}
	buf, err := msg.Encode(nil)
	if err != nil {
		return err
	}
	if _, err := c.nc.Write(buf); err != nil {
		return err
	}
	accepted := false
	for {
		typ, n, err := c.readHeader()
		if err != nil {
			return err
		}
		if n > maxStartupMessageBytes {
			return errkind.New(errkind.ConnectFailed, "startup message of type %q has %d bytes", typ, n)
		}
		body := make([]byte, n)
		if _, err := io.ReadFull(c.r, body); err != nil {
			return err
		}
		switch typ {
		case 'R':
			if len(body) < 4 || binary.BigEndian.Uint32(body) != pgproto3.AuthTypeOk {
				return errkind.New(errkind.ConnectFailed, "server requests password authentication, which is not supported")
			}
			if accepted || len(body) != 4 {
				return errkind.New(errkind.ConnectFailed, "unexpected AuthenticationOk with %d bytes", len(body))
			}
			accepted = true
		case 'E':
			var e pgproto3.ErrorResponse
			if err := e.Decode(body); err != nil {
				return err
			}
			return errkind.New(errkind.ConnectFailed, "server refused the connection with SQLSTATE %s: %s", e.Code, e.Message)
		case 'Z':
			if !accepted || len(body) != 1 || body[0] != 'I' {
				return errkind.New(errkind.ConnectFailed, "unexpected ReadyForQuery with %d bytes", len(body))
			}
			return nil
		case 'S':
			if c.recordParameter(body); c.unsafe {
				return errUnsafeSetting
			}
		case 'K', 'N', 'v':
		default:
			return errkind.New(errkind.ConnectFailed, "unexpected startup message of type %q", typ)
		}
	}
}

// readHeader reads the header of a message and returns the type and the
// length of the body in bytes.
func (c *Conn) readHeader() (typ byte, n int, err error) {
	if _, err := io.ReadFull(c.r, c.header[:]); err != nil {
		return 0, 0, err
	}
	length := binary.BigEndian.Uint32(c.header[1:])
	if length < 4 || length > maxMessageBytes {
		return 0, 0, errkind.New(errkind.ServerLost, "message of type %q has the invalid length %d", c.header[0], length)
	}
	return c.header[0], int(length) - 4, nil
}
