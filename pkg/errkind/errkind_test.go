package errkind_test

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/matryer/is"
)

// TestOfKeepsKindThroughWrapping guards against losing the kind, and with it
// the stated outcome, when a caller adds context to an error.
func TestOfKeepsKindThroughWrapping(t *testing.T) {
	is := is.New(t)
	cause := errors.New("connection reset")
	err := fmt.Errorf("group %q: %w", "orders", errkind.Wrap(errkind.ServerLost, cause, "reading the answer"))
	is.Equal(errkind.Of(err), errkind.ServerLost)
	is.True(errors.Is(err, cause))
	is.Equal(errkind.Of(nil), errkind.OK)
	is.Equal(errkind.Of(cause), errkind.Internal)
}

// TestUnknownOutcomeIsNeverRetryable guards against advising a caller to
// resend a request that may have been executed.
func TestUnknownOutcomeIsNeverRetryable(t *testing.T) {
	for _, k := range errkind.Kinds() {
		info := k.Info()
		if info.Retry && info.Outcome != errkind.NotRun {
			t.Errorf("kind %s: retry is advised although the outcome is %s", k, info.Outcome)
		}
		if len(info.SQLState) != 5 {
			t.Errorf("kind %s: SQLSTATE %q is not five characters long", k, info.SQLState)
		}
	}
	if errkind.Kind("no_such_kind").Info().Outcome != errkind.Unknown {
		t.Error("a kind outside the list must have an unknown outcome")
	}
}

// TestErrorPageMatchesTable guards against documenting an outcome that differs
// from the one that callers receive.
func TestErrorPageMatchesTable(t *testing.T) {
	page, err := os.ReadFile("../../docs/errors.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, k := range errkind.Kinds() {
		info := k.Info()
		retry := "no"
		if info.Retry {
			retry = "yes"
		}
		row := fmt.Sprintf("| `%s` | %s | %s | %s |", k, info.SQLState, info.Outcome, retry)
		if !strings.Contains(string(page), row) {
			t.Errorf("docs/errors.md has no row %q", row)
		}
	}
}
