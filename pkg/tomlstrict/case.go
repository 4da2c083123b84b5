package tomlstrict

import (
	"reflect"
	"sort"
	"strings"

	"github.com/zeebo/errs"
)

// CheckCase returns an error for each key of a text that Decode takes for a key of v in
// spite of its case. TOML keys that differ in case are different, and of two such keys
// Decode takes the last.
func CheckCase(file, text string, v any) error {
	var problems errs.Group
	lines := Locate(text)
	paths := make([]string, 0, len(lines))
	for path := range lines {
		paths = append(paths, path)
	}
	sort.Slice(paths, func(i, j int) bool {
		return lines[paths[i]] < lines[paths[j]] || lines[paths[i]] == lines[paths[j]] && paths[i] < paths[j]
	})
	for _, path := range paths {
		key := arrayIndices.ReplaceAllString(path, "")
		if !strings.HasSuffix(path, "]") && otherCase(reflect.TypeOf(v), strings.Split(key, ".")) {
			problems.Add(Error.New("%s: unknown key; case matters", lines.At(file, path)))
		}
	}
	return problems.Err()
}

// otherCase reports whether the last part of a path is the name of a key only if case
// doesn't matter.
func otherCase(t reflect.Type, path []string) bool {
	for i, part := range path {
		for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice {
			t = t.Elem()
		}
		if t.Kind() != reflect.Struct {
			return false // a map, whose keys are any
		}
		field, ok := t.FieldByNameFunc(func(name string) bool {
			f, _ := t.FieldByName(name)
			return strings.EqualFold(f.Tag.Get("toml"), part)
		})
		if !ok {
			return false // unknown in any case
		}
		if i == len(path)-1 {
			return field.Tag.Get("toml") != part
		}
		t = field.Type
	}
	return false
}
