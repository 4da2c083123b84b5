package control

import (
	"sync"
	"time"
)

// Limits of unreached.
const (
	// unreachedGap is the longest time between two reports that belong
	// together. Owners report with each heartbeat, every 300 ms.
	unreachedGap = 2 * time.Second
	// unreachedMove is how long an owner may fail to reach a primary that
	// control reaches, before the lease moves to another host.
	unreachedMove = 3 * time.Second
	// unreachedKeep is how long that host then gets no lease of the server.
	unreachedKeep = time.Minute
)

// unreached remembers the primaries that control reaches while their owners
// do not, which happens when the network between the two is partitioned. A
// new primary would not help there, but another owner does.
type unreached struct {
	mu   sync.Mutex
	byID map[string]*report // by server id; guarded by mu
}

// report is about one owner of a server.
type report struct {
	host        string
	first, last time.Time
}

// add records that the host does not reach a server which control reaches.
func (u *unreached) add(server, host string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	r := u.byID[server]
	if r == nil || r.host != host || now.Sub(r.last) > unreachedGap {
		r = &report{host: host, first: now}
		u.byID[server] = r
	}
	r.last = now
}

// avoid returns the host that should not own the server, empty for none.
func (u *unreached) avoid(server string) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	r := u.byID[server]
	if r == nil || r.last.Sub(r.first) < unreachedMove || time.Since(r.last) > unreachedKeep {
		return ""
	}
	return r.host
}
