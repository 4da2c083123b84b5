package tomlstrict

import (
	"fmt"
	"regexp"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// indices are those of elements of arrays of tables in a path.
var indices = regexp.MustCompile(`\[[0-9]+\]`)

// Lines maps the path of each key and table of a text to its line, counted
// from 1. The path of an element of an array of tables has its index:
// "policy[0].groups".
type Lines map[string]int

// Locate finds the lines of all keys. The lines of a malformed text end at
// the first syntax error.
func Locate(text string) Lines {
	l := &locator{lines: make(Lines), elements: make(map[string]int)}
	l.parser.Reset([]byte(text))
	table := ""
	for l.parser.NextExpression() {
		switch e := l.parser.Expression(); e.Kind {
		case unstable.Table:
			table = l.key("", e)
		case unstable.ArrayTable:
			table = l.element(e)
		case unstable.KeyValue:
			l.value(table, e)
		}
	}
	return l.lines
}

// At returns the place of a key for an error text. Without a line for the key
// it names only the file and the key.
func (l Lines) At(file, path string) string {
	if line, ok := l[path]; ok {
		return fmt.Sprintf("%s:%d: %s", file, line, path)
	}
	return fmt.Sprintf("%s: %s", file, path)
}

// onLine returns the path of the key on a line, with its indices. The decoder
// names some keys without indices and some not at all; the innermost key of
// the line then stands for it.
func (l Lines) onLine(line int, key string) string {
	longest := ""
	for path, at := range l {
		if at != line {
			continue
		}
		if key != "" && indices.ReplaceAllString(path, "") == key && strings.HasSuffix(path, lastPart(key)) {
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

func lastPart(key string) string { return key[strings.LastIndexByte(key, '.')+1:] }

// locator collects the lines of one text.
type locator struct {
	parser   unstable.Parser
	lines    Lines
	elements map[string]int // array of tables to its number of elements
}

// key records the key of an expression below a table and returns its path.
func (l *locator) key(table string, e *unstable.Node) string {
	path := table
	for it := e.Key(); it.Next(); {
		path = join(path, string(it.Node().Data))
		if n := l.elements[path]; n > 0 && !it.IsLast() {
			path = fmt.Sprintf("%s[%d]", path, n-1)
		}
		if it.IsLast() {
			l.record(path, it.Node())
		}
	}
	return path
}

func (l *locator) element(e *unstable.Node) string {
	path := l.key("", e)
	n := l.elements[path]
	l.elements[path] = n + 1
	element := fmt.Sprintf("%s[%d]", path, n)
	for it := e.Key(); it.Next(); {
		l.record(element, it.Node())
	}
	return element
}

func (l *locator) value(table string, e *unstable.Node) {
	path := l.key(table, e)
	if v := e.Value(); v.Kind == unstable.InlineTable {
		for it := v.Children(); it.Next(); {
			l.value(path, it.Node())
		}
	}
}

// record keeps the first line of a path.
func (l *locator) record(path string, key *unstable.Node) {
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
