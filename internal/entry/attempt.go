package entry

import "github.com/arbutusring/arbutusring/internal/ownerrpc"

// attempt is one Owner.Exec request to one owner.
type attempt struct {
	target *target
	id     ownerrpc.RequestID
}
