package tomlstrict

import (
	"fmt"
	"regexp"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// arrayIndices matches the indices of elements of arrays of tables in a path.
var arrayIndices = regexp.MustCompile(`\[[0-9]+\]`)

// Lines maps the path of each key and table of a text to its line, counted
// from 1. The path of an element of an array of tables has its index:
// "policy[0].groups".
type Lines map[string]int

// Locate returns the lines of all keys. Keys of a malformed text are found up to
// the first syntax error.
func Locate(text string) Lines {
	l := &locator{lines: make(Lines), elements: make(map[string]int)}
	l.parser.Reset([]byte(text))
	table := ""
	for l.parser.NextExpression() {
		switch e := l.parser.Expression(); e.Kind {
		case unstable.Table:
			table = l.recordKey("", e)
		case unstable.ArrayTable:
			table = l.recordElement(e)
		case unstable.KeyValue:
			l.recordValue(table, e)
		}
	}
	return l.lines
}

// At returns the location of a key for an error message. If the line of the key
// is not known, the location names only the file and the key.
func (l Lines) At(file, path string) string {
	if line, ok := l[path]; ok {
		return fmt.Sprintf("%s:%d: %s", file, line, path)
	}
	return fmt.Sprintf("%s: %s", file, path)
}

// keyOnLine returns the path of key on a line with the indices that the decoder
// leaves out, or key itself if the line has no such path. If the decoder named
// no key, keyOnLine returns the path of the innermost key on the line.
func (l Lines) keyOnLine(line int, key string) string {
	longest := ""
	for path, pathLine := range l {
		if pathLine != line {
			continue
		}
		if key != "" && arrayIndices.ReplaceAllString(path, "") == key && strings.HasSuffix(path, lastKeyPart(key)) {
			return path
		}
		if len(path) > len(longest) || len(path) == len(longest) && path < longest {
			longest = path
		}
	}
	if key != "" {
		return key
	}
	return longest
}

func lastKeyPart(key string) string { return key[strings.LastIndexByte(key, '.')+1:] }

// locator collects the lines of the keys of one text.
type locator struct {
	parser   unstable.Parser
	lines    Lines
	elements map[string]int // array of tables to its number of elements
}

// recordKey records the key of an expression below a table and returns its path.
func (l *locator) recordKey(table string, e *unstable.Node) string {
	path := table
	for it := e.Key(); it.Next(); {
		path = join(path, string(it.Node().Data))
		if n := l.elements[path]; n > 0 && !it.IsLast() {
			path = fmt.Sprintf("%s[%d]", path, n-1)
		}
		if it.IsLast() {
			l.recordLine(path, it.Node())
		}
	}
	return path
}

// recordElement records an element of an array of tables and returns its path.
func (l *locator) recordElement(e *unstable.Node) string {
	path := l.recordKey("", e)
	n := l.elements[path]
	l.elements[path] = n + 1
	element := fmt.Sprintf("%s[%d]", path, n)
	for it := e.Key(); it.Next(); {
		l.recordLine(element, it.Node())
	}
	return element
}

// recordValue records the key of a value, and the keys of an inline table.
func (l *locator) recordValue(table string, e *unstable.Node) {
	path := l.recordKey(table, e)
	if v := e.Value(); v.Kind == unstable.InlineTable {
		for it := v.Children(); it.Next(); {
			l.recordValue(path, it.Node())
		}
	}
}

// recordLine stores the line of a path, the first one if the path is repeated.
func (l *locator) recordLine(path string, key *unstable.Node) {
	if _, ok := l.lines[path]; !ok {
		l.lines[path] = l.parser.Shape(key.Raw).Start.Line
	}
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return strings.Join([]string{path, key}, ".")
}
