package owner

import (
	"context"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/internal/ownerrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/logpos"
)

// position returns a position at or after every write of the group that was
// acknowledged before the call.
func (o *Owner) position(ctx context.Context, args *ownerrpc.PositionArgs) (logpos.Position, error) {
	s, l, err := o.primary(args.Group)
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
	// A write raises acked before its own check of the lease, so a write that
	// was acknowledged before this call is seen here.
	s.monitor.mu.Lock()
	pos := base.Max(s.monitor.acked)
	s.monitor.mu.Unlock()
	if now, ok := s.leases.valid(s.id); !ok || !now.Primary || now.Term != l.Term || now.Epoch != l.Epoch || s.monitor.fencedAbove(l.Term) {
		return logpos.Position{}, errkind.New(errkind.NotOwner, "the lease of server %s ended meanwhile", s.id)
	}
	return pos, nil
}

// primary returns the owned server that is the primary of a group.
func (o *Owner) primary(group string) (*server, controlrpc.HeldLease, error) {
	for _, s := range o.list() {
		if s.group != group {
			continue
		}
		if l, ok := s.leases.valid(s.id); ok && l.Primary {
			return s, l, nil
		}
	}
	return nil, controlrpc.HeldLease{}, errkind.New(errkind.NotOwner, "the host does not own the primary of group %s", group)
}

// readBaseline returns a position of the primary that was read under lease l.
// It is read once for each lease: later writes are acknowledged by this host.
func (s *server) readBaseline(ctx context.Context, l controlrpc.HeldLease) (logpos.Position, error) {
	s.mu.Lock()
	b := s.baseline
	s.mu.Unlock()
	if b.known && b.epoch == l.Epoch && b.term == l.Term {
		return b.position, nil
	}
	st, err := s.monitor.waitStatus(ctx)
	if err != nil {
		return logpos.Position{}, errkind.Wrap(errkind.NoPrimary, err, "reading the position of server %s", s.id)
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
