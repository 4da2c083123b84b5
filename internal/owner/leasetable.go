package owner

import (
	"sync"
	"time"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
)

// leaseTable holds the leases of the newest heartbeat reply and what was
// revoked since.
//
// New work needs a lease that the newest reply lists, whose time has not
// passed and that was not revoked. When a reply no longer lists a lease, or
// no longer as the primary, work in progress may still finish within the time
// that the last listing granted, unless a revocation ends it. Control gives a
// lease or a role to another holder only after that time or after the
// revocation was confirmed, so a planned move cuts off no request.
type leaseTable struct {
	mu      sync.Mutex
	sentAt  time.Time             // of the newest reply
	held    map[string]grant      // by server id; listed by the newest reply
	lapsing map[string]grant      // by server id; no longer listed as it was
	revoked map[string]revocation // by server id
}

func newLeaseTable() *leaseTable {
	return &leaseTable{held: map[string]grant{}, lapsing: map[string]grant{}, revoked: map[string]revocation{}}
}

// set replaces the leases by those of a reply to a heartbeat sent at sentAt.
// It ignores replies that are older than the newest one.
func (t *leaseTable) set(sentAt time.Time, reply *controlrpc.HeartbeatReply) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !sentAt.After(t.sentAt) {
		return false
	}
	t.sentAt = sentAt
	old := t.held
	t.held = make(map[string]grant, len(reply.Leases))
	for _, l := range reply.Leases {
		if g, ok := t.allowed(grant{l, sentAt.Add(reply.TTL)}); ok {
			t.held[l.Server] = g
		}
	}
	for _, g := range old {
		t.lapse(g)
	}
	for id, g := range t.lapsing {
		if !g.inTime() {
			delete(t.lapsing, id)
		}
	}
	return true
}

// allowed returns what revocations leave of a grant.
func (t *leaseTable) allowed(g grant) (grant, bool) {
	r := t.revoked[g.Server]
	if g.Term <= r.term {
		g.Primary = false
	}
	return g, g.Epoch > r.epoch
}

// lapse keeps an earlier grant for work in progress, if what is held now
// differs. A grant as primary is kept before others.
func (t *leaseTable) lapse(g grant) {
	if now, ok := t.held[g.Server]; ok && now.HeldLease == g.HeldLease {
		return
	}
	if l, ok := t.lapsing[g.Server]; g.inTime() && (!ok || !l.inTime() || g.Primary || !l.Primary) {
		t.lapsing[g.Server] = g
	}
}

// demote ends, for new work, the leases of a server up to epoch and its
// primary role up to term.
func (t *leaseTable) demote(server string, epoch, term uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.revoked[server]
	t.revoked[server] = revocation{epoch: max(r.epoch, epoch), term: max(r.term, term)}
	g, ok := t.held[server]
	if !ok {
		return
	}
	if left, ok := t.allowed(g); ok {
		t.held[server] = left
	} else {
		delete(t.held, server)
	}
	t.lapse(g)
}

// revoke is demote also for work in progress. When it returns, nothing is
// answered any more under the leases and roles that it ends.
func (t *leaseTable) revoke(server string, epoch, term uint64) {
	t.demote(server, epoch, term)
	t.mu.Lock()
	defer t.mu.Unlock()
	if g, ok := t.lapsing[server]; ok {
		if g, ok = t.allowed(g); ok {
			t.lapsing[server] = g
		} else {
			delete(t.lapsing, server)
		}
	}
}

// valid returns the lease of a server if new work may start under it.
func (t *leaseTable) valid(server string) (controlrpc.HeldLease, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g, ok := t.held[server]
	return g.HeldLease, ok && g.inTime()
}

// finishing reports whether work in progress may go on under any lease.
func (t *leaseTable) finishing(server string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.held[server].inTime() || t.lapsing[server].inTime()
}

// finishingAsPrimary reports whether work in progress may be answered by the
// server as the primary of term.
func (t *leaseTable) finishingAsPrimary(server string, term uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.held[server].isPrimary(term) || t.lapsing[server].isPrimary(term)
}

// listed returns the leases of the newest reply, also after their time.
func (t *leaseTable) listed() map[string]grant {
	t.mu.Lock()
	defer t.mu.Unlock()
	held := make(map[string]grant, len(t.held))
	for id, g := range t.held {
		held[id] = g
	}
	return held
}
