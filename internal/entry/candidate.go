package entry

import "time"

// candidate is a target with its rating for a read.
type candidate struct {
	target      *target
	suitability readSuitability
	cost        time.Duration // estimated time until the answer
}
