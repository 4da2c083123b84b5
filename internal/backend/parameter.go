package backend

import (
	"bytes"

	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// safeSettings are the values of the settings on which the lexical rules of a server
// depend. With others, the server would read the statements of callers in another way
// than they were classified.
var safeSettings = map[string]string{
	"client_encoding":             "UTF8",
	"standard_conforming_strings": "on",
}

// errUnsafeSetting means that a setting has another value than in safeSettings.
var errUnsafeSetting = errkind.New(errkind.ConnectFailed, "a setting of the server changes how it reads statements")

// recordParameter notes whether the body of a ParameterStatus reports a value that is
// not in safeSettings.
func (c *Conn) recordParameter(body []byte) {
	name, rest, _ := bytes.Cut(body, []byte{0})
	value, _, _ := bytes.Cut(rest, []byte{0})
	if want, ok := safeSettings[string(name)]; ok && string(value) != want {
		c.unsafe = true
	}
}
