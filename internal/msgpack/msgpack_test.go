package msgpack_test

import (
	"testing"

	"github.com/arbutusring/arbutusring/internal/msgpack"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/matryer/is"
)

// TestWholeValue guards against a stored value of which only the beginning is read, and
// against nothing that is taken for the zero value.
func TestWholeValue(t *testing.T) {
	for name, data := range map[string]string{
		"byte after it":         "\x81\xa1A\x01\x00",
		"second value after it": "\x81\xa1A\x01\x81\xa1A\x02",
		"nil":                   "\xc0",
		"nothing":               "",
		"cut":                   "\x81\xa1A",
		"entry missing":         "\x82\xa1A\x01",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var v struct{ A int }
			is.Equal(errkind.Of(msgpack.Decode([]byte(data), &v, "a value")), errkind.Internal)
		})
	}
	is := is.New(t)
	var v struct{ A int }
	is.NoErr(msgpack.Decode([]byte("\x82\xa1A\x01\xa1Z\x07"), &v, "a value of a later release"))
	is.Equal(v.A, 1)
}
