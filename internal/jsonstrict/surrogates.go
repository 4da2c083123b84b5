package jsonstrict

import (
	"bytes"
	"strconv"
	"unicode/utf16"
	"unicode/utf8"
)

// hasUnpairedSurrogate reports whether a text of a valid document escapes half of a
// surrogate pair, which is no character.
func hasUnpairedSurrogate(document []byte) bool {
	for i := 0; i < len(document); i++ {
		next := bytes.IndexByte(document[i:], '\\')
		if next < 0 {
			return false
		}
		i += next + 1 // skips the character that is escaped
		r, ok := escaped(document[i:])
		if !ok {
			continue
		}
		i += 4
		if !utf16.IsSurrogate(r) {
			continue
		}
		if i+2 > len(document) || document[i+1] != '\\' {
			return true
		}
		second, ok := escaped(document[i+2:])
		if !ok || utf16.DecodeRune(r, second) == utf8.RuneError {
			return true
		}
		i += 6
	}
	return false
}

// escaped returns the value of an escape like u00e9.
func escaped(text []byte) (rune, bool) {
	if len(text) < 5 || text[0] != 'u' {
		return 0, false
	}
	n, err := strconv.ParseUint(string(text[1:5]), 16, 16)
	return rune(n), err == nil
}
