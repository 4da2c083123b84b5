package backend

import "github.com/arbutusring/arbutusring/pkg/logpos"

// Replica is the replication progress of one replica, as reported to the primary
// in the primary's current term.
type Replica struct {
	ServerID string
	Received logpos.Position
	Applied  logpos.Position
}
