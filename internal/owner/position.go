package owner

import (
	"context"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/internal/ownerrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/logpos"
)

// confirmedPosition returns a position at or after every write of the group
// that was acknowledged before the call.
func (o *Owner) confirmedPosition(ctx context.Context, args *ownerrpc.PositionArgs) (logpos.Position, error) {
	s, l, err := o.primaryServer(args.Group)
	if err != nil {
		return logpos.Position{}, err
	}
	if args.Term != 0 && args.Term != l.Term {
		return logpos.Position{}, errkind.New(errkind.StaleTerm, "the request names term %d, the lease is for term %d", args.Term, l.Term)
	}
	base, err := s.readBaseline(ctx, l)
	if err != nil {
		return logpos.Position{}, err
	}
	// A write advances acked before its last lease check, so acked includes
	// every write that was acknowledged before this call.
	s.monitor.mu.Lock()
	pos := base.Max(s.monitor.acked)
	s.monitor.mu.Unlock()
	if current, ok := s.leases.validLease(s.id); !ok || !current.Primary || current.Term != l.Term || current.Epoch != l.Epoch || s.monitor.fencedAbove(l.Term) {
		return logpos.Position{}, errkind.New(errkind.NotOwner, "the lease of server %s ended while the position was read", s.id)
	}
	return pos, nil
}

// primaryServer returns the owned server that is the primary of a group, with
// its lease.
func (o *Owner) primaryServer(group string) (*server, controlrpc.HeldLease, error) {
	for _, s := range o.listServers() {
		if s.group != group {
			continue
		}
		if l, ok := s.leases.validLease(s.id); ok && l.Primary {
			return s, l, nil
		}
	}
	return nil, controlrpc.HeldLease{}, errkind.New(errkind.NotOwner, "the host does not own the primary of group %s", group)
}

// readBaseline returns a position of the primary that was read under lease l.
// It is read only once for each lease, because later writes are acknowledged by
// this host.
func (s *server) readBaseline(ctx context.Context, l controlrpc.HeldLease) (logpos.Position, error) {
	s.mu.Lock()
	b := s.baseline
	s.mu.Unlock()
	if b.known && b.epoch == l.Epoch && b.term == l.Term {
		return b.position, nil
	}
	st, err := s.monitor.waitStatus(ctx)
	if err != nil {
		return logpos.Position{}, errkind.Wrap(errkind.NoPrimary, err, "could not read the position of server %s", s.id)
	}
	if !st.Primary || st.Term != l.Term {
		return logpos.Position{}, errkind.New(errkind.NoPrimary, "server %s does not serve term %d as primary", s.id, l.Term)
	}
	pos := st.Received.Max(st.Applied)
	s.mu.Lock()
	s.baseline = baseline{epoch: l.Epoch, term: l.Term, position: pos, known: true}
	s.mu.Unlock()
	return pos, nil
}
