package process

import (
	"github.com/arbutusring/arbutusring/internal/consensus"
	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/pkg/database"
)

// CachedConfig returns a function that returns the configuration of a state through a
// cache that parses documents with parse.
func CachedConfig(parse func(document []byte) (*database.Config, error)) func(directoryrpc.State) (*database.Config, error) {
	return (&configCache{parse: parse}).get
}

// MembershipInterval is the pause between two checks of the membership.
const MembershipInterval = membershipInterval

// NextChange returns the change of the membership that a leader makes next; false for
// none.
func NextChange(st consensus.Status, dataCentres map[string]string) (consensus.Change, bool) {
	return (&membership{dataCentres: func() map[string]string { return dataCentres }, replaceTimeout: voterReplaceTimeout}).nextChange(st)
}

// NextVoter returns the id of the learner that a leader promotes, or "" for none.
func NextVoter(st consensus.Status, dataCentres map[string]string) string {
	m, _ := (&membership{dataCentres: func() map[string]string { return dataCentres }, replaceTimeout: voterReplaceTimeout}).nextVoter(st)
	return m.ID
}

// ReplacedMember returns the id of the member that a leader removes because
// another one has replaced it, or "" for none.
func ReplacedMember(st consensus.Status, dataCentres map[string]string) string {
	m, _ := (&membership{dataCentres: func() map[string]string { return dataCentres }, replaceTimeout: voterReplaceTimeout}).replacedMember(st)
	return m.ID
}

// NewSender returns the functions of a sender that passes messages to start.
func NewSender(start startFunc) (send func(consensus.Member, consensus.Message), stop func()) {
	s := newSender(start)
	return s.send, s.close
}

// CheckedApply exports checkedApply.
func CheckedApply(apply applyFunc) applyFunc { return checkedApply(apply) }
