package testlog_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/arbutusring/arbutusring/internal/testlog"
	"github.com/matryer/is"
)

// fakeTest is a test that ends when the test sees fit, and may have failed.
type fakeTest struct {
	testing.TB
	failed   bool
	cleanups []func()
	logged   []string
}

func (f *fakeTest) Name() string       { return "TestFake/a case" }
func (f *fakeTest) Helper()            {}
func (f *fakeTest) Failed() bool       { return f.failed }
func (f *fakeTest) Cleanup(end func()) { f.cleanups = append(f.cleanups, end) }
func (f *fakeTest) Logf(format string, _ ...any) {
	f.logged = append(f.logged, format)
}

func (f *fakeTest) end() {
	for i := range f.cleanups {
		f.cleanups[len(f.cleanups)-1-i]()
	}
}

// TestFolder guards against logs of a failed test that are lost, and against those of
// passed tests that fill the disk.
func TestFolder(t *testing.T) {
	for _, failed := range []bool{true, false} {
		is := is.New(t)
		fake := &fakeTest{TB: t, failed: failed}
		f := testlog.New(fake)
		for range 2 { // two lives of the process
			_, err := f.Writer("c1").WriteString("line\n")
			is.NoErr(err)
		}
		is.True(strings.HasPrefix(f.Path(), filepath.Join(os.TempDir(), testlog.RootName, "TestFake_a_case-")))
		fake.end()
		got, err := os.ReadFile(filepath.Join(f.Path(), "c1.log"))
		if !failed {
			is.True(os.IsNotExist(err))
			continue
		}
		is.NoErr(err)
		is.Equal(string(got), "line\nline\n")
		is.Equal(len(fake.logged), 1)
		is.True(strings.Contains(fake.logged[0], "slowest sync"))
		is.NoErr(os.RemoveAll(f.Path()))
	}
}
