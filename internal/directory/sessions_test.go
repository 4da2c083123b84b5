package directory_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/arbutusring/arbutusring/internal/directory"
	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/internal/statement"
	"github.com/matryer/is"
)

const (
	testTTL = 2 * time.Second
	// testLeaseEnd is just after a lease of testTTL has expired for the leader.
	testLeaseEnd = testTTL + testTTL/10 + time.Millisecond
)

// syncArgs returns a Sync request of a host that has seen position lsn of the
// primary of group g.
func syncArgs(host, incarnation string, version, lsn uint64) *directoryrpc.SyncArgs {
	return &directoryrpc.SyncArgs{
		Host: directoryrpc.Host{ID: host, Incarnation: incarnation}, Version: version,
		Reports: []directoryrpc.Report{{Group: "g", Position: pos(1, lsn)}},
	}
}

// TestLostPositions guards against a switchover that takes the reported positions
// as complete although a host that acknowledged a later commit has crashed, left
// or fallen silent.
func TestLostPositions(t *testing.T) {
	leave := func(args *directoryrpc.SyncArgs) *directoryrpc.SyncArgs {
		args.Leaving = true
		return args
	}
	tests := []struct {
		name         string
		steps        func(s directory.Sessions)
		wantHighest  uint64
		wantComplete bool
	}{
		{"all confirmed", func(s directory.Sessions) {
			s.Sync(syncArgs("a", "1", 5, 100))
			s.Sync(syncArgs("b", "1", 5, 120))
		}, 120, true},
		{"silent host", func(s directory.Sessions) {
			s.Sync(syncArgs("b", "1", 4, 120))
			time.Sleep(testLeaseEnd)
			s.Sync(syncArgs("a", "1", 5, 100))
		}, 120, false},
		{"silent host that was forgotten", func(s directory.Sessions) {
			s.Sync(syncArgs("b", "1", 4, 120))
			time.Sleep(time.Hour)
			s.ForgetSilent()
			s.Sync(syncArgs("a", "1", 5, 100))
		}, 120, false},
		{"silent host that came back", func(s directory.Sessions) {
			s.Sync(syncArgs("b", "1", 4, 120))
			time.Sleep(testLeaseEnd)
			s.Sync(syncArgs("b", "1", 5, 130))
		}, 130, true},
		{"restarted host", func(s directory.Sessions) {
			s.Sync(syncArgs("b", "1", 4, 120))
			s.Sync(syncArgs("b", "2", 5, 0))
		}, 120, false},
		{"host that left with a last report", func(s directory.Sessions) {
			s.Sync(syncArgs("b", "1", 4, 120))
			s.Sync(leave(syncArgs("b", "1", 4, 140)))
			s.Sync(syncArgs("a", "1", 5, 100))
		}, 140, true},
		{"host that left without a last report", func(s directory.Sessions) {
			s.Sync(syncArgs("b", "1", 4, 120))
			s.Sync(&directoryrpc.SyncArgs{Host: directoryrpc.Host{ID: "b", Incarnation: "1"}, Leaving: true})
		}, 120, false},
		{"host lost before the primary was named", func(s directory.Sessions) {
			s.Sync(syncArgs("b", "1", 4, 120))
			s.Sync(syncArgs("b", "2", 5, 0))
			s.RecordPrimary("g")
			s.Sync(syncArgs("b", "2", 6, 0))
		}, 120, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := directory.NewSessions(directory.Options{TTL: testTTL, ClockDrift: 0.1})
				s.RecordPrimary("g")
				time.Sleep(testLeaseEnd)
				test.steps(s)
				for range 2 { // asking does not change the answer
					is.True(s.Released(5))
					highest, complete := s.Positions("g", 5)
					is.Equal(highest, pos(1, test.wantHighest))
					is.Equal(complete, test.wantComplete)
				}
			})
		})
	}
}

// TestSuspicionReachesOtherHosts guards against a leader that decides on a primary
// without the reports of the hosts that still reach it: they report on a group
// only when they are asked, so a new suspicion ends their long polls.
func TestSuspicionReachesOtherHosts(t *testing.T) {
	runWithCluster(t, func(is *is.I, c *testCluster, h *testHost) {
		time.AfterFunc(time.Second, func() { h.setReport(directoryrpc.Report{FailingFor: 100 * time.Millisecond}) })
		args := &directoryrpc.SyncArgs{Host: directoryrpc.Host{ID: "h2", Incarnation: "1"}, Version: c.d.State().Version, Wait: 5 * time.Second, Delta: true}
		reply, begun := new(directoryrpc.SyncReply), time.Now()
		is.NoErr(c.d.Service().Sync(args, reply))
		is.True(reply.AsksReports)
		is.Equal(reply.Suspected, []string{"g"})
		is.True(time.Since(begun) < 1500*time.Millisecond)
	})
}

