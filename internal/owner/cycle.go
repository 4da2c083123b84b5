package owner

import (
	"encoding/binary"
	"strings"
)

// queryMessage returns a simple Query message.
func queryMessage(sql string) []byte {
	b := make([]byte, 0, len(sql)+6)
	b = append(b, 'Q')
	b = binary.BigEndian.AppendUint32(b, uint32(len(sql)+5))
	b = append(b, sql...)
	return append(b, 0)
}

// quoteLiteral returns an SQL string literal. It relies on
// standard_conforming_strings being on.
func quoteLiteral(s string) string { return "'" + strings.ReplaceAll(s, "'", "''") + "'" }

// eachMessage calls visit for each backend message until visit returns false.
// It stops at an incomplete or malformed message.
func eachMessage(messages []byte, visit func(kind byte, whole, body []byte) bool) {
	for len(messages) >= 5 {
		size := uint64(binary.BigEndian.Uint32(messages[1:])) + 1
		if size < 5 || size > uint64(len(messages)) {
			return
		}
		if !visit(messages[0], messages[:size], messages[5:size]) {
			return
		}
		messages = messages[size:]
	}
}

// commandTags inspects the CommandComplete messages of an answer. It returns
// whether any has a tag other than ROLLBACK, so that a statement may have taken
// effect, and whether any is a COMMIT.
func commandTags(messages []byte) (effect, commit bool) {
	eachMessage(messages, func(kind byte, _, body []byte) bool {
		if kind == 'C' {
			tag := strings.TrimRight(string(body), "\x00")
			effect = effect || tag != "ROLLBACK"
			commit = commit || tag == "COMMIT"
		}
		return true
	})
	return effect, commit
}

// isOneAnswer reports whether messages are whole messages of an answer that ends with
// its only ReadyForQuery, outside of a transaction.
func isOneAnswer(messages []byte) bool {
	size, last := 0, ""
	eachMessage(messages, func(kind byte, whole, body []byte) bool {
		if last != "" || strings.IndexByte("123ACDEINSTZnst", kind) < 0 {
			return false
		}
		if kind == 'Z' {
			last = string(body)
		}
		size += len(whole)
		return true
	})
	return size == len(messages) && last == "I"
}

// withTxStatus returns a copy of an answer with the given transaction status in
// its ReadyForQuery message.
func withTxStatus(messages []byte, status byte) []byte {
	out := append([]byte(nil), messages...)
	if n := len(out); n >= 6 && out[n-6] == 'Z' {
		out[n-1] = status
	}
	return out
}

// withoutRows returns a copy of an answer without its RowDescription and
// DataRow messages.
func withoutRows(messages []byte) []byte {
	var out []byte
	eachMessage(messages, func(kind byte, whole, _ []byte) bool {
		if kind != 'T' && kind != 'D' {
			out = append(out, whole...)
		}
		return true
	})
	return out
}

// firstValue returns the first column of the first row of an answer.
func firstValue(messages []byte) (value string, ok bool) {
	eachMessage(messages, func(kind byte, _, body []byte) bool {
		if kind != 'D' {
			return true
		}
		if len(body) >= 6 {
			if size := int64(int32(binary.BigEndian.Uint32(body[2:]))); size >= 0 && size <= int64(len(body)-6) {
				value, ok = string(body[6:6+size]), true
			}
		}
		return false
	})
	return value, ok
}
