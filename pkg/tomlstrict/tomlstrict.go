// Package tomlstrict decodes TOML and refuses what it does not know. Every
// error names the file, the line and the key.
//
// # Usage
//
//	var cfg Settings
//	err := tomlstrict.Decode("entry.toml", text, &cfg)
//	// entry.toml:7: host.adress: unknown key
package tomlstrict

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/zeebo/errs"
)

// Error is the class of every error of this package.
var Error = errs.Class("toml")

// Decode reads text, which came from the named file, into v. Unknown keys and
// values of the wrong type are errors.
func Decode(file, text string, v any) error {
	dec := toml.NewDecoder(strings.NewReader(text))
	dec.DisallowUnknownFields()
	err := dec.Decode(v)
	if err == nil {
		return nil
	}
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		lines := make([]string, 0, len(strict.Errors))
		for i := range strict.Errors {
			lines = append(lines, describe(file, &strict.Errors[i], "unknown key"))
		}
		return Error.New("%s", strings.Join(lines, "; "))
	}
	var syntax *toml.DecodeError
	if errors.As(err, &syntax) {
		return Error.New("%s", describe(file, syntax, syntax.Error()))
	}
	return Error.New("%s: %v", file, err)
}

func describe(file string, err *toml.DecodeError, text string) string {
	row, _ := err.Position()
	key := strings.Join(err.Key(), ".")
	if key == "" {
		return fmt.Sprintf("%s:%d: %s", file, row, text)
	}
	return fmt.Sprintf("%s:%d: %s: %s", file, row, key, text)
}

// Duration is a time.Duration that is written as in Go: "250ms", "1m30s".
type Duration time.Duration

// UnmarshalText reads the form that time.ParseDuration reads and refuses
// negative durations.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return Error.Wrap(err)
	}
	if v < 0 {
		return Error.New("duration %q is negative", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText writes the form that time.Duration writes.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }
