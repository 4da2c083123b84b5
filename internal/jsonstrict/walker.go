package jsonstrict

import (
	"bytes"
	"encoding/json"
	"reflect"
	"slices"
	"strings"
)

// walker looks for names that occur twice in one object and hides those that
// encoding/json would take for a field in spite of their case. It reads the bytes of valid
// JSON itself: with the tokens of encoding/json, 10,000 databases took 138 ms instead of 45 ms.
type walker struct {
	document  []byte
	at        int    // next byte
	shown     []byte // copy of document without the hidden names; nil if none is hidden
	onlyKnown bool
}

// result returns the document without the hidden names.
func (w *walker) result() []byte {
	if w.shown != nil {
		return w.shown
	}
	return w.document
}

// next skips blanks, commas and colons, and returns the byte that follows.
func (w *walker) next() byte {
	for {
		switch c := w.document[w.at]; c {
		case ' ', '\t', '\r', '\n', ',', ':':
			w.at++
		default:
			return c
		}
	}
}

// text skips a text and returns what is between its quotes.
func (w *walker) text() []byte {
	start := w.at + 1
	for w.at = start; w.document[w.at] != '"'; w.at++ {
		if w.document[w.at] == '\\' {
			w.at++
		}
	}
	w.at++
	return w.document[start : w.at-1]
}

// walk skips one value, which is decoded into type t; nil for an unknown one.
func (w *walker) walk(t reflect.Type) error {
	for t != nil && t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch w.next() {
	case '{':
		return w.walkObject(t)
	case '[':
		var element reflect.Type
		if t != nil && t.Kind() == reflect.Slice {
			element = t.Elem()
		}
		for w.at++; w.next() != ']'; {
			if err := w.walk(element); err != nil {
				return err
			}
		}
		w.at++
	case '"':
		w.text()
	default: // a number, true, false or null
		for w.at < len(w.document) && !ends[w.document[w.at]] {
			w.at++
		}
	}
	return nil
}

// ends holds the bytes that end a number or a literal.
var ends = [256]bool{',': true, ']': true, '}': true, ' ': true, '\t': true, '\r': true, '\n': true}

func (w *walker) walkObject(t reflect.Type) error {
	var names nameSet
	var fields map[string]reflect.Type // nil if t has none
	if t != nil && t.Kind() == reflect.Struct {
		fields = fieldsOf(t)
	}
	for w.at++; w.next() != '}'; {
		start := w.at + 1
		name := w.text()
		if bytes.IndexByte(name, '\\') >= 0 {
			var unescaped string
			if err := json.Unmarshal(w.document[start-1:w.at], &unescaped); err != nil {
				return Error.Wrap(err)
			}
			name = []byte(unescaped)
		}
		if !names.add(name) {
			return Error.New("an object has the same name twice, at byte %d", start)
		}
		var value reflect.Type
		if fields != nil {
			var known bool
			if value, known = fields[string(name)]; !known && w.onlyKnown {
				return Error.New("unknown field %q", name)
			} else if !known && matchesAny(string(name), fields) {
				w.hide(start, w.at-1)
			}
		} else if t != nil && t.Kind() == reflect.Map {
			value = t.Elem()
		}
		if err := w.walk(value); err != nil {
			return err
		}
	}
	w.at++
	return nil
}

// matchesAny reports whether encoding/json takes a name for that of a field.
func matchesAny(name string, fields map[string]reflect.Type) bool {
	for field := range fields {
		if strings.EqualFold(name, field) {
			return true
		}
	}
	return false
}

// hide replaces a name by blanks, which are the name of no field.
func (w *walker) hide(start, end int) {
	if w.shown == nil {
		w.shown = slices.Clone(w.document)
	}
	for i := start; i < end; i++ {
		w.shown[i] = ' '
	}
}
