package caller

import (
	"bytes"
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
	params, ok := startupParameters(packet[4:])
	if !ok {
		return nil, false, errkind.New(errkind.BadRequest, "startup packet is malformed")
	}
	if len(params) == 0 {
		return nil, false, errkind.New(errkind.BadRequest, "startup packet has no parameters")
	}
	msg := &pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: params}
	return msg, version != pgproto3.ProtocolVersion30, nil
}

// startupParameters decodes pairs of a name and a value. An empty name ends the list,
// and it must be the last byte; the decoder of pgproto3 reads on after it. Of a name
// that is given twice, the last value counts, as in PostgreSQL.
func startupParameters(body []byte) (map[string]string, bool) {
	params := make(map[string]string)
	for {
		name, rest, ok := cutString(body)
		if !ok || name == "" {
			return params, ok && len(rest) == 0
		}
		value, rest, ok := cutString(rest)
		if !ok {
			return nil, false
		}
		params[name] = value
		body = rest
	}
}

// cutString returns the string at the start of b, and what follows its zero byte.
func cutString(b []byte) (s string, rest []byte, ok bool) {
	i := bytes.IndexByte(b, 0)
	if i < 0 {
		return "", nil, false
	}
	return string(b[:i]), b[i+1:], true
}
