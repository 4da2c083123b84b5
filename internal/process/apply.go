package process

import (
	"context"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/policy"
)

type applyFunc func(ctx context.Context, args *controlrpc.ApplyArgs) (*controlrpc.ApplyReply, error)

// checkedApply returns apply for operators. The checks of new configurations stand here,
// since the replicated state of hosts of two releases must accept the same.
func checkedApply(apply applyFunc) applyFunc {
	return func(ctx context.Context, args *controlrpc.ApplyArgs) (*controlrpc.ApplyReply, error) {
		if _, err := policy.ParseNew("policy.toml", args.Text); err != nil {
			return &controlrpc.ApplyReply{Answer: controlrpc.Answer{Kind: errkind.BadRequest, Detail: err.Error()}}, nil
		}
		return apply(ctx, args)
	}
}
