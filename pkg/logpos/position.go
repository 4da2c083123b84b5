// Package logpos defines positions in the log of a database group and the
// session token that carries one between proxies.
//
// A position is the term of the last record together with its log sequence
// number (LSN). Positions compare lexicographically. Promotion keeps every
// acknowledged record, so a log at a position of a later term contains every
// acknowledged record of an earlier term, whatever the two LSNs are.
//
// # Usage
//
//	tok := logpos.Token{Group: "orders", Position: logpos.Position{Term: 3, LSN: 812}}
//	s := tok.String()               // handed to the caller
//	back, err := logpos.ParseToken(s)
//	if member.Applied.AtLeast(back.Position) { ... }
package logpos

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// Position is a place in the log of a group: the term of the last record and
// its LSN. The zero Position precedes every record.
type Position struct {
	Term uint64 `json:"term" codec:"t"`
	LSN  uint64 `json:"lsn" codec:"l"`
}

// Compare returns -1, 0 or 1 as p is before, equal to or after q.
func (p Position) Compare(q Position) int {
	switch {
	case p.Term < q.Term:
		return -1
	case p.Term > q.Term:
		return 1
	case p.LSN < q.LSN:
		return -1
	case p.LSN > q.LSN:
		return 1
	}
	return 0
}

// AtLeast reports whether p is q or later: a member that has applied p can then
// serve a session that requires q.
func (p Position) AtLeast(q Position) bool { return p.Compare(q) >= 0 }

// Max returns the later of p and q.
func (p Position) Max(q Position) Position {
	if p.AtLeast(q) {
		return p
	}
	return q
}

// String returns "term/lsn" in decimal.
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Term, p.LSN) }

// ParsePosition parses the form that String returns.
func ParsePosition(s string) (Position, error) {
	termText, lsnText, ok := strings.Cut(s, "/")
	if !ok {
		return Position{}, errkind.New(errkind.BadRequest, "position %q is not of the form term/lsn", s)
	}
	term, err := strconv.ParseUint(termText, 10, 64)
	if err != nil {
		return Position{}, errkind.Wrap(errkind.BadRequest, err, "invalid term of position %q", s)
	}
	lsn, err := strconv.ParseUint(lsnText, 10, 64)
	if err != nil {
		return Position{}, errkind.Wrap(errkind.BadRequest, err, "invalid lsn of position %q", s)
	}
	return Position{Term: term, LSN: lsn}, nil
}
