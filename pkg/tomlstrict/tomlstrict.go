// Package tomlstrict decodes TOML and rejects unknown keys. Every error names
// the file, the line and the key.
//
// # Usage
//
//	var cfg Settings
//	err := tomlstrict.Decode("entry.toml", text, &cfg)
//	// toml: entry.toml:7: host.adress: unknown key
package tomlstrict

import (
	"errors"
	"fmt"
	"reflect"
	"sort"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/zeebo/errs"
)

// Error is the class of every error of this package.
var Error = errs.Class("toml")

// Decode decodes text, the content of the named file, into the variable that v
// points to. Unknown keys and values of the wrong type are errors.
func Decode(file, text string, v any) error {
	err := decode(text, v)
	if err == nil {
		return nil
	}
	lines := Locate(text)
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		unknown := make([]string, 0, len(strict.Errors))
		for i := range strict.Errors {
			unknown = append(unknown, lines.describe(file, &strict.Errors[i], "unknown key"))
		}
		return Error.New("%s", strings.Join(unknown, "; "))
	}
	var syntax *toml.DecodeError
	if errors.As(err, &syntax) {
		return Error.New("%s", lines.describe(file, syntax, trimDecoderPrefix(syntax)))
	}
	line := failingLine(text, v)
	return Error.New("%s:%d: %s: %s", file, line, lines.keyOnLine(line, ""), strings.TrimPrefix(err.Error(), "toml: "))
}

func decode(text string, v any) error {
	dec := toml.NewDecoder(strings.NewReader(text))
	dec.DisallowUnknownFields()
	return dec.Decode(v)
}

// failingLine returns the line of an error for which the decoder gives no
// position, for example a number where a Duration is expected. The decoder
// works from top to bottom, so every text that ends at or after the line
// fails in the same way, and none that ends before it does.
func failingLine(text string, v any) int {
	textLines := strings.SplitAfter(text, "\n")
	return 1 + sort.Search(len(textLines)-1, func(i int) bool {
		err := decode(strings.Join(textLines[:i+1], ""), reflect.New(reflect.TypeOf(v).Elem()).Interface())
		var syntax *toml.DecodeError
		var strict *toml.StrictMissingError
		return err != nil && !errors.As(err, &syntax) && !errors.As(err, &strict)
	})
}

// trimDecoderPrefix returns the message of an error without the prefixes that
// the decoder adds.
func trimDecoderPrefix(err *toml.DecodeError) string {
	message := err.Error()
	for strings.HasPrefix(message, "toml: ") {
		message = strings.TrimPrefix(message, "toml: ")
	}
	return message
}

// describe returns message with the location and the key of err.
func (l Lines) describe(file string, err *toml.DecodeError, message string) string {
	line, _ := err.Position()
	key := l.keyOnLine(line, strings.Join(err.Key(), "."))
	if key == "" {
		return fmt.Sprintf("%s:%d: %s", file, line, message)
	}
	return fmt.Sprintf("%s:%d: %s: %s", file, line, key, message)
}
