package process_test

import (
	"strings"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/consensus"
	"github.com/arbutusring/arbutusring/internal/process"
	"github.com/matryer/is"
)

// TestMembershipChanges guards against an even number of voters, which has no
// majority when a partition cuts it in half, against a replaced host that stays
// a member, and against the removal of a host that is down but not replaced.
func TestMembershipChanges(t *testing.T) {
	// A member is written id@data centre, with "?" for a learner, "!" for one that
	// has not answered, and "+" for one that joined later than those without.
	for _, tc := range []struct{ name, members, promote, remove string }{
		{"one more host", "a@1 b@2 c@3 d?@4", "", ""},
		{"two more hosts", "a@1 b@2 c@3 d?@4 e?@5", "d", ""},
		{"the second of them", "a@1 b@2 c@3 d@4 e?@5", "e", ""},
		{"a sixth host", "a@1 b@2 c@3 d@4 e@5 f?@6", "", ""},
		{"a disk was lost", "a@1 b@2 c?@3", "c", ""},
		{"a host was replaced", "a@1 b@2 c!@3 d?@3", "d", ""},
		{"its successor votes", "a@1 b@2 c!@3 d@3", "", "c"},
		{"a host is down", "a@1 b@2 c!@3", "", ""},
		{"a planned replacement", "a@1 b@2 c@3 d?@3", "", ""},
		{"a planned replacement, the new one joined later", "a@1 b@2 c@3 d+?@3", "d", ""},
		{"a replacement whose predecessor is a learner", "a@1 b@2 c?@3 d+@3", "", ""},
		{"two replacements, the first one votes", "a@1 b@2 c@3 d+@3 e+?@2", "e", ""},
		{"its predecessor has stopped", "a@1 b@2 c!@3 d?@3", "d", ""},
		{"as many voters as there may be, one was replaced", "a@1 b@2 c@3 d@4 e@5 f@6 g!@7 h?@7", "", "g"},
		{"as many voters as there may be, one is down", "a@1 b@2 c@3 d@4 e@5 f@6 g!@7 h?@8", "", ""},
		{"an unregistered successor", "a@1 b@2 c!@ d?@", "", ""},
		{"two more hosts, one has not registered", "a@1 b@2 c@3 d?@ e?@5", "", ""},
		{"a disk was lost, the other host has not registered", "a@1 b@2 d?@ c?@3", "c", ""},
		{"unknown data centres", "a@ b@ c!@ d@", "", ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			st, dataCentres := parseMembers(tc.members)
			is.Equal(process.NextVoter(st, dataCentres), tc.promote)
			is.Equal(process.ReplacedMember(st, dataCentres), tc.remove)
		})
	}
}

// TestVoteOfReplacedHost guards against a planned replacement that leaves one voter less
// when the old host stops: the next lost disk then takes the majority. The vote moves to the
// new host before, and to no other data centre, and never back.
func TestVoteOfReplacedHost(t *testing.T) {
	for _, tc := range []struct {
		name, members string
		kind          consensus.ChangeKind
		id            string
	}{
		{"the new host has caught up", "a@1 b@2 c@3 d+?@3", consensus.Promote, "d"},
		{"it votes", "a@1 b@2 c@3 d+@3", consensus.Demote, "c"},
		{"the old host is the leader", "b@2 c@3 a@1 d+@1", consensus.Demote, "a"},
		{"it has stopped already", "a@1 b@2 c!@3 d+@3", consensus.Remove, "c"},
		{"the new host does not answer", "a@1 b@2 c@3 d+!@3", consensus.Remove, "d"},
		{"the vote has moved, the old host is cut off", "a@1 b@2 c?!@3 d+@3", "", ""},
		{"the vote has moved", "a@1 b@2 c?@3 d+@3", "", ""},
		{"another disk is lost meanwhile", "a@1 c@3 d+@3", "", ""},
		{"two hosts of a data centre, five voters", "a@1 b@2 c@3 d+@1 e+@2", "", ""},
		{"a learner and its successor", "a@1 b@2 c@3 d?@4 e+?@4", "", ""},
		{"as many voters as there may be", "a@1 b@2 c@3 d@4 e@5 f@6 g@7 h+?@3", consensus.Demote, "c"},
		{"as many voters, one of a data centre too many", "a@1 b@2 c@3 d@4 e@5 f@6 g+@1 h+?@3", consensus.Demote, "a"},
		{"room for the successor", "a@1 b@2 c?@3 d@4 e@5 f@6 g@7 h+?@3", consensus.Promote, "h"},
		{"two hosts in every data centre, four voters", "a@1 b@2 c@3 d+@1 e+?@2 f+?@3", consensus.Promote, "e"},
		{"one data centre", "a@1 b@1 c@1 d+?@1", "", ""},
		{"a learner of another data centre", "a@1 b@2 c@3 d+@3 e+?@4", consensus.Demote, "c"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			st, dataCentres := parseMembers(tc.members)
			c, _ := process.NextChange(st, dataCentres)
			is.Equal(c.Kind, tc.kind)
			is.Equal(c.Member.ID, tc.id)
		})
	}
}

// parseMembers returns the status of a leader a with members as in TestMembershipChanges.
func parseMembers(text string) (consensus.Status, map[string]string) {
	st := consensus.Status{ID: "a", Commit: 9}
	dataCentres := make(map[string]string)
	for _, word := range strings.Fields(text) {
		id, dataCentre, _ := strings.Cut(word, "@")
		m := consensus.MemberStatus{Match: 9, CaughtUp: true}
		m.Learner = strings.Contains(id, "?")
		if strings.Contains(id, "!") {
			m.ContactAge = 5 * time.Second
		}
		if strings.Contains(id, "+") {
			m.Joined = 5
		}
		m.ID = strings.TrimRight(id, "+?!")
		if dataCentre != "" {
			dataCentres[m.ID] = dataCentre
		}
		st.Members = append(st.Members, m)
	}
	return st, dataCentres
}
