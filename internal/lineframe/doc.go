// Package lineframe splits a byte stream into messages that end with CR LF, and encodes
// such messages. A message ends at the first CR LF and nowhere else: a CR or an LF alone
// is a part of its text. No byte of a text is changed or removed.
//
// A text that contains CR LF can't be encoded; Append refuses it, so that no field can end
// its message and begin another one.
//
// # Usage
//
//	s := lineframe.Splitter{MaxBytes: 1 << 20}
//	for len(input) > 0 {
//		text, rest, ok, err := s.Next(input) // ok is false if the message is incomplete
//		input = rest
//	}
//
//	text, err := lineframe.Read(r, 1<<20)
//
//	b, err := lineframe.Append(b, "QUERY 5c0e FETCH a")
package lineframe

import (
	"errors"
	"strings"
)

// Ending is the end of every message.
const Ending = "\r\n"

// ErrTooLong is the error of a message that exceeds the maximum with its ending.
var ErrTooLong = errors.New("the message is too long")

// ErrEndsEarly is the error of a text that contains the end of a message.
var ErrEndsEarly = errors.New("the text contains CR LF")

// Append appends a message with its ending.
func Append(b []byte, text string) ([]byte, error) {
	if strings.Contains(text, Ending) {
		return b, ErrEndsEarly
	}
	return append(append(b, text...), Ending...), nil
}

// IsWord reports whether a text can be a field before the last one: it is not empty, and
// has neither a blank nor CR LF.
func IsWord(text string) bool {
	return text != "" && !strings.Contains(text, " ") && !strings.Contains(text, Ending)
}
