package logpos

import (
	"fmt"
	"strings"

	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/cespare/xxhash/v2"
)

// Token carries the state of a session to another proxy: the position of its
// last acknowledged write in its group.
type Token struct {
	Group    string
	Position Position
}

const tokenVersion = "v1"

// String returns "v1:group:term/lsn:checksum". The checksum detects a token
// that was truncated or altered by accident; it is no protection against forgery.
func (t Token) String() string {
	body := tokenVersion + ":" + t.Group + ":" + t.Position.String()
	return body + ":" + checksum(body)
}

// ParseToken parses the form that String returns. An altered token is an error
// of kind BadRequest: ignoring it could break read-your-writes.
func ParseToken(s string) (Token, error) {
	i := strings.LastIndexByte(s, ':')
	if i < 0 || checksum(s[:i]) != s[i+1:] {
		return Token{}, errkind.New(errkind.BadRequest, "session token %q has no valid checksum", s)
	}
	parts := strings.Split(s[:i], ":")
	if len(parts) != 3 || parts[0] != tokenVersion {
		return Token{}, errkind.New(errkind.BadRequest, "session token %q has an unsupported version or format", s)
	}
	pos, err := ParsePosition(parts[2])
	if err != nil {
		return Token{}, err
	}
	return Token{Group: parts[1], Position: pos}, nil
}

func checksum(s string) string {
	return fmt.Sprintf("%08x", uint32(xxhash.Sum64String(s)))
}
