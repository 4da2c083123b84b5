package caller

import (
	"encoding/binary"

	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/jackc/pgx/v5/pgproto3"
)

// Request codes that the PostgreSQL protocol defines in place of a protocol
// version.
const (
	codeCancel = 80877102
	codeSSL    = 80877103
	codeGSSENC = 80877104
)

// maxStartupBytes is PostgreSQL's own limit for a startup packet.
const maxStartupBytes = 10000

// maxEncryptionRequests is how many SSLRequest and GSSENCRequest packets a
// connection may send; PostgreSQL accepts one of each.
const maxEncryptionRequests = 2

// startupPacket returns the first startup packet of buf without its length
// word, or nil if it is incomplete.
func startupPacket(buf []byte) ([]byte, error) {
	if len(buf) < 4 {
		return nil, nil
	}
	length := binary.BigEndian.Uint32(buf)
	if length < 8 || length > maxStartupBytes {
		return nil, errkind.New(errkind.BadRequest, "startup packet has length %d, must be from 8 to %d", length, maxStartupBytes)
	}
	if len(buf) < int(length) {
		return nil, nil
	}
	return buf[4:length], nil
}

// decodeStartup decodes a StartupMessage. Every 3.x version is accepted; the
// second result reports whether the caller requested a version above 3.0 and
// must be sent NegotiateProtocolVersion.
func decodeStartup(packet []byte) (*pgproto3.StartupMessage, bool, error) {
	version := binary.BigEndian.Uint32(packet)
	if version>>16 != 3 {
		return nil, false, errkind.New(errkind.BadRequest, "protocol version %d.%d is not supported, only 3.x", version>>16, version&0xffff)
	}
	// pgproto3 decodes only versions 3.0 and 3.2.
	packet30 := append([]byte(nil), packet...)
	binary.BigEndian.PutUint32(packet30, pgproto3.ProtocolVersion30)
	if len(packet30) == 5 && packet30[4] == 0 {
		return nil, false, errkind.New(errkind.BadRequest, "startup packet has no parameters")
	}
	msg := new(pgproto3.StartupMessage)
	if err := msg.Decode(packet30); err != nil {
		return nil, false, errkind.Wrap(errkind.BadRequest, err, "startup packet is malformed")
	}
	return msg, version != pgproto3.ProtocolVersion30, nil
}
