package entry

import "github.com/arbutusring/arbutusring/internal/ownerrpc"

// result is the result of one attempt.
type result struct {
	target *target
	id     ownerrpc.RequestID
	reply  *ownerrpc.ExecReply
	sent   Sent
	err    error
}
