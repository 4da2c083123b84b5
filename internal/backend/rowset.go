package backend

import (
	"bytes"
	"encoding/binary"
	"io"
	"strconv"
	"strings"

	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/logpos"
	"github.com/jackc/pgx/v5/pgproto3"
)

// maxContractAnswerBytes limits the answer of a contract function. The largest
// answer is the list of replicas, with about 200 bytes for each.
const maxContractAnswerBytes = 1 << 20

// rowSet is the decoded answer to a Query of the proxy itself.
type rowSet struct {
	tagged   bool       // the tag was returned
	rows     [][]string // text values of the statement after the tag; NULL is empty
	sqlState string     // SQLSTATE of the first error, or empty
	message  string
	txStatus byte // transaction status of ReadyForQuery
}

// readRows reads the answer to appendTagQuery(t, sql). After an error the stream is
// unusable.
func (c *Conn) readRows(t tag, sql string) (rowSet, error) {
	var (
		set     rowSet
		grammar answerGrammar
		size    int
	)
	results := 1
	if sql != "" {
		results = 2
	}
	for {
		typ, n, err := c.readHeader()
		if err != nil {
			return rowSet{}, err
		}
		size += n
		if !grammar.accept(typ) || grammar.results > results || size > maxContractAnswerBytes {
			return rowSet{}, errUnexpected(typ, n)
		}
		if cap(c.body) < n {
			c.body = make([]byte, max(n, 64))
		}
		body := c.body[:n]
		if _, err := io.ReadFull(c.r, body); err != nil {
			return rowSet{}, err
		}
		ok := true
		switch typ {
		case 'T':
			ok = grammar.results > 0 || !set.tagged && isTagDescription(body)
		case 'D':
			if grammar.results > 0 {
				err = set.addRow(body)
				break
			}
			ok = !set.tagged && isTagRow(body, t)
			set.tagged = true
		case 'C':
			ok = set.tagged && validCommandComplete(body)
		case 'S':
			c.recordParameter(body)
		case 'E':
			if ok = validErrorResponse(body); ok && set.sqlState == "" {
				set.sqlState, set.message = errorField(body, 'C'), errorField(body, 'M')
			}
		case 'Z':
			if ok = validReady(body) && (grammar.failed || grammar.results == results); ok {
				set.txStatus = body[0]
			}
		}
		if err != nil {
			return rowSet{}, err
		}
		if !ok {
			return rowSet{}, errUnexpected(typ, n)
		}
		if typ == 'Z' {
			return set, nil
		}
	}
}

// isTagDescription reports whether body describes the column of a tag alone.
func isTagDescription(body []byte) bool {
	return len(body) > 2 && binary.BigEndian.Uint16(body) == 1 && bytes.HasPrefix(body[2:], []byte(tagColumn+"\x00"))
}

// isTagRow reports whether body is a row with the tag alone.
func isTagRow(body []byte, t tag) bool {
	const start = 2 + 4
	return len(body) == start+len(t) && binary.BigEndian.Uint16(body) == 1 &&
		int(binary.BigEndian.Uint32(body[2:])) == len(t) && tag(body[start:]) == t
}

// validReady reports whether body is a transaction status.
func validReady(body []byte) bool {
	return len(body) == 1 && (body[0] == 'I' || body[0] == 'T' || body[0] == 'E')
}

func (s *rowSet) addRow(body []byte) error {
	var row pgproto3.DataRow
	if err := row.Decode(body); err != nil {
		return err
	}
	values := make([]string, len(row.Values))
	for i, v := range row.Values {
		values[i] = string(v)
	}
	s.rows = append(s.rows, values)
	return nil
}

// err returns the error that the server reported, with the matching kind, or nil.
func (s rowSet) err() error {
	switch s.sqlState {
	case "":
		return nil
	case codeStaleTerm:
		return errkind.New(errkind.StaleTerm, "%s", s.message)
	case codeNotPrimary:
		return errkind.New(errkind.NoPrimary, "%s", s.message)
	case codeShutdown:
		return errkind.New(errkind.Draining, "%s", s.message)
	case codeBadValue:
		return errkind.New(errkind.BadRequest, "%s", s.message)
	}
	return errkind.New(errkind.Internal, "SQLSTATE %s: %s", s.sqlState, s.message)
}

// position decodes the answer to positionQuery.
func (s rowSet) position() (logpos.Position, error) {
	if err := s.err(); err != nil {
		return logpos.Position{}, err
	}
	if len(s.rows) != 1 || len(s.rows[0]) != 2 {
		return logpos.Position{}, errkind.New(errkind.Internal, "position query did not return one row with two columns")
	}
	return parsePosition(s.rows[0][0], s.rows[0][1])
}

// parsePosition parses a term and an LSN in the text format of pg_lsn.
func parsePosition(term, lsn string) (logpos.Position, error) {
	t, err := strconv.ParseUint(term, 10, 64)
	if err != nil {
		return logpos.Position{}, errkind.Wrap(errkind.Internal, err, "malformed term %q", term)
	}
	high, low, _ := strings.Cut(lsn, "/")
	h, err := strconv.ParseUint(high, 16, 32)
	if err != nil {
		return logpos.Position{}, errkind.Wrap(errkind.Internal, err, "malformed LSN %q", lsn)
	}
	l, err := strconv.ParseUint(low, 16, 32)
	if err != nil {
		return logpos.Position{}, errkind.Wrap(errkind.Internal, err, "malformed LSN %q", lsn)
	}
	return logpos.Position{Term: t, LSN: h<<32 | l}, nil
}
