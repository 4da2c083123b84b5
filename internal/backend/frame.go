package backend

import (
	"bytes"
	"encoding/binary"

	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// headerLen is the length of the type byte and the length word of a message.
const headerLen = 5

// maxMessageBytes is PostgreSQL's own limit for one message. A greater length
// word means that the stream does not follow the PostgreSQL protocol or that
// message boundaries were lost.
const maxMessageBytes = 1<<30 - 1

// validateCycle checks that cycle is one Query, or extended-protocol messages
// that end with their only Sync. Anything else would be answered with no
// ReadyForQuery or with several, and later answers would be attributed to the
// wrong requests.
func validateCycle(cycle []byte) error {
	for first := true; ; first = false {
		if len(cycle) < headerLen {
			return errkind.New(errkind.BadRequest, "cycle does not end with Query or Sync")
		}
		n := int64(binary.BigEndian.Uint32(cycle[1:headerLen])) + 1
		if n < headerLen || n > int64(len(cycle)) {
			return errkind.New(errkind.BadRequest, "cycle has a message of type %q with an invalid length", cycle[0])
		}
		typ := cycle[0]
		cycle = cycle[n:]
		switch typ {
		case 'Q':
			if !first || len(cycle) > 0 {
				return errkind.New(errkind.BadRequest, "cycle has other messages in addition to a Query")
			}
			return nil
		case 'S':
			if len(cycle) > 0 {
				return errkind.New(errkind.BadRequest, "cycle has messages after Sync")
			}
			return nil
		case 'P', 'B', 'C', 'D', 'E', 'H':
		default:
			return errkind.New(errkind.BadRequest, "cycle has a message of the unsupported type %q", typ)
		}
	}
}

// errorField returns a field of the body of an ErrorResponse, or "" if the field
// is missing.
func errorField(body []byte, field byte) string {
	for len(body) > 1 {
		end := bytes.IndexByte(body[1:], 0)
		if end < 0 {
			return ""
		}
		if body[0] == field {
			return string(body[1 : 1+end])
		}
		body = body[end+2:]
	}
	return ""
}
