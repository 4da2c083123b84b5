package directory

import (
	"context"
	"time"

	"github.com/arbutusring/arbutusring/internal/directoryrpc"
)

const (
	// minChangeDelay and maxChangeDelay bound how long changes of servers are
	// collected before hosts are sent them. When hundreds of servers start, hosts
	// would otherwise send a request for each.
	minChangeDelay = 100 * time.Millisecond
	maxChangeDelay = time.Second
	// changeDelayPerHost limits the requests of all hosts that follow such changes
	// to 1,000 a second.
	changeDelayPerHost = time.Millisecond
)

// changeDelay returns the minimum time between two changes that are sent to all
// hosts and are not urgent.
func (l *leadership) changeDelay() time.Duration {
	return min(max(time.Duration(l.hostCount())*changeDelayPerHost, minChangeDelay), maxChangeDelay)
}

// namingDelay returns how long the first primary of a group is collected with other
// changes. Its group takes no statements until then, so that a few hosts are sent it
// almost at once.
func (l *leadership) namingDelay() time.Duration {
	return min(time.Duration(l.hostCount())*changeDelayPerHost, maxChangeDelay)
}

// awaitChange waits until the state is newer than version or a host begins to
// suspect a primary, but not longer than wait or the leadership. Changes that are
// not urgent are collected, for longer the more hosts there are.
func (l *leadership) awaitChange(version uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	_, suspicion := l.sessions.askedGroups()
	end := time.Now().Add(wait)
	shorten := func(delay time.Duration) {
		if at := time.Now().Add(delay); at.Before(end) {
			end = at
			timer.Reset(delay)
		}
	}
	for collecting, naming := false, false; ; {
		changed, urgent, named := l.machine.Changed(), l.machine.UrgentChanged(), l.machine.NamedChanged()
		switch {
		case l.machine.UrgentVersion() > version:
			return
		case l.machine.NamedVersion() > version && !naming:
			collecting, naming = true, true
			shorten(l.namingDelay())
		case l.machine.Version() > version && !collecting:
			collecting = true
			shorten(l.changeDelay())
		}
		if naming {
			named = nil
		}
		if collecting {
			changed = nil // hundreds of hosts would wake at each of hundreds of changes
		}
		select {
		case <-changed:
		case <-urgent:
		case <-named:
		case <-suspicion:
			return
		case <-l.ctx.Done():
			return
		case <-timer.C:
			return
		}
	}
}

const (
	// wholeStateRate limits the whole states that are sent, in bytes a second. After
	// a power loss all hosts need one; the leases have to pass on the same link.
	wholeStateRate = 6 << 20
	// wholeStateBurst is sent without a limit.
	wholeStateBurst = 1 << 20
	// maxWholeStateWait is how long a host waits for its turn before it is refused.
	// It leaves time for the transfer within the timeout of the host.
	maxWholeStateWait = 200 * time.Millisecond
)

// admitWholeState waits until the host may be sent the whole state, if it needs it.
// It returns false if its turn does not come in time.
func (l *leadership) admitWholeState(version uint64) bool {
	n := l.machine.WholeStateBytes(version)
	if n == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(l.ctx, maxWholeStateWait)
	defer cancel()
	return l.wholeStates.WaitN(ctx, min(n, wholeStateBurst)) == nil
}

// fillState sets the changes since the version of the host, or the state for a host
// of an earlier release.
func (s *Service) fillState(args *directoryrpc.SyncArgs, reply *directoryrpc.SyncReply) {
	switch {
	case s.d.machine.Version() <= args.Version:
	case args.Delta:
		reply.Base, reply.Changes = s.d.machine.ChangesSince(args.Version, args.ConfigVersion)
	default:
		reply.Changed, reply.State = true, s.d.machine.State()
		if args.ConfigVersion == reply.State.ConfigVersion {
			reply.State.Document = nil
		}
	}
}
