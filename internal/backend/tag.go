package backend

import (
	"bytes"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"strings"
	"sync/atomic"

	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// A tag is a number that the server must return with an answer. PostgreSQL's
// answers have no id, so without it a copy of an earlier answer would be taken for
// the answer to the request that waits.
type tag [16]byte

// tagColumn is the name of the column in which the server returns a tag.
const tagColumn = "arbutusring_tag"

// A tag query is tagQueryPrefix, the tag, and tagQuerySuffix. It needs no function
// of the contract.
const (
	tagQueryPrefix = "SELECT '"
	tagQuerySuffix = "' AS " + tagColumn
)

// lastTag is the number of the last tag. It is process-wide and starts at random, so
// that no other connection of this or of another process has the same tags.
var lastTag = randomTag()

func randomTag() *atomic.Uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	n := new(atomic.Uint64)
	n.Store(binary.BigEndian.Uint64(b[:]))
	return n
}

func newTag() (t tag) {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], lastTag.Add(1))
	hex.Encode(t[:], b[:])
	return t
}

// appendTagQuery appends a Query for the tag, followed by sql unless that is empty.
// Both are in one message, so they have one answer, which is the tag's even if sql
// fails.
func appendTagQuery(dst []byte, t tag, sql string) []byte {
	n := len(tagQueryPrefix) + len(t) + len(tagQuerySuffix)
	if sql != "" {
		n += len("; ") + len(sql)
	}
	dst = append(dst, 'Q')
	dst = binary.BigEndian.AppendUint32(dst, uint32(n+headerLen))
	dst = append(dst, tagQueryPrefix...)
	dst = append(dst, t[:]...)
	dst = append(dst, tagQuerySuffix...)
	if sql != "" {
		dst = append(dst, "; "...)
		dst = append(dst, sql...)
	}
	return append(dst, 0)
}

// errUntagged returns the error for an answer that cannot be attributed to its
// request.
func errUntagged() error {
	return errkind.New(errkind.ServerLost, "the answer does not have the number of its request")
}

// readTag reads the answer to the tag query that followed a cycle. txStatus is the
// transaction status after the cycle. If sql was sent after the tag, it returns its
// result.
//
// The server answers in order, and the answer before the one with the tag is the
// last before it. So a tag that is returned proves that the answer read before it
// is the cycle's own: a copy of an earlier answer would have been read instead of
// one of the two.
func (c *Conn) readTag(t tag, sql string, txStatus byte) (rowSet, error) {
	set, err := c.readRows(t, sql)
	switch {
	case err != nil:
		return rowSet{}, err
	case set.tagged && set.txStatus == txStatus:
		return set, nil
	case set.tagged && txStatus == 'T' && set.txStatus == 'E' && set.sqlState != "":
		return set, nil // sql failed within the transaction
	case txStatus == 'E' && set.txStatus == 'E' && set.sqlState == codeFailedTransaction:
		return set, c.confirmFailed()
	}
	return rowSet{}, errUntagged()
}

// beginsOnly reports whether cycle is a Query with one BEGIN or START TRANSACTION. A
// tag query after it would take a snapshot, after which SET TRANSACTION is refused.
func beginsOnly(cycle []byte) bool {
	if cycle[0] != 'Q' || cycle[len(cycle)-1] != 0 {
		return false
	}
	text := bytes.TrimSpace(cycle[headerLen : len(cycle)-1])
	text = bytes.TrimSuffix(text, []byte(";"))
	for _, c := range text {
		switch {
		case c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z':
		case c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == ',':
		default:
			return false
		}
	}
	words := bytes.Fields(text)
	return len(words) > 0 && (bytes.EqualFold(words[0], []byte("begin")) ||
		len(words) > 1 && bytes.EqualFold(words[0], []byte("start")) && bytes.EqualFold(words[1], []byte("transaction")))
}

// began reports whether answer says that a transaction was opened, and nothing else. A
// copy of such an answer says the same, so it needs no tag; the one that it preceded
// is noticed at the next request.
func began(answer Answer) bool {
	if answer.TxStatus != 'T' || answer.SQLState != "" {
		return false
	}
	for m := answer.Messages; len(m) >= headerLen; m = m[1+binary.BigEndian.Uint32(m[1:headerLen]):] {
		switch body := m[headerLen : 1+binary.BigEndian.Uint32(m[1:headerLen])]; {
		case m[0] == 'Z' || isAsync(m[0]):
		case m[0] == 'C' && (string(body) == "BEGIN\x00" || string(body) == "START TRANSACTION\x00"):
		default:
			return false
		}
	}
	return len(answer.Messages) > 0
}

// tagAfter asks for a tag when the answer to a cycle has been read.
func (c *Conn) tagAfter(txStatus byte) (rowSet, error) {
	t := newTag()
	if _, err := c.nc.Write(appendTagQuery(nil, t, "")); err != nil {
		return rowSet{}, err
	}
	return c.readTag(t, "", txStatus)
}

// confirmFailed reads a tag from a server whose transaction has failed. Such a
// server executes no query, but it reports the name of a prepared statement that
// doesn't exist.
func (c *Conn) confirmFailed() error {
	t := newTag()
	name := tagColumn + "_" + string(t[:])
	buf := []byte{'D', 0, 0, 0, byte(4 + 1 + len(name) + 1), 'S'}
	buf = append(append(buf, name...), 0)
	buf = append(buf, 'S', 0, 0, 0, 4)
	if _, err := c.nc.Write(buf); err != nil {
		return err
	}
	set, err := c.readRows(t, "")
	if err != nil {
		return err
	}
	if set.tagged || set.txStatus != 'E' || set.sqlState != codeUndefinedStatement || !strings.Contains(set.message, name) {
		return errUntagged()
	}
	return nil
}
