package leading_test

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/arbutusring/arbutusring/internal/leading"
	"github.com/matryer/is"
)

// leadership is the state of one term.
type leadership struct {
	ctx  context.Context
	term uint64
}

// TestRepeatedNotice guards against a leader that stops serving because it is told
// again that it leads in the same term.
func TestRepeatedNotice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := leading.New(
			func(ctx context.Context, term uint64) *leadership { return &leadership{ctx, term} },
			func(l *leadership) { <-l.ctx.Done() },
		)
		l.Start(func(context.Context) error { return nil })
		defer func() { is.NoErr(l.Stop(context.Background())) }()
		for _, term := range []uint64{3, 3, 4} {
			l.OnLeader(true, term)
			synctest.Wait()
			is.True(l.Current() != nil)
			is.Equal(l.Current().term, term)
		}
		l.OnLeader(false, 4)
		is.True(l.Current() == nil)
	})
}
