package standin

import "github.com/arbutusring/arbutusring/pkg/logpos"

// progress is what a replica has reported on the primary's current term.
type progress struct {
	sender   *sender // connection that reported it
	received logpos.Position
	applied  logpos.Position
}
