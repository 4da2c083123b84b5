package gateway_test

import (
	"testing"

	"github.com/arbutusring/arbutusring/internal/correlation"
	"github.com/arbutusring/arbutusring/internal/gateway"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/matryer/is"
)

// TestSpentConnectionsAreNotReused guards against a statement on a connection where a copy
// of an earlier answer could be taken for its own: after an error, or after more answers
// than are remembered.
func TestSpentConnectionsAreNotReused(t *testing.T) {
	runWithGateway(t, func(t *testing.T, is *is.I, group *fakeGroup, g *gateway.Gateway) {
		c := open(t, g, "urgent")
		defer c.Close()
		for range correlation.MaxAnswers + 100 {
			is.Equal(failureKind(c.read("a")), errkind.OK)
		}
		group.update(func() { group.server("s1").busyRefusals = 3 })
		is.Equal(failureKind(c.write("b")), errkind.OK)
		is.Equal(failureKind(c.read("b")), errkind.OK)
		group.update(func() {
			is.Equal(group.openedConns, 5) // the first, one after 1,024 answers, and one after each refusal
			is.Equal(group.spent, 0)
		})
	})
}
