package backend

import "github.com/arbutusring/arbutusring/pkg/logpos"

// Replica is the progress of one replica as it reported it to the primary on
// the primary's current term.
type Replica struct {
	ServerID string
	Received logpos.Position
	Applied  logpos.Position
}
