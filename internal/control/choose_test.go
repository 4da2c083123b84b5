package control_test

import (
	"fmt"
	"slices"
	"strconv"
	"testing"

	"github.com/arbutusring/arbutusring/internal/control"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/logpos"
	"pgregory.net/rapid"
)

// TestChoose guards against choosing a primary that lacks a position which a
// majority of the members has confirmed, whichever members answer and whichever
// are avoided. It also guards against choosing an avoided member although
// another one has the same position.
func TestChoose(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 7).Draw(t, "members")
		members := make([]int, n)
		for i := range members {
			members[i] = i
		}
		positions := rapid.SliceOfN(rapid.Uint64Range(0, 4), n, n).Draw(t, "positions")
		// The greatest confirmed position is the one that a majority has.
		confirmed := slices.Sorted(slices.Values(positions))[(n-1)/2]
		order := rapid.Permutation(members).Draw(t, "order")
		answered := rapid.IntRange(0, n).Draw(t, "answered")
		avoided := rapid.SliceOfN(rapid.Bool(), n, n).Draw(t, "avoid")
		fenced := make(map[string]control.MemberStatus)
		allowed, allowedMax, top := 0, uint64(0), uint64(0)
		for _, i := range order[:answered] {
			fenced[fmt.Sprint(i)] = control.MemberStatus{Received: logpos.Position{Term: 1, LSN: positions[i]}}
			top = max(top, positions[i])
			if !avoided[i] {
				allowed, allowedMax = allowed+1, max(allowedMax, positions[i])
			}
		}
		avoid := func(id string) bool {
			i, err := strconv.Atoi(id)
			return err == nil && avoided[i]
		}
		id, err := control.Choose(fenced, n, avoid)
		if answered <= n/2 {
			if errkind.Of(err) != errkind.NoMember {
				t.Fatalf("chose %q by %d of %d members: %v", id, answered, n, err)
			}
			return
		}
		if err != nil || fenced[id].Received.LSN < confirmed {
			t.Fatalf("chose %q at %v without %d: %v", id, fenced[id].Received, confirmed, err)
		}
		if allowed > 0 && allowedMax == top && avoid(id) {
			t.Fatalf("chose %q, which is to be avoided", id)
		}
	})
}
