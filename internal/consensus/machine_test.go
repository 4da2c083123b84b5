package consensus_test

import (
	"slices"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/consensus"
	"github.com/arbutusring/arbutusring/internal/wal"
	"github.com/matryer/is"
)

// TestCommitOfOwnTerm guards against committing an entry of an earlier term by
// counting replicas: a host with a newer log may still replace it.
func TestCommitOfOwnTerm(t *testing.T) {
	for _, test := range []struct {
		disabled string
		commit   uint64 // once a majority holds the entry of the earlier term
	}{
		{disabled: "", commit: 0},
		{disabled: "commit of the current term only", commit: 2},
	} {
		is := is.New(t)
		s := newSim(1, "", 3, 0)
		s.run(200 * time.Millisecond)
		a, b := s.hosts["a"], s.hosts["b"]
		a.entries = append(a.entries, wal.Entry{Index: 2, Term: 2, Data: []byte("earlier")})
		a.hardState.Term = 3
		s.disabled = test.disabled
		s.startHost(a)
		now := a.localTime(s.now).Add(2 * simElectionTimeout)
		m := a.machine
		m.Tick(now)
		reply := func(kind consensus.MessageKind, index uint64) {
			from := consensus.Member{ID: b.id, Incarnation: b.incarnation, Address: b.id}
			to := consensus.Member{ID: a.id, Incarnation: a.incarnation}
			m.Step(now, consensus.Message{Kind: kind, From: from, To: to, Term: 4, Index: index})
			m.Output(now)
		}
		reply(consensus.MessagePreVoteReply, 0)
		reply(consensus.MessageVoteReply, 0)
		is.Equal(m.Role(), consensus.Leader)
		is.Equal(m.LastIndex(), uint64(3))
		reply(consensus.MessageAppendReply, 2)
		is.Equal(m.CommitIndex(), test.commit)
		reply(consensus.MessageAppendReply, 3)
		is.Equal(m.CommitIndex(), uint64(3))
	}
}

// TestOtherIncarnation guards against counting the vote of a host that lost its
// disk as that of the voter in the membership.
func TestOtherIncarnation(t *testing.T) {
	is := is.New(t)
	s := newSim(1, "", 3, 0)
	s.run(200 * time.Millisecond)
	m := s.hosts["a"].machine
	now := s.hosts["a"].localTime(s.now).Add(2 * simElectionTimeout)
	m.Tick(now)
	is.Equal(m.Role(), consensus.PreCandidate)
	reply := consensus.Message{
		Kind: consensus.MessagePreVoteReply, Term: m.Term() + 1,
		From: consensus.Member{ID: "b", Incarnation: "b2", Address: "b"},
		To:   consensus.Member{ID: "a", Incarnation: "a1"},
	}
	m.Step(now, reply)
	is.Equal(m.Role(), consensus.PreCandidate)
	reply.To.Incarnation = "a0" // addressed to an earlier incarnation of this host
	reply.From.Incarnation = "b1"
	m.Step(now, reply)
	is.Equal(m.Role(), consensus.PreCandidate)
	reply.To.Incarnation = "a1"
	m.Step(now, reply)
	is.Equal(m.Role(), consensus.Candidate)
}

// TestUncommittedRemoval guards against a cluster that stays without a leader
// because the only host with the newest log has an uncommitted removal of
// itself in that log.
func TestUncommittedRemoval(t *testing.T) {
	is := is.New(t)
	s := newSim(1, "", 4, 0)
	s.run(2 * time.Second)
	l := s.leader()
	lost := s.hosts[s.ids[(slices.Index(s.ids, l.id)+1)%4]]
	for _, id := range s.ids {
		s.cutLinks[[2]string{l.id, id}] = true
	}
	self := consensus.Member{ID: l.id, Incarnation: l.incarnation, Address: l.id}
	_, _, err := l.machine.ProposeChange(l.localTime(s.now), consensus.Change{Kind: consensus.Remove, Member: self})
	is.NoErr(err)
	s.output(l)
	s.loseDisk(lost)
	s.run(2 * time.Second) // the isolated leader steps down
	s.settle()
	is.Equal(len(s.leader().members), 3)
}

// TestDemotedLeader guards against a leader that gives its vote to its successor and leaves
// the others without a leader until an election timeout has passed.
func TestDemotedLeader(t *testing.T) {
	is := is.New(t)
	s := newSim(1, "", 4, 0)
	s.run(2 * time.Second)
	l := s.leader()
	self := consensus.Member{ID: l.id, Incarnation: l.incarnation, Address: l.id}
	_, _, err := l.machine.ProposeChange(l.localTime(s.now), consensus.Change{Kind: consensus.Demote, Member: self})
	is.NoErr(err)
	s.output(l)
	begun := s.now
	for next := s.leader(); next == nil || next == l; next = s.leader() {
		s.run(10 * time.Millisecond)
		is.True(s.now-begun < 300*time.Millisecond)
	}
	s.settle()
	is.Equal(len(s.leader().members), 4)
	for _, m := range s.leader().members {
		is.Equal(m.Learner, m.ID == l.id)
	}
}

// TestLostTransfer guards against a host that remains leader without a lease and
// refuses commands after its request to take over was lost.
func TestLostTransfer(t *testing.T) {
	is := is.New(t)
	s := newSim(1, "", 3, 0)
	s.run(2 * time.Second)
	l := s.leader()
	s.lossRate = 1
	is.NoErr(l.machine.StartLeadershipTransfer(l.localTime(s.now)))
	s.output(l)
	is.True(l.leaseUntil.IsZero())
	s.lossRate = 0
	s.run(4 * simElectionTimeout)
	is.True(s.leader() != nil && s.leader().machine.Term() > 2)
	s.settle()
}

// TestFailedElectionNamesVoters guards against an election without a majority that
// leaves no trace of which voters refused and which did not answer.
func TestFailedElectionNamesVoters(t *testing.T) {
	is := is.New(t)
	s := newSim(1, "", 4, 0)
	s.run(200 * time.Millisecond)
	m := s.hosts["a"].machine
	now := s.hosts["a"].localTime(s.now).Add(2 * simElectionTimeout)
	m.Tick(now)
	is.Equal(m.Role(), consensus.PreCandidate)
	is.True(m.Output(now).FailedElection == nil) // it has only begun
	reply := func(id string, reject bool, term uint64) {
		m.Step(now, consensus.Message{
			Kind: consensus.MessagePreVoteReply, Reject: reject, Term: term,
			From: consensus.Member{ID: id, Incarnation: s.hosts[id].incarnation},
			To:   consensus.Member{ID: "a", Incarnation: s.hosts["a"].incarnation},
		})
	}
	reply("b", false, m.Term()+1)
	reply("c", true, m.Term())
	m.Tick(now.Add(2 * simElectionTimeout))
	is.Equal(m.Output(now).FailedElection, &consensus.FailedElection{
		Term: m.Term(), PreVote: true, Quorum: 3, Granted: []string{"a@a1", "b@b1"}, Refused: []string{"c@c1"}, Silent: []string{"d@d1"},
	})
}
