package entry

import "time"

// scored is a target with its standing.
type scored struct {
	target *target
	class  standing
	cost   time.Duration
}
