package process

import "github.com/arbutusring/arbutusring/internal/consensus"

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
