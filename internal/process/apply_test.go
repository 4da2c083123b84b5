package process_test

import (
	"context"
	"testing"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/internal/process"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/matryer/is"
)

// TestAmbiguousConfiguration guards against a configuration with two meanings that is put
// into force through the operator address, past the checks of the command.
func TestAmbiguousConfiguration(t *testing.T) {
	const valid = "[[database_group]]\nname = \"a\"\nmembers = 1\n"
	for text, want := range map[string]errkind.Kind{valid: errkind.OK, valid + "Name = \"b\"\n": errkind.BadRequest, valid + "Members = 3\n": errkind.BadRequest} {
		is := is.New(t)
		applied := 0
		reply, err := process.CheckedApply(func(context.Context, *controlrpc.ApplyArgs) (*controlrpc.ApplyReply, error) {
			applied++
			return new(controlrpc.ApplyReply), nil
		})(t.Context(), &controlrpc.ApplyArgs{Text: text})
		is.NoErr(err)
		is.Equal(reply.Kind, want) // text
		is.Equal(applied == 1, want == errkind.OK)
	}
}
