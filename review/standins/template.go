package main

import (
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

var placeholder = regexp.MustCompile(`\{\{([#/]?)([^}]*)\}\}`)

// renderTemplate fills in a settings template of the deploy file. It supports what
// those templates use: values by path, sections over lists and tables, the entry
// and its key, and the comma between entries. fields holds strings, bools, lists
// of strings and tables.
func renderTemplate(text string, fields map[string]any) (string, error) {
	var out strings.Builder
	for {
		at := placeholder.FindStringSubmatchIndex(text)
		if at == nil {
			out.WriteString(text)
			return out.String(), nil
		}
		out.WriteString(text[:at[0]])
		name, rest := text[at[4]:at[5]], text[at[1]:]
		if text[at[2]:at[3]] != "#" {
			fmt.Fprint(&out, lookUp(fields, name))
			text = rest
			continue
		}
		body, after, ok := strings.Cut(rest, "{{/"+name+"}}")
		if !ok {
			return "", fmt.Errorf("section %q is not closed", name)
		}
		keys, values := entries(lookUp(fields, name))
		for i, key := range keys {
			comma := ","
			if i == len(keys)-1 {
				comma = ""
			}
			out.WriteString(strings.NewReplacer("{{.}}", values[i], "{{@}}", key, "{{,}}", comma).Replace(body))
		}
		text = after
	}
}

// entries returns the keys and values of a list or table.
func entries(v any) (keys, values []string) {
	switch v := v.(type) {
	case []string:
		for i, e := range v {
			keys, values = append(keys, strconv.Itoa(i)), append(values, e)
		}
	case map[string]any:
		for k := range v {
			keys = append(keys, k)
		}
		slices.Sort(keys)
		for _, k := range keys {
			values = append(values, fmt.Sprint(v[k]))
		}
	}
	return keys, values
}

// lookUp returns the value at a path such as "limits.memory_mb" or "ports.0", or ""
// if there is none.
func lookUp(fields map[string]any, path string) any {
	var v any = fields
	for key := range strings.SplitSeq(path, ".") {
		switch t := v.(type) {
		case map[string]any:
			v = t[key]
		case []string:
			i, err := strconv.Atoi(key)
			if err != nil || i < 0 || i >= len(t) {
				return ""
			}
			v = t[i]
		default:
			return ""
		}
	}
	if v == nil {
		return ""
	}
	return v
}
