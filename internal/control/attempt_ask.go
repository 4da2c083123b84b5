package control

import (
	"context"
	"maps"
	"time"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
)

func (a *attempt) status(ctx context.Context, s controlrpc.Server) (MemberStatus, error) {
	return a.opts.Members.Status(ctx, s.Address)
}

// askAll calls every member, and the server that is to join, and returns the
// answers that came in time.
func (a *attempt) askAll(ctx context.Context, limit time.Duration, call memberCall) map[string]MemberStatus {
	all := maps.Clone(a.members)
	maps.Copy(all, a.joining)
	return a.askServers(ctx, all, limit, len(all), len(all), call)
}

// memberCall is one call of Members.
type memberCall func(ctx context.Context, s controlrpc.Server) (MemberStatus, error)

// askServers calls every server at the same time. Once enough have answered it
// waits for the others only a little longer, and not at all once as many as
// expected have answered.
func (a *attempt) askServers(
	ctx context.Context, servers map[string]controlrpc.Server, limit time.Duration, enough, expected int, call memberCall,
) map[string]MemberStatus {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	type answer struct {
		id string
		st MemberStatus
		ok bool
	}
	answers := make(chan answer, len(servers))
	for id, s := range servers {
		a.calls.Go(func() {
			st, err := call(ctx, s)
			if err == nil && st.ServerID != id {
				// Another server has taken over the address.
				err = errkind.New(errkind.NoMember, "server %q answers at the address of %q", st.ServerID, id)
			}
			if err != nil {
				a.logger.Debug().Err(err).Str("server", id).Msg("member did not answer")
			}
			answers <- answer{id, st, err == nil}
		})
	}
	out := make(map[string]MemberStatus, len(servers))
	var grace <-chan time.Time
	for range servers {
		select {
		case r := <-answers:
			if r.ok {
				out[r.id] = r.st
			}
		case <-grace:
			return out
		case <-ctx.Done():
			return out
		}
		if len(out) >= max(enough, expected) {
			return out
		}
		if len(out) >= enough && grace == nil {
			grace = time.After(a.opts.FenceGrace)
		}
	}
	return out
}
