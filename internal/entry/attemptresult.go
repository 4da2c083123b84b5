package entry

import "github.com/arbutusring/arbutusring/internal/ownerrpc"

// attemptResult is the result of one attempt.
type attemptResult struct {
	target   *target
	id       ownerrpc.RequestID
	reply    *ownerrpc.ExecReply
	delivery Delivery
	err      error
}