// TestMinorityOfHostsFails guards against the loss of a primary that most hosts
// reach, when these have sent no report on it.
func TestMinorityOfHostsFails(t *testing.T) {
	runWithCluster(t, func(is *is.I, c *testCluster, h *testHost) {
		for _, id := range []string{"h2", "h3"} {
			c.startHost(id).setReport(directoryrpc.Report{Generation: 99}) // as good as none
		}
		time.Sleep(time.Second)
		c.withLock(func() { c.down["s1"] = true })
		h.setReport(directoryrpc.Report{FailingFor: 500 * time.Millisecond})
		time.Sleep(150 * time.Millisecond) // one probe of the leader has failed
		is.Equal(len(c.promotions()), 0)
	})
}

// TestManySuspectedGroups guards against hosts that are asked about all of hundreds
// of groups at once, and against groups that they are never asked about.
func TestManySuspectedGroups(t *testing.T) {
	is := is.New(t)
	s := directory.NewSessions(directory.Options{TTL: testTTL, ClockDrift: 0.1})
	args := syncArgs("a", "1", 5, 100)
	for i := range 300 {
		args.Reports = append(args.Reports, directoryrpc.Report{Group: fmt.Sprint("g", i), FailingFor: time.Second})
	}
	s.Sync(args)
	asked := make(map[string]bool)
	for range 5 {
		groups := s.AskedGroups()
		is.True(len(groups) <= 64)
		for _, g := range groups {
			asked[g] = true
		}
	}
	is.Equal(len(asked), 300)
}

// TestManyNewGroups guards against groups that get their primaries one after the
// other when an installation starts: 240 of them took 14 s.
func TestManyNewGroups(t *testing.T) {
	runWithCluster(t, func(is *is.I, c *testCluster, _ *testHost) {
		begun := time.Now()
		for i := range 200 {
			name := fmt.Sprint("new", i)
			is.NoErr(c.d.Service().Announce(&directoryrpc.AnnounceArgs{Server: directoryrpc.Server{
				ID: name, Group: name, Address: name + ":1", Slots: 3, Role: statement.Primary, Born: 1, Sequence: 1,
			}}, new(directoryrpc.AnnounceReply)))
		}
		announced := time.Since(begun)
		time.Sleep(100 * time.Millisecond)
		is.Equal(len(c.d.State().Groups), 201)
		is.True(announced < 2*time.Second)
	})
}

// TestPositionsOfEarlierLeader guards against a new leader that takes the reports
// of the remaining hosts as complete: a host may have been lost before it reported
// to this leader.
func TestPositionsOfEarlierLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := directory.NewSessions(directory.Options{TTL: testTTL, ClockDrift: 0.1})
		time.Sleep(testLeaseEnd)
		s.Sync(syncArgs("a", "1", 5, 100))
		_, complete := s.Positions("g", 5)
		is.True(!complete)
	})
}

// TestSwitchoverAfterSilentHost guards against the loss of commits that only a
// silent host has seen: another host fails to reach the primary, the leader does
// too, and the replicas have all that was reported.
func TestSwitchoverAfterSilentHost(t *testing.T) {
	runWithCluster(t, func(is *is.I, c *testCluster, h *testHost) {
		silent := c.startHost("h2")
		time.Sleep(500 * time.Millisecond)
		silent.mu.Lock()
		silent.frozen = true
		silent.mu.Unlock()
		c.withLock(func() {
			c.down["s1"] = true
			for _, id := range []string{"s2", "s3"} {
				c.status[id] = statement.ServerStatus{Role: statement.Replica, Term: 1, Received: pos(1, 100)}
			}
		})
		h.setReport(directoryrpc.Report{FailingFor: 1700 * time.Millisecond, Reachable: []string{"s2"}, Position: pos(1, 100)})
		other := c.startHost("h3")
		other.setReport(directoryrpc.Report{LastAnswerAge: time.Millisecond, Position: pos(1, 100)})
		time.Sleep(10 * time.Second)
		is.Equal(len(c.promotions()), 0)
		is.Equal(c.group().Primary, "s1")
	})
}
