package backend

import (
	"bytes"
	"encoding/binary"
)

// answerGrammar checks that the messages of an answer have an order in which a
// server may answer a cycle. An answer in another order has messages of another
// answer, or message boundaries were lost.
type answerGrammar struct {
	requests  []byte // extended protocol: the messages that are not yet answered; nil for a Query
	results   int    // results that were completed
	inRows    bool   // a RowDescription was read, and no end of its result
	empty     bool   // EmptyQueryResponse was read
	described bool   // ParameterDescription was read for the Describe that is answered now
	failed    bool   // an ErrorResponse was read
}

// newAnswerGrammar returns the grammar of the answer to a cycle that validateCycle
// has accepted.
func newAnswerGrammar(cycle []byte) answerGrammar {
	if cycle[0] == 'Q' {
		return answerGrammar{}
	}
	return answerGrammar{requests: cycle}
}

// accept reports whether a message of type typ may come next.
func (g *answerGrammar) accept(typ byte) bool {
	switch {
	case isAsync(typ):
		return true
	case typ == 'E':
		g.failed = true
		return true
	case g.failed:
		return typ == 'Z'
	case g.requests != nil:
		return g.acceptExtended(typ)
	}
	return g.acceptSimple(typ)
}

func (g *answerGrammar) acceptSimple(typ byte) bool {
	switch typ {
	case 'T':
		ok := !g.inRows && !g.empty
		g.inRows = true
		return ok
	case 'D':
		return g.inRows
	case 'C':
		g.inRows = false
		g.results++
		return !g.empty
	case 'I':
		ok := !g.inRows && g.results == 0 && !g.empty
		g.empty = true
		return ok
	case 'Z':
		return !g.inRows && (g.results > 0 || g.empty)
	}
	return false
}

func (g *answerGrammar) acceptExtended(typ byte) bool {
	for g.requests[0] == 'H' { // Flush has no answer
		g.next()
	}
	ok := false
	switch g.requests[0] {
	case 'P':
		ok = typ == '1'
	case 'B':
		ok = typ == '2'
	case 'C':
		ok = typ == '3'
	case 'S':
		return typ == 'Z'
	case 'E':
		if typ == 'D' {
			return true
		}
		ok = typ == 'C' || typ == 'I' || typ == 's'
	case 'D':
		if typ == 't' && !g.described && len(g.requests) > headerLen && g.requests[headerLen] == 'S' {
			g.described = true
			return true
		}
		ok = typ == 'T' || typ == 'n'
		g.described = false
	}
	g.next()
	return ok
}

// next removes the first request. The last one, Sync, is never removed.
func (g *answerGrammar) next() {
	g.requests = g.requests[1+binary.BigEndian.Uint32(g.requests[1:headerLen]):]
}

// isAsync reports whether a server may send a message of type typ at any time:
// NotificationResponse, NoticeResponse and ParameterStatus.
func isAsync(typ byte) bool { return typ == 'A' || typ == 'N' || typ == 'S' }

// validCommandComplete reports whether body is one string with its terminating
// zero byte.
func validCommandComplete(body []byte) bool {
	return len(body) > 0 && bytes.IndexByte(body, 0) == len(body)-1
}

// validErrorResponse reports whether body is a list of fields with its terminating
// zero byte, and has a SQLSTATE. Without one, an error would pass for a success.
func validErrorResponse(body []byte) bool {
	hasCode := false
	for len(body) > 0 && body[0] != 0 {
		end := bytes.IndexByte(body[1:], 0)
		if end < 0 {
			return false
		}
		hasCode = hasCode || body[0] == 'C' && end == 5
		body = body[end+2:]
	}
	return len(body) == 1 && hasCode
}
