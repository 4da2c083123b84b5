package jsonstrict_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/arbutusring/arbutusring/internal/jsonstrict"
	"github.com/matryer/is"
)

type inner struct {
	ID string `json:"id"`
}

type outer struct {
	Name   string            `json:"name"`
	List   []inner           `json:"list"`
	Labels map[string]string `json:"labels"`
	Count  *int              `json:"count"`
}

// TestUnmarshal guards against a document that another reader would read differently,
// and against refusing or changing one that has only one meaning.
func TestUnmarshal(t *testing.T) {
	manyNames := ""
	for i := range 30 {
		manyNames += fmt.Sprintf(`"x%d":[{"y":-1.5e3},true,null,"\"}]"],`, i)
	}
	for _, tc := range []struct {
		name, document string
		want           *outer // nil if it is refused
	}{
		{"plain", `{"name":"a","list":[{"id":"b"}]}`, &outer{Name: "a", List: []inner{{"b"}}}},
		{"other case", `{"Name":"a","LIST":[{"id":"b"}],"list":[{"Id":"c"}]}`, &outer{List: []inner{{}}}},
		{"other case beside the name", ` { "name" : "a" , "NAME" : "b" } `, &outer{Name: "a"}},
		{"folded letter", `{"\u017fist":1,"li\u017ft":[{}],"liſt":[]}`, nil}, // U+017F folds to s; the last two are equal
		{"folded letter alone", `{"liſt":[{}]}`, &outer{}},
		{"escaped name", `{"n\u0061me":"a"}`, &outer{Name: "a"}},
		{"name twice", `{"name":"a","name":"a"}`, nil},
		{"escaped name twice", `{"name":"a","n\u0061me":"a"}`, nil},
		{"unknown name twice", `{"x":{"y":[{"z":1,"z":2}]}}`, nil},
		{"same name in two objects", `{"list":[{"id":"b"},{"id":"c"}]}`, &outer{List: []inner{{"b"}, {"c"}}}},
		{"names of a map", `{"labels":{"Name":"a","name":"b"}}`, &outer{Labels: map[string]string{"Name": "a", "name": "b"}}},
		{"name twice in a map", `{"labels":{"a":"b","a":"c"}}`, nil},
		{"unknown names", `{"":1,"y":{"name":"b"},"quote\"":[[]],"name":"a"}`, &outer{Name: "a"}},
		{"two documents", `{"name":"a"}{"name":"a"}`, nil},
		{"bytes after it", `{"name":"a"} x`, nil},
		{"NUL after it", `{"name":"a"}` + "\x00", nil},
		{"byte order mark", "\xef\xbb\xbf" + `{"name":"a"}`, nil},
		{"not UTF-8", `{"name":"a` + "\xff" + `"}`, nil},
		{"surrogate as UTF-8", `{"name":"` + "\xed\xa0\x80" + `"}`, nil},
		{"not UTF-8 in an unknown field", `{"x":"a` + "\xff" + `"}`, nil},
		{"half of a pair", `{"name":"\ud83d"}`, nil},
		{"half of a pair, then another escape", `{"name":"\ud83d\u0041"}`, nil},
		{"second half alone", `{"name":"\uDE00"}`, nil},
		{"two first halves", `{"name":"\ud83d\ud83d"}`, nil},
		{"pair", `{"name":"\ud83d\uDE00"}`, &outer{Name: "😀"}},
		{"escaped backslash", `{"name":"\\ud83d"}`, &outer{Name: `\ud83d`}},
		{"replacement character", `{"name":"\ufffd"}`, &outer{Name: "\ufffd"}},
		{"deep", `{"x":` + strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000) + `}`, nil},
		{"many names", `{` + manyNames + `"name":"a"}`, &outer{Name: "a"}},
		{"a late name twice", `{` + manyNames + `"name":"a","x29":1}`, nil},
		{"null", `null`, &outer{}},
		{"other type", `{"name":7}`, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			document := []byte(tc.document)
			var got outer
			err := jsonstrict.Unmarshal(document, &got)
			is.Equal(string(document), tc.document)
			is.Equal(err == nil, tc.want != nil) // err
			if tc.want != nil {
				is.Equal(got, *tc.want)
			}
		})
	}
	is := is.New(t)
	is.True(jsonstrict.UnmarshalKnown([]byte(`{"Name":"a"}`), new(outer)) != nil)
	is.NoErr(jsonstrict.UnmarshalKnown([]byte(`{"name":"a","labels":{"Name":"b"}}`), new(outer)))
}

// unique reads one value by the tokens of encoding/json and reports whether the names of
// each of its objects are unique.
func unique(dec *json.Decoder) bool {
	token, err := dec.Token()
	if err != nil {
		return false
	}
	ok := true
	if token == json.Delim('{') || token == json.Delim('[') {
		seen := make(map[any]bool)
		for dec.More() {
			if token == json.Delim('{') {
				name, err := dec.Token()
				ok = ok && err == nil && !seen[name]
				seen[name] = true
			}
			ok = unique(dec) && ok
		}
		_, err = dec.Token()
	}
	return ok && err == nil
}

// FuzzUnmarshal guards against a panic, a name that occurs twice and isn't found, and a
// document that is refused though its names are unique and its texts are Unicode.
func FuzzUnmarshal(f *testing.F) {
	for _, seed := range []string{
		`{"name":"a","list":[{"id":"b"}]}`, `{"Name":"\ud83d\ude00"}`, `{"labels":{"a":"b","a":"c"}}`, `{"a":"\\","b":[1e3,-0.5,true,null]}`, `"\ud83d`, " [\t{} , {\"x\\u0061\" : {}}\n]",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, document []byte) {
		var got any
		accepted := jsonstrict.Unmarshal(document, &got) == nil
		dec := json.NewDecoder(bytes.NewReader(document))
		dec.UseNumber()
		one := json.Valid(document) && unique(dec)
		if accepted && !one {
			t.Fatalf("%q is accepted", document)
		}
		if one && !accepted && utf8.Valid(document) && !bytes.Contains(document, []byte(`\u`)) && json.Unmarshal(document, new(any)) == nil {
			t.Fatalf("%q is refused", document)
		}
		_ = jsonstrict.UnmarshalKnown(document, new(outer))
	})
}
