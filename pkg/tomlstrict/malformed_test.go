package tomlstrict_test

import (
	"testing"

	"github.com/arbutusring/arbutusring/pkg/tomlstrict"
	"github.com/matryer/is"
)

// TestMalformedText guards against a text of which a part is obeyed, or a key that has two
// values.
func TestMalformedText(t *testing.T) {
	type section struct {
		A int               `toml:"a"`
		S string            `toml:"s"`
		M map[string]string `toml:"m"`
	}
	for name, text := range map[string]string{
		"key twice":            "[t]\na = 1\na = 2\n",
		"key twice, quoted":    "[t]\na = 1\n\"a\" = 2\n",
		"key twice, dotted":    "t.a = 1\n[t]\na = 2\n",
		"table twice":          "[t]\na = 1\n[t]\ns = \"x\"\n",
		"map key twice":        "[t.m]\nx = \"1\"\n\"x\" = \"2\"\n",
		"inline key twice":     "[t]\nm = {x = \"1\", x = \"2\"}\n",
		"bytes after value":    "[t]\na = 1 2\n",
		"cut string":           "[t]\ns = \"x",
		"cut table":            "[t",
		"cut key":              "[t]\na",
		"line feed in string":  "[t]\ns = \"x\ny\"\n",
		"bare CR":              "[t]\ra = 1\r",
		"CR in string":         "[t]\ns = \"x\ry\"\n",
		"NUL":                  "[t]\ns = \"x\x00\"\n",
		"NUL after the end":    "[t]\na = 1\n\x00\x00",
		"not UTF-8":            "[t]\ns = \"\xff\"\n",
		"number out of range":  "[t]\na = 9223372036854775808\n",
		"number with fraction": "[t]\na = 1.5\n",
		"number as string":     "[t]\na = \"1\"\n",
	} {
		t.Run(name, func(t *testing.T) {
			var v struct {
				T section `toml:"t"`
			}
			if err := tomlstrict.Decode("F", text, &v); err == nil {
				t.Errorf("%q is accepted as %+v", text, v)
			}
		})
	}
	is := is.New(t)
	var v struct {
		T section `toml:"t"`
	}
	is.NoErr(tomlstrict.Decode("F", "[t]\r\na = 1\r\ns = \" x\\r\\n \"", &v))
	is.Equal(v.T, section{A: 1, S: " x\r\n "})
}
