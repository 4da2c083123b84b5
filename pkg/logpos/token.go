package logpos

import (
	"fmt"
	"strings"

	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/cespare/xxhash/v2"
)

// Token is what a session takes along to another proxy: the position of its
// last acknowledged write in its group.
type Token struct {
	Group    string
	Position Position
}

const tokenVersion = "v1"

// String returns "v1:group:term/lsn:checksum". The checksum detects a token
// that was cut or altered by accident; it is no protection against forgery.
func (t Token) String() string {
	body := tokenVersion + ":" + t.Group + ":" + t.Position.String()
	return body + ":" + checksum(body)
}

// ParseToken reads the form that String writes. An altered token is an error
// of kind BadRequest: reading without it could break read-your-writes.
func ParseToken(s string) (Token, error) {
	i := strings.LastIndexByte(s, ':')
	if i < 0 || checksum(s[:i]) != s[i+1:] {
		return Token{}, errkind.New(errkind.BadRequest, "session token %q is damaged", s)
	}
	parts := strings.Split(s[:i], ":")
	if len(parts) != 3 || parts[0] != tokenVersion {
		return Token{}, errkind.New(errkind.BadRequest, "session token %q has an unknown form", s)
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
