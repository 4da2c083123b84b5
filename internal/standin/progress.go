package standin

import "github.com/arbutusring/arbutusring/pkg/logpos"

// progress holds the positions that a replica has reported at the current term
// of the primary.
type progress struct {
	sender   *sender // sender of the connection on which they are reported
	received logpos.Position
	applied  logpos.Position
}
