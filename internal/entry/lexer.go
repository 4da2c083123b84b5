package entry

import "strings"

// tokenKind is the kind of a lexical token of SQL.
type tokenKind uint8

const (
	tokenWord    tokenKind = iota + 1 // unquoted identifier or keyword, with A to Z in lower case
	tokenQuoted                       // quoted identifier, without the quotes
	tokenString                       // string constant, without the quotes
	tokenNumber                       // numeric constant
	tokenSymbol                       // one character of punctuation or an operator
	tokenInvalid                      // an unterminated quote or comment, or an escaped identifier
)

// escapedIdentifier is the text of the invalid token for an identifier with
// Unicode escapes, which the lexer doesn't decode.
const escapedIdentifier = "escaped identifier"

// token is one lexical token.
type token struct {
	kind tokenKind
	text string
}

func (t token) isWord(word string) bool { return t.kind == tokenWord && t.text == word }

func (t token) isSymbol(s string) bool { return t.kind == tokenSymbol && t.text == s }

// lexer splits SQL text into tokens by PostgreSQL's lexical rules, with
// standard_conforming_strings on. Comments and white space are skipped.
type lexer struct {
	sql string
	pos int
}

// next returns the next token, or false at the end of the text.
func (l *lexer) next() (token, bool) {
	if !l.skipBlank() {
		l.pos = len(l.sql)
		return token{kind: tokenInvalid}, true
	}
	if l.pos >= len(l.sql) {
		return token{}, false
	}
	start := l.pos
	c := l.sql[start]
	switch {
	case c == '\'':
		return l.readQuoted('\'', tokenString, false), true
	case c == '"':
		return l.readQuoted('"', tokenQuoted, false), true
	case (c == 'e' || c == 'E') && l.peek(1) == '\'':
		l.pos++
		return l.readQuoted('\'', tokenString, true), true
	case (c == 'b' || c == 'B' || c == 'x' || c == 'X' || c == 'n' || c == 'N') && l.peek(1) == '\'':
		l.pos++
		return l.readQuoted('\'', tokenString, false), true
	case (c == 'u' || c == 'U') && l.peek(1) == '&' && l.peek(2) == '\'':
		l.pos += 2
		return l.readQuoted('\'', tokenString, false), true
	case (c == 'u' || c == 'U') && l.peek(1) == '&' && l.peek(2) == '"':
		l.pos += 2
		t := l.readQuoted('"', tokenQuoted, false)
		if strings.Contains(t.text, `\`) {
			return token{tokenInvalid, escapedIdentifier}, true
		}
		return t, true
	case c == '$':
		return l.readDollar(), true
	case isWordStart(c):
		for l.pos < len(l.sql) && isWordPart(l.sql[l.pos]) {
			l.pos++
		}
		return token{tokenWord, lowerASCII(l.sql[start:l.pos])}, true
	case isDigit(c) || c == '.' && isDigit(l.peek(1)):
		for l.pos < len(l.sql) && (isWordPart(l.sql[l.pos]) || l.sql[l.pos] == '.') {
			l.pos++
		}
		return token{tokenNumber, l.sql[start:l.pos]}, true
	}
	l.pos++
	return token{tokenSymbol, l.sql[start:l.pos]}, true
}

// lowerASCII converts A to Z to lower case, as PostgreSQL does with identifiers. Other
// letters stay: the lower case of the Kelvin sign, for one, is a k, with which another
// function would pass for a known one.
func lowerASCII(s string) string {
	for i := range len(s) {
		if s[i] >= 'A' && s[i] <= 'Z' {
			b := []byte(s)
			for ; i < len(b); i++ {
				if b[i] >= 'A' && b[i] <= 'Z' {
					b[i] += 'a' - 'A'
				}
			}
			return string(b)
		}
	}
	return s
}

// peek returns the byte n positions ahead, or 0 beyond the end of the text.
func (l *lexer) peek(n int) byte {
	if l.pos+n < len(l.sql) {
		return l.sql[l.pos+n]
	}
	return 0
}

// skipBlank skips white space and comments. It returns false for an unterminated
// block comment. Block comments nest.
func (l *lexer) skipBlank() bool {
	for l.pos < len(l.sql) {
		switch c := l.sql[l.pos]; {
		case c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == '\f' || c == '\v':
			l.pos++
		case c == '-' && l.peek(1) == '-':
			i := strings.IndexAny(l.sql[l.pos:], "\r\n")
			if i < 0 {
				l.pos = len(l.sql)
			} else {
				l.pos += i
			}
		case c == '/' && l.peek(1) == '*':
			if !l.skipBlock() {
				return false
			}
		default:
			return true
		}
	}
	return true
}

func (l *lexer) skipBlock() bool {
	depth := 0
	for l.pos < len(l.sql) {
		switch {
		case l.sql[l.pos] == '/' && l.peek(1) == '*':
			depth++
			l.pos += 2
		case l.sql[l.pos] == '*' && l.peek(1) == '/':
			depth--
			l.pos += 2
			if depth == 0 {
				return true
			}
		default:
			l.pos++
		}
	}
	return false
}

// readQuoted reads a quoted token whose opening quote is at pos. A doubled quote
// stands for the quote itself; if escapes is true, a backslash escapes the next
// character, also where the string is continued on another line.
func (l *lexer) readQuoted(quote byte, kind tokenKind, escapes bool) token {
	l.pos++
	start, plain := l.pos, true
	for l.pos < len(l.sql) {
		switch c := l.sql[l.pos]; {
		case escapes && c == '\\':
			l.pos += 2
		case c != quote:
			l.pos++
		case l.peek(1) == quote:
			plain = false
			l.pos += 2
		case escapes && l.continuation() > 0:
			l.pos += l.continuation()
		default:
			text := l.sql[start:l.pos]
			l.pos++
			if !plain {
				text = strings.ReplaceAll(text, string([]byte{quote, quote}), string(quote))
			}
			return token{kind, text}
		}
	}
	l.pos = len(l.sql)
	return token{kind: tokenInvalid}
}

// continuation returns the distance from the closing quote at pos to the first byte
// after the quote that continues the string, or 0 if the string ends at pos. A string
// is continued after white space with a line break and after comments up to the end
// of a line.
func (l *lexer) continuation() int {
	newLine := false
	for i := l.pos + 1; i < len(l.sql); i++ {
		switch c := l.sql[i]; {
		case c == '\n' || c == '\r':
			newLine = true
		case c == ' ' || c == '\t' || c == '\f' || c == '\v':
		case c == '-' && i+1 < len(l.sql) && l.sql[i+1] == '-':
			n := strings.IndexAny(l.sql[i:], "\r\n")
			if n < 0 {
				return 0
			}
			i += n - 1
		case c == '\'' && newLine:
			return i + 1 - l.pos
		default:
			return 0
		}
	}
	return 0
}

// readDollar reads a dollar-quoted string, a parameter such as $1, or a single
// dollar sign.
func (l *lexer) readDollar() token {
	start := l.pos
	end := start + 1
	for end < len(l.sql) && isWordPart(l.sql[end]) && l.sql[end] != '$' {
		end++
	}
	if end > start+1 && isDigit(l.sql[start+1]) {
		l.pos = end
		return token{tokenNumber, l.sql[start:end]}
	}
	if end >= len(l.sql) || l.sql[end] != '$' {
		l.pos++
		return token{tokenSymbol, "$"}
	}
	tag := l.sql[start : end+1]
	body := l.sql[end+1:]
	i := strings.Index(body, tag)
	if i < 0 {
		l.pos = len(l.sql)
		return token{kind: tokenInvalid}
	}
	l.pos = end + 1 + i + len(tag)
	return token{tokenString, body[:i]}
}

func isWordStart(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_' || c >= 0x80
}

func isWordPart(c byte) bool { return isWordStart(c) || isDigit(c) || c == '$' }

func isDigit(c byte) bool { return c >= '0' && c <= '9' }
