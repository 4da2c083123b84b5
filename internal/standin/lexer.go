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
				return nil, sqlErrorf(codeSyntaxError, "unterminated comment")
			}
			i += n + 2
		case c == '\'' || c == '"':
			text, n, ok := scanQuoted(sql[i:], c)
			if !ok {
				return nil, sqlErrorf(codeSyntaxError, "unterminated quoted string")
			}
			kind := tokenString
			if c == '"' {
				kind = tokenWord
			}
			tokens = append(tokens, token{kind: kind, text: text})
			i += n
		case c == '$':
			n := i + 1 + prefixLen(sql[i+1:], isDigit)
			number, err := strconv.Atoi(sql[i+1 : n])
			if err != nil || number < 1 || number > 65535 {
				return nil, sqlErrorf(codeSyntaxError, "invalid parameter %q", sql[i:n])
			}
			tokens = append(tokens, token{kind: tokenParam, param: number})
			i = n
		case isDigit(c):
			n := i + prefixLen(sql[i:], func(c byte) bool { return isDigit(c) || c == '.' })
			tokens = append(tokens, token{kind: tokenString, text: sql[i:n]})
			i = n
		case isLetter(c):
			n := i + prefixLen(sql[i:], func(c byte) bool { return isLetter(c) || isDigit(c) })
			tokens = append(tokens, token{kind: tokenWord, text: strings.ToLower(sql[i:n])})
			i = n
		case strings.HasPrefix(sql[i:], "||"), strings.HasPrefix(sql[i:], "::"):
			tokens = append(tokens, token{kind: tokenSymbol, text: sql[i : i+2]})
			i += 2
		case strings.IndexByte("(),;=*.-+", c) >= 0:
			tokens = append(tokens, token{kind: tokenSymbol, text: string(c)})
			i++
		default:
			return nil, sqlErrorf(codeSyntaxError, "unexpected character %q", c)
		}
	}
	return tokens, nil
}

// scanQuoted reads the quoted string at the start of s, in which a doubled
// quote is an escaped one. n is the length including both quotes.
func scanQuoted(s string, quote byte) (text string, n int, ok bool) {
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

// prefixLen returns the length of the longest prefix of s whose bytes satisfy f.
func prefixLen(s string, f func(byte) bool) int {
	n := 0
	for n < len(s) && f(s[n]) {
		n++
	}
	return n
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isLetter(c byte) bool {
	return c == '_' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= 0x80
}
