package directory_test

import (
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/matryer/is"
)

// syncHost sends a Sync request of a host that asks for the list of hosts from version
// on.
func syncHost(c *testCluster, h directoryrpc.Host, version uint64) *directoryrpc.SyncReply {
	h.Incarnation = "1"
	reply := new(directoryrpc.SyncReply)
	args := &directoryrpc.SyncArgs{Host: h, Version: c.d.State().Version, AsksHosts: h.PeerAddress != "", HostsVersion: version}
	_ = c.d.Service().Sync(args, reply)
	return reply
}

// TestHostList guards against lists of hosts that differ between hosts: after each
// change the merged list is that of the hosts with a lease, only changes are sent, a
// host that does not ask gets none, and another leader with the same hosts sends
// nothing.
func TestHostList(t *testing.T) {
	runWithCluster(t, func(is *is.I, c *testCluster, _ *testHost) {
		a, b := directoryrpc.Host{ID: "a", PeerAddress: "a:1", DataCentre: "d1"}, directoryrpc.Host{ID: "b", PeerAddress: "b:1"}
		old := directoryrpc.Host{ID: "old"}
		syncHost(c, a, 0)
		syncHost(c, b, 0)
		is.Equal(syncHost(c, old, 0).Hosts, nil)
		time.Sleep(100 * time.Millisecond)

		changes := syncHost(c, a, 0).Hosts
		is.Equal(changes.Since, uint64(0))
		is.Equal(changes.Put, []directoryrpc.Host{a, b, {ID: "h1"}, old})
		list, err := changes.Merge(nil, 0)
		is.NoErr(err)
		version := changes.Version
		is.Equal(syncHost(c, a, version).Hosts, nil) // nothing has changed

		b.Draining = true
		syncHost(c, b, version)
		time.Sleep(100 * time.Millisecond)
		changes = syncHost(c, a, version).Hosts
		is.Equal(changes.Since, version)
		is.Equal(changes.Put, []directoryrpc.Host{b})
		list, err = changes.Merge(list, version)
		is.NoErr(err)
		_, err = changes.Merge(list, changes.Version)
		is.True(err != nil) // these changes apply to the earlier version only
		version = changes.Version

		for range 4 { // b and old fall silent
			time.Sleep(time.Second)
			syncHost(c, a, version)
		}
		changes = syncHost(c, a, version).Hosts
		is.Equal(len(changes.Removed), 2)
		list, err = changes.Merge(list, version)
		is.NoErr(err)
		is.Equal(directoryrpc.SortedHosts(list), []directoryrpc.Host{a, {ID: "h1"}})
		version = changes.Version

		c.d.OnLeader(false, 7)
		c.d.OnLeader(true, 8)
		time.Sleep(300 * time.Millisecond)
		reply := syncHost(c, a, version)
		is.True(reply.HostsPending) // not all hosts have reported to the new leader
		is.Equal(reply.Hosts, nil)
		for range 3 {
			time.Sleep(time.Second)
			reply = syncHost(c, a, version)
		}
		is.True(!reply.HostsPending)
		is.Equal(reply.Hosts, nil) // the version is the same at every leader
	})
}

// TestHostListOfReturningHosts guards against hosts that return all at once and wait for
// the leases of the earlier leader to run out before they learn of each other: until
// then they can't reach the servers that they share.
func TestHostListOfReturningHosts(t *testing.T) {
	runWithCluster(t, func(is *is.I, c *testCluster, _ *testHost) {
		a, b := directoryrpc.Host{ID: "a", PeerAddress: "a:1"}, directoryrpc.Host{ID: "b", PeerAddress: "b:1"}
		syncHost(c, a, 0)
		syncHost(c, b, 0)
		time.Sleep(100 * time.Millisecond)
		is.Equal(c.d.State().HostCount, 3) // with the host of the cluster
		c.d.OnLeader(false, 7)
		c.d.OnLeader(true, 8)
		time.Sleep(10 * time.Millisecond)
		reply := syncHost(c, a, 0)
		is.True(reply.HostsPending) // the leader knows one host of three
		syncHost(c, b, 0)
		time.Sleep(600 * time.Millisecond) // the host of the cluster renews its lease, too
		reply = syncHost(c, a, 0)
		is.True(!reply.HostsPending)
		is.Equal(len(reply.Hosts.Put), 3)
	})
}
