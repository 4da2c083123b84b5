package entry_test

import (
	_ "embed"
	"strings"
	"testing"

	"github.com/arbutusring/arbutusring/internal/entry"
	"github.com/arbutusring/arbutusring/pkg/errkind"
)

//go:embed testdata/statements.txt
var statementCases string

// TestClassify guards against the failures described at the top of
// testdata/statements.txt.
func TestClassify(t *testing.T) {
	cases := 0
	for line := range strings.Lines(statementCases) {
		line = strings.TrimSuffix(line, "\n")
		if strings.HasPrefix(line, "#") {
			continue
		}
		want, sql, ok := strings.Cut(line, "\t")
		if !ok {
			t.Fatalf("line %q has no tab", line)
		}
		cases++
		var classes []string
		for _, st := range entry.Classify(strings.ReplaceAll(sql, `\n`, "\n")) {
			classes = append(classes, st.Class.String())
		}
		if got := strings.Join(classes, ","); got != want {
			t.Errorf("%s: classified as %s, want %s", sql, got, want)
		}
	}
	if cases < 80 {
		t.Errorf("only %d cases were read", cases)
	}
}

// TestDecide guards, for every error kind, against a statement that runs twice,
// against a write that is sent to a replica, and against a request for an outcome
// that is known already.
func TestDecide(t *testing.T) {
	for _, kind := range errkind.Kinds() {
		for _, delivery := range []entry.Delivery{entry.NotSent, entry.NoAnswer, entry.Answered} {
			for _, repeatable := range []bool{false, true} {
				for _, write := range []bool{false, true} {
					action := entry.Decide(kind, delivery, repeatable, write)
					again := action == entry.OtherMember || action == entry.Wait
					mayHaveRun := delivery == entry.NoAnswer || delivery == entry.Answered && kind.Info().Outcome != errkind.NotRun
					switch {
					case again && mayHaveRun && !repeatable:
						t.Errorf("%s, delivery %d: %s repeats a statement that may have run", kind, delivery, action)
					case action == entry.OtherMember && write:
						t.Errorf("%s, delivery %d: a write goes to another member", kind, delivery)
					case action == entry.AskOutcome && delivery != entry.NoAnswer:
						t.Errorf("%s, delivery %d: asks for an outcome that is known", kind, delivery)
					}
				}
			}
		}
	}
	rows := []struct {
		kind              errkind.Kind
		delivery          entry.Delivery
		repeatable, write bool
		want              entry.Action
	}{
		{errkind.Overloaded, entry.Answered, true, false, entry.OtherMember},
		{errkind.Overloaded, entry.Answered, true, true, entry.GiveUp},
		{errkind.DeadlineExceeded, entry.Answered, true, false, entry.GiveUp},
		{errkind.NoPrimary, entry.NotSent, false, true, entry.Wait},
		{errkind.NoMember, entry.NotSent, true, false, entry.Wait},
		{errkind.NotOwner, entry.Answered, false, false, entry.OtherMember},
		{errkind.StaleTerm, entry.Answered, false, true, entry.Wait},
		{errkind.PositionNotReached, entry.Answered, true, false, entry.OtherMember},
		{errkind.ReadOnlyMember, entry.Answered, false, false, entry.OtherMember},
		{errkind.ConnectFailed, entry.NotSent, false, true, entry.Wait},
		{errkind.ConnectFailed, entry.NotSent, false, false, entry.OtherMember},
		{errkind.RequestInProgress, entry.Answered, true, true, entry.Wait},
		{errkind.ServerLost, entry.NoAnswer, true, false, entry.OtherMember},
		{errkind.ServerLost, entry.NoAnswer, false, false, entry.AskOutcome},
		{errkind.ServerLost, entry.NoAnswer, false, true, entry.AskOutcome},
		{errkind.ServerLost, entry.Answered, false, true, entry.GiveUp},
		{errkind.ServerLost, entry.Answered, true, false, entry.OtherMember},
		{errkind.OutcomeUnknown, entry.Answered, true, true, entry.Wait},
		{errkind.AnswerTooLarge, entry.Answered, true, false, entry.GiveUp},
		{errkind.TransactionLost, entry.Answered, true, true, entry.GiveUp},
		{errkind.Cancelled, entry.Answered, true, false, entry.GiveUp},
		{errkind.BadRequest, entry.Answered, true, false, entry.GiveUp},
	}
	for _, r := range rows {
		if got := entry.Decide(r.kind, r.delivery, r.repeatable, r.write); got != r.want {
			t.Errorf("Decide(%s, %d, repeatable %t, write %t) = %s, want %s", r.kind, r.delivery, r.repeatable, r.write, got, r.want)
		}
	}
}
