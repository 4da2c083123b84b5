package faulttest

import (
	"fmt"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
)

// Finding is one violated guarantee.
type Finding struct {
	Guarantee string
	Op        Op
	Text      string
}

// String returns the guarantee, the text and the operation.
func (f Finding) String() string {
	return fmt.Sprintf("%s: %s: session %d %s key=%s tags=%v [%s, %s] %s %s", f.Guarantee, f.Text, f.Op.Session, f.Op.Kind,
		f.Op.Key, f.Op.Tags, f.Op.Start, f.Op.End, f.Op.Outcome, f.Op.Detail)
}

// porcupineTimeout bounds the linearizability check of one key.
const porcupineTimeout = 20 * time.Second

// Check compares a history with the values that were there in the end.
func Check(ops []Op, final map[string]string) []Finding {
	var found []Finding
	add := func(guarantee string, op Op, format string, args ...any) {
		found = append(found, Finding{Guarantee: guarantee, Op: op, Text: fmt.Sprintf(format, args...)})
	}
	for _, op := range ops {
		checkFinal(op, final, add)
	}
	checkReads(ops, add)
	checkLinearizable(ops, final, add)
	return found
}

type addFunc func(guarantee string, op Op, format string, args ...any)

// occurrences counts a tag in a value. Tags end with a comma and start after
// one, so that "1.2," is not found in "11.2,".
func occurrences(value, tag string) int {
	n := strings.Count(value, ","+tag)
	if strings.HasPrefix(value, tag) {
		n++
	}
	return n
}

func checkFinal(op Op, final map[string]string, add addFunc) {
	present := 0
	for key, tag := range op.Tags {
		n := occurrences(final[key], tag)
		present += min(n, 1)
		switch {
		case n > 1:
			add("at most once", op, "tag %s is there %d times in %s", tag, n, key)
		case n == 0 && op.Outcome == Acked:
			add("acknowledged writes survive", op, "tag %s is missing in %s", tag, key)
		case n > 0 && op.Outcome == NotRun:
			add("not run means not run", op, "tag %s is in %s", tag, key)
		}
	}
	if present != 0 && present != len(op.Tags) {
		add("transactions are atomic", op, "%d of %d tags are there", present, len(op.Tags))
	}
}

// checkReads checks read-your-writes: of the session itself, and for sessions
// without a token of everything acknowledged before they connected.
func checkReads(ops []Op, add addFunc) {
	for _, r := range ops {
		if r.Kind != OpRead || r.Outcome != Acked {
			continue
		}
		for _, a := range ops {
			tag, ok := a.Tags[r.Key]
			if !ok || a.Outcome != Acked {
				continue
			}
			own := a.Session == r.Session && a.End < r.Start
			before := r.Fresh && a.End < r.Opened
			if (own || before) && occurrences(r.Value, tag) == 0 {
				add("read-your-writes", r, "tag %s of session %d, acknowledged at %s, is missing in %q (own %t, fresh %t, opened %s)",
					tag, a.Session, a.End, r.Value, own, r.Fresh, r.Opened)
			}
		}
	}
}

// register is an operation on one key for porcupine: an append with the value
// that it returned, or the final read.
type register struct {
	tag      string
	read     bool
	returned string // empty if the append returned no value
}

// model is a value to which tags are appended. An append of unknown outcome
// never ends, so porcupine may place it after everything, which stands for
// not being executed.
var model = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, _ any) (bool, any) {
		value, op := state.(string), input.(register)
		if op.read {
			return op.returned == value, value
		}
		next := value + op.tag
		return op.returned == "" || op.returned == next, next
	},
}

func checkLinearizable(ops []Op, final map[string]string, add addFunc) {
	var last time.Duration
	for _, op := range ops {
		last = max(last, op.End)
	}
	for key, value := range final {
		var events []porcupine.Operation
		for _, op := range ops {
			tag, ok := op.Tags[key]
			if !ok || occurrences(value, tag) == 0 {
				continue // an append that never took effect; checkFinal judges it
			}
			end := op.End
			if op.Outcome != Acked {
				end = last + 1
			}
			events = append(events, porcupine.Operation{
				ClientId: op.Session, Input: register{tag: tag, returned: op.Value},
				Call: int64(op.Start), Return: int64(end),
			})
		}
		events = append(events, porcupine.Operation{
			ClientId: -1, Input: register{read: true, returned: value}, Call: int64(last + 2), Return: int64(last + 3),
		})
		if porcupine.CheckOperationsTimeout(model, events, porcupineTimeout) != porcupine.Ok {
			add("appends are linearizable", Op{Key: key}, "key %s with %d appends, final value %q", key, len(events)-1, value)
		}
	}
}
