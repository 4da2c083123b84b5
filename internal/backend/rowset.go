package backend

import (
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

// rowSet is the decoded answer to a contract function.
type rowSet struct {
	rows     [][]string // text values; NULL is empty
	sqlState string     // SQLSTATE of the first error, or empty
	message  string
}

// readRows reads the answer to one Query whose columns are in text format.
// After an error the stream is unusable.
func (c *Conn) readRows() (rowSet, error) {
	var set rowSet
	size := 0
	for {
		typ, n, err := c.readHeader()
		if err != nil {
			return rowSet{}, err
		}
		size += n
		if !allowedInAnswer(typ) || size > maxContractAnswerBytes {
			return rowSet{}, errkind.New(errkind.ServerLost, "unexpected message of type %q with %d bytes", typ, n)
		}
		body := make([]byte, n)
		if _, err := io.ReadFull(c.r, body); err != nil {
			return rowSet{}, err
		}
		switch typ {
		case 'D':
			var row pgproto3.DataRow
			if err := row.Decode(body); err != nil {
				return rowSet{}, err
			}
			values := make([]string, len(row.Values))
			for i, v := range row.Values {
				values[i] = string(v)
			}
			set.rows = append(set.rows, values)
		case 'E':
			var e pgproto3.ErrorResponse
			if err := e.Decode(body); err != nil {
				return rowSet{}, err
			}
			if set.sqlState == "" {
				set.sqlState, set.message = e.Code, e.Message
			}
		case 'Z':
			if n != 1 {
				return rowSet{}, errkind.New(errkind.ServerLost, "ReadyForQuery has %d bytes", n)
			}
			return set, nil
		}
	}
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
