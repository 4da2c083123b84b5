package owner

import (
	"sync"
	"time"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
)

// leaseTable holds the leases of the newest heartbeat reply and what was
// revoked since. A lease is valid only while the newest reply lists it, its
// time has not passed, and it was not revoked.
type leaseTable struct {
	mu      sync.Mutex
	sentAt  time.Time // of the newest reply
	until   time.Time
	held    map[string]controlrpc.HeldLease // by server id
	revoked map[string]revocation           // by server id
}

func newLeaseTable() *leaseTable {
	return &leaseTable{held: map[string]controlrpc.HeldLease{}, revoked: map[string]revocation{}}
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
	t.until = sentAt.Add(reply.TTL)
	t.held = make(map[string]controlrpc.HeldLease, len(reply.Leases))
	for _, l := range reply.Leases {
		t.hold(l)
	}
	return true
}

func (t *leaseTable) hold(l controlrpc.HeldLease) {
	r := t.revoked[l.Server]
	if l.Epoch <= r.epoch {
		delete(t.held, l.Server)
		return
	}
	if l.Term <= r.term {
		l.Primary = false
	}
	t.held[l.Server] = l
}

// revoke ends leases of a server up to epoch and its primary role up to term.
// When it returns, valid no longer reports either.
func (t *leaseTable) revoke(server string, epoch, term uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.revoked[server]
	r.epoch = max(r.epoch, epoch)
	r.term = max(r.term, term)
	t.revoked[server] = r
	if l, ok := t.held[server]; ok {
		t.hold(l)
	}
}

// valid returns the lease of a server if it is valid now.
func (t *leaseTable) valid(server string) (controlrpc.HeldLease, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, ok := t.held[server]
	return l, ok && time.Now().Before(t.until)
}

// listed returns the leases of the newest reply, also after their time, and
// the time until which they hold.
func (t *leaseTable) listed() (map[string]controlrpc.HeldLease, time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	held := make(map[string]controlrpc.HeldLease, len(t.held))
	for id, l := range t.held {
		held[id] = l
	}
	return held, t.until
}
