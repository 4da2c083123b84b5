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

// callAll calls every member and every joining server concurrently, and returns
// the answers that arrive within the timeout.
func (a *attempt) callAll(ctx context.Context, timeout time.Duration, call memberCall) map[string]MemberStatus {
	all := maps.Clone(a.members)
	maps.Copy(all, a.joining)
	return a.callServers(ctx, all, timeout, len(all), len(all), call)
}

// memberCall calls one function of Members.
type memberCall func(ctx context.Context, s controlrpc.Server) (MemberStatus, error)

// callServers calls every server concurrently. Once enough have answered, it
// waits for the others for at most Options.FenceGrace, and not at all once as
// many as expected have answered.
func (a *attempt) callServers(
	ctx context.Context, servers map[string]controlrpc.Server, timeout time.Duration, enough, expected int, call memberCall,
) map[string]MemberStatus {
	ctx, cancel := context.WithTimeout(ctx, timeout)
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
				a.logger.Debug().Err(err).Str("server", id).Msg("call to backend server failed")
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
