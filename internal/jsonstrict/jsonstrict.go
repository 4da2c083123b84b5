// Package jsonstrict decodes JSON documents that every reader reads in the same way.
// The package encoding/json is more lenient: it takes the last of two equal names, matches
// the names of fields in any case, and replaces what isn't Unicode by U+FFFD, so that two
// different texts may become equal.
//
// A document is refused if it
//
//   - isn't a single JSON value, or nests deeper than encoding/json reads,
//   - isn't UTF-8, or escapes half of a surrogate pair,
//   - has an object in which a name occurs twice, also one that is unknown or escaped.
//
// A name that differs from that of a field in its case is unknown. No error contains text
// of the document, which may hold keys, except that UnmarshalKnown names an unknown field.
//
// # Usage
//
//	var cfg config
//	err := jsonstrict.Unmarshal(document, &cfg)
package jsonstrict

import (
	"bytes"
	"encoding/json"
	"reflect"
	"unicode/utf8"

	"github.com/zeebo/errs"
)

// Error is the class of the errors of this package.
var Error = errs.Class("json")

// Unmarshal decodes a document into the variable that v points to. Unknown names are ignored.
func Unmarshal(document []byte, v any) error { return unmarshal(document, v, false) }

// UnmarshalKnown is Unmarshal, but unknown names are errors.
func UnmarshalKnown(document []byte, v any) error { return unmarshal(document, v, true) }

func unmarshal(document []byte, v any, onlyKnown bool) error {
	switch {
	case !utf8.Valid(document):
		return Error.New("the document is not UTF-8")
	case !json.Valid(document):
		if json.NewDecoder(bytes.NewReader(document)).Decode(new(json.RawMessage)) == nil {
			return Error.New("there is more than one JSON value")
		}
		// The error of json.Unmarshal says where, and names one character at most.
		return Error.Wrap(json.Unmarshal(document, new(any)))
	case hasUnpairedSurrogate(document):
		return Error.New("a text has half of a surrogate pair")
	}
	w := walker{document: document, onlyKnown: onlyKnown}
	if err := w.walk(reflect.TypeOf(v).Elem()); err != nil {
		return err
	}
	return Error.Wrap(json.Unmarshal(w.result(), v))
}
