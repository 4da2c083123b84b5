package owner

import (
	"sync"
	"time"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
)

// leaseTable holds the leases of the newest heartbeat reply and the
// revocations.
//
// New work needs a lease that the newest reply lists, that has not expired and
// that was not revoked. When a reply no longer lists a lease, or lists it
// without the primary role, work in progress may still finish until the expiry
// that the last reply with that lease or role granted, unless a revocation
// ends it. Control assigns a lease or a role to another host only after that
// expiry or after the revocation was confirmed, so a planned move interrupts
// no request.
type leaseTable struct {
	mu         sync.Mutex
	sentAt     time.Time             // when the heartbeat of the newest reply was sent
	held       map[string]grant      // by server id; leases of the newest reply
	superseded map[string]grant      // by server id; earlier leases that may not have expired
	revoked    map[string]revocation // by server id
}

func newLeaseTable() *leaseTable {
	return &leaseTable{held: map[string]grant{}, superseded: map[string]grant{}, revoked: map[string]revocation{}}
}

// set replaces the leases with those of a reply to a heartbeat sent at sentAt.
// It ignores the reply and returns false unless sentAt is later than that of
// every earlier reply.
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
		if g, ok := t.applyRevocation(grant{l, sentAt.Add(reply.TTL)}); ok {
			t.held[l.Server] = g
		}
	}
	for _, g := range old {
		t.keepSuperseded(g)
	}
	for id, g := range t.superseded {
		if !g.valid() {
			delete(t.superseded, id)
		}
	}
	return true
}

// applyRevocation returns the grant without a revoked primary role. It returns
// false if the lease itself was revoked.
func (t *leaseTable) applyRevocation(g grant) (grant, bool) {
	r := t.revoked[g.Server]
	if g.Term <= r.term {
		g.Primary = false
	}
	return g, g.Epoch > r.epoch
}

// keepSuperseded keeps an earlier grant for work in progress if the current
// lease of the server differs from it. A grant with the primary role is
// preferred to one without.
func (t *leaseTable) keepSuperseded(g grant) {
	if current, ok := t.held[g.Server]; ok && current.HeldLease == g.HeldLease {
		return
	}
	if kept, ok := t.superseded[g.Server]; g.valid() && (!ok || !kept.valid() || g.Primary || !kept.Primary) {
		t.superseded[g.Server] = g
	}
}

// revokeForNewWork ends, for new work only, the leases of a server up to epoch
// and its primary role up to term.
func (t *leaseTable) revokeForNewWork(server string, epoch, term uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.revoked[server]
	t.revoked[server] = revocation{epoch: max(r.epoch, epoch), term: max(r.term, term)}
	g, ok := t.held[server]
	if !ok {
		return
	}
	if remaining, ok := t.applyRevocation(g); ok {
		t.held[server] = remaining
	} else {
		delete(t.held, server)
	}
	t.keepSuperseded(g)
}

// revoke ends the leases of a server up to epoch and its primary role up to
// term, for new work and for work in progress. When it returns, nothing more
// is answered under them.
func (t *leaseTable) revoke(server string, epoch, term uint64) {
	t.revokeForNewWork(server, epoch, term)
	t.mu.Lock()
	defer t.mu.Unlock()
	if g, ok := t.superseded[server]; ok {
		if g, ok = t.applyRevocation(g); ok {
			t.superseded[server] = g
		} else {
			delete(t.superseded, server)
		}
	}
}

// validLease returns the lease of a server and whether new work may start
// under it.
func (t *leaseTable) validLease(server string) (controlrpc.HeldLease, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g, ok := t.held[server]
	return g.HeldLease, ok && g.valid()
}

// mayFinish reports whether work in progress at a server may finish under any
// lease.
func (t *leaseTable) mayFinish(server string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.held[server].valid() || t.superseded[server].valid()
}

// mayFinishAsPrimary reports whether work in progress may be answered by the
// server as the primary of term.
func (t *leaseTable) mayFinishAsPrimary(server string, term uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.held[server].validAsPrimary(term) || t.superseded[server].validAsPrimary(term)
}

// listed returns the leases of the newest reply, including expired ones.
func (t *leaseTable) listed() map[string]grant {
	t.mu.Lock()
	defer t.mu.Unlock()
	held := make(map[string]grant, len(t.held))
	for id, g := range t.held {
		held[id] = g
	}
	return held
}
