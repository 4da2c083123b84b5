package process

import "github.com/arbutusring/arbutusring/internal/consensus"

// NextVoter returns the id of the learner that a leader promotes; "" for none.
func NextVoter(st consensus.Status, places map[string]string) string {
	m, _ := (&membership{dataCentres: func() map[string]string { return places }, replace: stoppedVoter}).nextVoter(st)
	return m.ID
}

// Surplus returns the id of the member that a leader removes; "" for none.
func Surplus(st consensus.Status, places map[string]string) string {
	m, _ := (&membership{dataCentres: func() map[string]string { return places }, replace: stoppedVoter}).surplus(st)
	return m.ID
}
