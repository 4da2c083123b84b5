package tomlstrict_test

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/pkg/tomlstrict"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

type row struct {
	ID   string              `toml:"id"`
	Wait tomlstrict.Duration `toml:"wait"`
}

type document struct {
	Name  string              `toml:"name"`
	Count int                 `toml:"count"`
	Wait  tomlstrict.Duration `toml:"wait"`
	Rows  []row               `toml:"row"`
}

// TestErrorsNameFileLineAndKey guards against an error without file, line or
// key: a comment "# ERROR text" states the error that its line must cause. There
// must be no other error.
func TestErrorsNameFileLineAndKey(t *testing.T) {
	files, err := filepath.Glob("testdata/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatalf("no test data: %v", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			err = tomlstrict.Decode("F", string(text), new(document))
			got := ""
			if err != nil {
				got = err.Error()
			}
			want := 0
			for i, line := range strings.Split(string(text), "\n") {
				if _, text, ok := strings.Cut(line, "# ERROR "); ok {
					want++
					if expected := "F:" + strconv.Itoa(i+1) + ": " + text; !strings.Contains(got, expected) {
						t.Errorf("error %q does not contain %q", got, expected)
					}
				}
			}
			if n := strings.Count(got, "F:"); n != want {
				t.Errorf("%d errors, want %d: %s", n, want, got)
			}
		})
	}
}

// TestLocate guards against wrong line numbers in the errors of checks after
// decoding, also below arrays of tables and in inline tables.
func TestLocate(t *testing.T) {
	lines := tomlstrict.Locate("a = 1\n[t]\nb.c = 2\nin = { d = 3 }\n[[r]]\ne = 4\n[[r]]\n[r.sub]\nf = 5\n[[r.deep]]\ng = 6\n")
	for path, line := range map[string]int{
		"a": 1, "t": 2, "t.b.c": 3, "t.in.d": 4, "r[0]": 5, "r[0].e": 6, "r[1]": 7, "r[1].sub.f": 9, "r[1].deep[0].g": 11,
	} {
		if lines[path] != line {
			t.Errorf("%s: line %d, want %d; all: %v", path, lines[path], line, lines)
		}
	}
	is := is.New(t)
	is.Equal(lines.At("f", "t.b.c"), "f:3: t.b.c")
	is.Equal(lines.At("f", "absent"), "f: absent")
}

// TestDecodeNeverPanics guards against a panic at the start of a process,
// whatever its file contains.
func TestDecodeNeverPanics(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.SliceOf(rapid.OneOf(rapid.String(), rapid.SampledFrom([]string{
			"name", "=", "\"a\"", "\n", "[", "]", "[[row]]", "[row.x]", "{", "}", ".", "wait = \"1s\"", "#", "'", "0x", "2026-01-01",
		}))).Draw(t, "parts")
		text := strings.Join(parts, "")
		_ = tomlstrict.Decode("F", text, new(document))
		tomlstrict.Locate(text)
	})
}

// TestDurationRoundTrip guards against a duration that is read back differently
// than it was written.
func TestDurationRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := tomlstrict.NewDuration(time.Duration(rapid.Int64Min(0).Draw(t, "ns")))
		text, err := d.MarshalText()
		var back tomlstrict.Duration
		if err != nil || back.UnmarshalText(text) != nil || back.Std() != d.Std() {
			t.Fatalf("%d became %s and %d: %v", d, text, back, err)
		}
	})
}
