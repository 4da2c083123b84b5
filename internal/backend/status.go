package backend

import "github.com/arbutusring/arbutusring/pkg/logpos"

// Status is what a server reports about itself.
type Status struct {
	ServerID string
	Term     uint64          // fenced term: the server refuses every lower term
	Primary  bool            // the server is the primary of Term
	Received logpos.Position // end of its durable log
	Applied  logpos.Position // last record that is visible to reads
}
