package standin

import (
	"strconv"
	"strings"
)

type tokenKind int

const (
	tokenEnd    tokenKind = iota
	tokenWord             // keyword or identifier; lower case unless quoted
	tokenString           // string literal or number
	tokenParam            // $n
	tokenSymbol           // punctuation
)

type token struct {
	kind  tokenKind
	text  string
	param int // number of the parameter, from 1
}

// lex splits sql into tokens. Comments are skipped.
func lex(sql string) ([]token, error) {
	var tokens []token
	for i := 0; i < len(sql); {
		c := sql[i]
		switch {
		case c == ' ' || c == '\t' || c == '\n' || c == '\r':
			i++
		case strings.HasPrefix(sql[i:], "--"):
			n := strings.IndexByte(sql[i:], '\n')
			if n < 0 {
				n = len(sql) - i
			}
			i += n
		case strings.HasPrefix(sql[i:], "/*"):
			n := strings.Index(sql[i:], "*/")
			if n < 0 {
				return nil, sqlErrorf(codeSyntax, "unterminated comment")
			}
			i += n + 2
		case c == '\'' || c == '"':
			text, n, ok := quoted(sql[i:], c)
			if !ok {
				return nil, sqlErrorf(codeSyntax, "unterminated quoted string")
			}
			kind := tokenString
			if c == '"' {
				kind = tokenWord
			}
			tokens = append(tokens, token{kind: kind, text: text})
			i += n
		case c == '$':
			n := i + 1 + span(sql[i+1:], digit)
			number, err := strconv.Atoi(sql[i+1 : n])
			if err != nil || number < 1 || number > 65535 {
				return nil, sqlErrorf(codeSyntax, "invalid parameter %q", sql[i:n])
			}
			tokens = append(tokens, token{kind: tokenParam, param: number})
			i = n
		case digit(c):
			n := i + span(sql[i:], func(c byte) bool { return digit(c) || c == '.' })
			tokens = append(tokens, token{kind: tokenString, text: sql[i:n]})
			i = n
		case letter(c):
			n := i + span(sql[i:], func(c byte) bool { return letter(c) || digit(c) })
			tokens = append(tokens, token{kind: tokenWord, text: strings.ToLower(sql[i:n])})
			i = n
		case strings.HasPrefix(sql[i:], "||"), strings.HasPrefix(sql[i:], "::"):
			tokens = append(tokens, token{kind: tokenSymbol, text: sql[i : i+2]})
			i += 2
		case strings.IndexByte("(),;=*.-+", c) >= 0:
			tokens = append(tokens, token{kind: tokenSymbol, text: string(c)})
			i++
		default:
			return nil, sqlErrorf(codeSyntax, "unexpected character %q", c)
		}
	}
	return tokens, nil
}

// quoted reads a string in which the quote is doubled to stand for itself. n
// is the length including both quotes.
func quoted(s string, quote byte) (text string, n int, ok bool) {
	var b strings.Builder
	for i := 1; i < len(s); i++ {
		if s[i] != quote {
			b.WriteByte(s[i])
			continue
		}
		if i+1 < len(s) && s[i+1] == quote {
			b.WriteByte(quote)
			i++
			continue
		}
		return b.String(), i + 1, true
	}
	return "", 0, false
}

func span(s string, f func(byte) bool) int {
	n := 0
	for n < len(s) && f(s[n]) {
		n++
	}
	return n
}

func digit(c byte) bool { return c >= '0' && c <= '9' }

func letter(c byte) bool {
	return c == '_' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= 0x80
}
