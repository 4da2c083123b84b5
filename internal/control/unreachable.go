package control

import (
	"sync"
	"time"
)

// Time limits of unreachableReports.
const (
	// maxReportGap is the longest time between two reports of the same outage.
	// Owners report with each heartbeat, every 300 ms.
	maxReportGap = 2 * time.Second
	// moveLeaseAfter is how long an owner may fail to reach a primary that
	// control can reach, before the lease moves to another host.
	moveLeaseAfter = 3 * time.Second
	// excludeHostFor is how long after its last report that host gets no lease
	// of the server.
	excludeHostFor = time.Minute
)

// unreachableReports records the primaries that control can reach while their
// owners cannot, which happens when the network between owner and primary is
// partitioned. A new primary would not help then, but another owner does.
type unreachableReports struct {
	mu       sync.Mutex
	byServer map[string]*unreachableReport // by server id; guarded by mu
}

// unreachableReport holds the reports of one owner about a server.
type unreachableReport struct {
	host        string
	first, last time.Time
}

// add records that the host cannot reach a server that control can reach.
func (u *unreachableReports) add(server, host string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	r := u.byServer[server]
	if r == nil || r.host != host || now.Sub(r.last) > maxReportGap {
		r = &unreachableReport{host: host, first: now}
		u.byServer[server] = r
	}
	r.last = now
}

// excludedHost returns the host that should not own the server, empty for none.
func (u *unreachableReports) excludedHost(server string) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	r := u.byServer[server]
	if r == nil || r.last.Sub(r.first) < moveLeaseAfter || time.Since(r.last) > excludeHostFor {
		return ""
	}
	return r.host
}
