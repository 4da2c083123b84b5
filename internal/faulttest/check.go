package faulttest

import (
	"fmt"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
)

// Finding describes one violation of a guarantee.
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

// porcupineTimeout bounds the linearizability check of one key. A check that
// takes longer counts as failed.
const porcupineTimeout = 20 * time.Second

// Check checks the guarantees of the package comment for a history, given the
// final values by key, and returns the violations.
func Check(ops []Op, final map[string]string) []Finding {
	var findings []Finding
	add := func(guarantee string, op Op, format string, args ...any) {
		findings = append(findings, Finding{Guarantee: guarantee, Op: op, Text: fmt.Sprintf(format, args...)})
	}
	for _, op := range ops {
		checkFinal(op, final, add)
	}
	checkReads(ops, add)
	checkLinearizable(ops, final, add)
	return findings
}

type addFindingFunc func(guarantee string, op Op, format string, args ...any)

// occurrences counts how often a tag occurs in a value. A tag ends with a
// comma and starts at the beginning or after a comma, so that "1.2," is not
// found in "11.2,".
func occurrences(value, tag string) int {
	n := strings.Count(value, ","+tag)
	if strings.HasPrefix(value, tag) {
		n++
	}
	return n
}

// checkFinal compares the outcome of an operation with the final values: each
// of its tags must occur as often as the outcome says, and the tags of a
// transaction all or none.
func checkFinal(op Op, final map[string]string, add addFindingFunc) {
	present := 0
	for key, tag := range op.Tags {
		n := occurrences(final[key], tag)
		present += min(n, 1)
		switch {
		case n > 1:
			add("at most once", op, "tag %s occurs %d times in the value of %s", tag, n, key)
		case n == 0 && op.Outcome == Acked:
			add("acknowledged writes survive", op, "tag %s is missing in the value of %s", tag, key)
		case n > 0 && op.Outcome == NotRun:
			add("not run means not run", op, "tag %s occurs in the value of %s", tag, key)
		}
	}
	if present != 0 && present != len(op.Tags) {
		add("transactions are atomic", op, "%d of %d tags are present", present, len(op.Tags))
	}
}

// checkReads checks read-your-writes: a read must return the writes that were
// acknowledged to its own session before it started. If the session connected
// without a token, it must also return all writes that were acknowledged to
// any session before it connected.
func checkReads(ops []Op, add addFindingFunc) {
	for _, r := range ops {
		if r.Kind != OpRead || r.Outcome != Acked {
			continue
		}
		for _, a := range ops {
			tag, ok := a.Tags[r.Key]
			if !ok || a.Outcome != Acked {
				continue
			}
			ownWrite := a.Session == r.Session && a.End < r.Start
			ackedBeforeConnect := r.Fresh && a.End < r.Opened
			if (ownWrite || ackedBeforeConnect) && occurrences(r.Value, tag) == 0 {
				add("read-your-writes", r, "tag %s of session %d, acknowledged at %s, is missing in %q (own %t, fresh %t, opened %s)",
					tag, a.Session, a.End, r.Value, ownWrite, r.Fresh, r.Opened)
			}
		}
	}
}

// registerInput is the porcupine input of an operation on one key: an append
// with the value that it returned, or the final read.
type registerInput struct {
	tag      string
	read     bool
	returned string // empty if the append returned no value
}

// registerModel is the porcupine model of a key: a value to which tags are
// appended. An append without an acknowledgement ends just before the final
// read, so porcupine may place it anywhere after its start.
var registerModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, _ any) (bool, any) {
		value, op := state.(string), input.(registerInput)
		if op.read {
			return op.returned == value, value
		}
		next := value + op.tag
		return op.returned == "" || op.returned == next, next
	},
}

// checkLinearizable checks the appends that took effect on each key, and the
// final read of the key, for linearizability.
func checkLinearizable(ops []Op, final map[string]string, add addFindingFunc) {
	var lastEnd time.Duration
	for _, op := range ops {
		lastEnd = max(lastEnd, op.End)
	}
	for key, value := range final {
		var operations []porcupine.Operation
		for _, op := range ops {
			tag, ok := op.Tags[key]
			if !ok || occurrences(value, tag) == 0 {
				continue // the append never took effect; checkFinal checks that this was allowed
			}
			end := op.End
			if op.Outcome != Acked {
				end = lastEnd + 1
			}
			operations = append(operations, porcupine.Operation{
				ClientId: op.Session, Input: registerInput{tag: tag, returned: op.Value},
				Call: int64(op.Start), Return: int64(end),
			})
		}
		operations = append(operations, porcupine.Operation{
			ClientId: -1, Input: registerInput{read: true, returned: value}, Call: int64(lastEnd + 2), Return: int64(lastEnd + 3),
		})
		if porcupine.CheckOperationsTimeout(registerModel, operations, porcupineTimeout) != porcupine.Ok {
			add("appends are linearizable", Op{Key: key}, "key %s with %d appends, final value %q", key, len(operations)-1, value)
		}
	}
}
