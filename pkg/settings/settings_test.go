package settings_test

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/arbutusring/arbutusring/pkg/settings"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestErrorsNameFileLineAndKey guards against an error without file, line or
// key. A comment "# ERROR text" states the error that its line must cause,
// "# ERRORS text" an error of the whole file, which has no line. There must be
// no other error.
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
			role, _, _ := strings.Cut(filepath.Base(file), "_")
			_, err = settings.Parse("F", string(text), settings.Role(role))
			got := ""
			if err != nil {
				got = err.Error()
			}
			want := 0
			for i, line := range strings.Split(string(text), "\n") {
				expected := ""
				if _, text, ok := strings.Cut(line, "# ERROR "); ok {
					expected = "F:" + strconv.Itoa(i+1) + ": " + text
				} else if _, text, ok := strings.Cut(line, "# ERRORS "); ok {
					expected = "F: " + text
				} else {
					continue
				}
				want++
				if !strings.Contains(got, expected) {
					t.Errorf("error %q does not contain %q", got, expected)
				}
			}
			if n := strings.Count(got, "F:"); n != want {
				t.Errorf("%d errors, want %d: %s", n, want, got)
			}
		})
	}
}

// TestLoadChecksDataFolder guards against starting a control process without its
// data folder: it would fail later or write elsewhere.
func TestLoadChecksDataFolder(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	regularFile := filepath.Join(dir, "plain")
	is.NoErr(os.WriteFile(regularFile, nil, 0o600))
	for _, row := range []struct{ folder, want string }{
		{dir, ""},
		{filepath.Join(dir, "absent"), "control.toml:4: control.data_folder: "},
		{regularFile, "control.toml:4: control.data_folder: " + regularFile + " is not a folder"},
	} {
		file := filepath.Join(dir, "control.toml")
		is.NoErr(os.WriteFile(file, []byte(`host = { id = "c", data_centre = "d", region = "r" }
listen = { peers = "127.0.0.1:1", operators = "127.0.0.1:2" }
control.addresses = ["127.0.0.1:1"]
control.data_folder = `+strconv.Quote(row.folder)), 0o600))
		_, err := settings.Load(file, settings.RoleControl)
		if row.want == "" {
			is.NoErr(err)
			continue
		}
		is.True(err != nil && strings.Contains(err.Error(), row.want)) // file, line and key
	}
	_, err := settings.Load(filepath.Join(dir, "no.toml"), settings.RoleEntry)
	is.True(err != nil && strings.Contains(err.Error(), "no.toml"))
}

// TestParseNeverPanics guards against a panic at the start of a process,
// whatever its settings file contains.
func TestParseNeverPanics(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Join(rapid.SliceOf(rapid.OneOf(rapid.String(), rapid.SampledFrom([]string{
			"[host]\n", "id = \"a\"\n", "[listen]\n", "peers = \"1.2.3.4:5\"\n", "[control.members]\n", "a = \"b\"\n", "[entry]\n", "stop_timeout = \"1s\"\n",
		}))).Draw(t, "parts"), "")
		for _, role := range []settings.Role{settings.RoleEntry, settings.RoleControl, "other"} {
			_, _ = settings.Parse("F", text, role)
		}
	})
}
