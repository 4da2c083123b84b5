package directory

import (
	"encoding/binary"
	"sync"
	"time"

	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/cespare/xxhash/v2"
)

// maxHostChanges is the number of changes that a hostList keeps. Hosts that lag
// further behind get the whole list.
const maxHostChanges = 1000

// hostList is the list of the hosts with a lease, and its latest changes. Its
// version is the sum of the digests of its entries. The zero value is an empty list.
type hostList struct {
	mu      sync.Mutex
	hosts   map[string]directoryrpc.Host // without incarnations
	version uint64
	changes []hostChange              // oldest first
	whole   *directoryrpc.HostChanges // the list of version; nil if not built yet
}

// hostChange is a change of one host.
type hostChange struct {
	before uint64 // version that it was applied to
	id     string
}

// hostDigest returns the digest of one entry. It is the same at every leader.
func hostDigest(h directoryrpc.Host) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{h.ID, h.PeerAddress, h.DataCentre} {
		var size [4]byte
		binary.LittleEndian.PutUint32(size[:], uint32(len(part)))
		_, _ = d.Write(size[:]) // never fails
		_, _ = d.WriteString(part)
	}
	if h.Draining {
		_, _ = d.Write([]byte{1})
	}
	return d.Sum64()
}

// update replaces the list.
func (l *hostList) update(live map[string]directoryrpc.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hosts == nil {
		l.hosts = make(map[string]directoryrpc.Host)
	}
	for id, h := range live {
		h.Incarnation = ""
		old, known := l.hosts[id]
		if known && old == h {
			continue
		}
		delta := hostDigest(h)
		if known {
			delta -= hostDigest(old)
		}
		l.record(id, delta)
		l.hosts[id] = h
	}
	for id, old := range l.hosts {
		if _, ok := live[id]; !ok {
			l.record(id, -hostDigest(old))
			delete(l.hosts, id)
		}
	}
}

// len returns the number of hosts in the list.
func (l *hostList) len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.hosts)
}

// record records a change that adds delta to the version. The caller holds mu.
func (l *hostList) record(id string, delta uint64) {
	l.changes = append(l.changes, hostChange{l.version, id})
	if len(l.changes) > maxHostChanges {
		l.changes = l.changes[len(l.changes)-maxHostChanges:]
	}
	l.version += delta
	l.whole = nil
}

// since returns the changes since a version, or the whole list if they are not
// known; nil if there are none.
func (l *hostList) since(version uint64) *directoryrpc.HostChanges {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version == l.version {
		return nil
	}
	for i := len(l.changes) - 1; i >= 0 && version != 0; i-- {
		if l.changes[i].before == version {
			return l.changesFrom(i)
		}
	}
	if l.whole == nil {
		l.whole = &directoryrpc.HostChanges{Version: l.version, Put: directoryrpc.SortedHosts(l.hosts)}
	}
	return l.whole
}

// changesFrom returns the changes from an index on. The caller holds mu.
func (l *hostList) changesFrom(first int) *directoryrpc.HostChanges {
	c := &directoryrpc.HostChanges{Since: l.changes[first].before, Version: l.version}
	seen := make(map[string]bool)
	for _, change := range l.changes[first:] {
		if seen[change.id] {
			continue
		}
		seen[change.id] = true
		if h, ok := l.hosts[change.id]; ok {
			c.Put = append(c.Put, h)
		} else {
			c.Removed = append(c.Removed, change.id)
		}
	}
	return c
}

// hostEntryBytes is the encoded size of an entry of the list, for the limit on
// whole states.
const hostEntryBytes = 48

// minKnownHosts is the fraction of the hosts of an earlier leader that a new leader must
// know before it sends the list. The few that are missing move few connectors.
const minKnownHosts = 0.9

// fillHosts sets the changes of the list of hosts, if the host asks for them. Until
// every host has had the time to report, a new leader does not know all hosts, and an
// incomplete list would name other connectors than the one that the hosts have.
func (l *leadership) fillHosts(args *directoryrpc.SyncArgs, reply *directoryrpc.SyncReply) {
	if !args.AsksHosts {
		return
	}
	if !l.sessions.earlierLeasesExpired() && float64(l.hostList.len()) < minKnownHosts*float64(l.machine.HostCount()) {
		reply.HostsPending = true
		return
	}
	c := l.hostList.since(args.HostsVersion)
	if c != nil && c.Since == 0 && !l.wholeStates.AllowN(time.Now(), min(len(c.Put)*hostEntryBytes, wholeStateBurst)) {
		reply.HostsPending = true // the host asks again with its next request
		return
	}
	reply.Hosts = c
}
