package consensus

import (
	"bytes"
	"sync/atomic"
)

// The states of a proposal. Either the loop claims a waiting proposal or its
// caller withdraws it, never both, so the caller knows whether the command may
// have been appended to the log.
const (
	proposalWaiting = iota
	proposalClaimed
	proposalWithdrawn
)

// proposal is a command or membership change that waits for its commit.
type proposal struct {
	command []byte
	change  *Change // instead of a command
	state   atomic.Int32
	done    chan outcome // buffered for the one outcome

	term uint64 // of its log entry; owned by the loop
}

// outcome is the answer to a proposal.
type outcome struct {
	result []byte
	err    error
}

func newProposal(command []byte, change *Change) *proposal {
	return &proposal{command: bytes.Clone(command), change: change, done: make(chan outcome, 1)}
}

// claim reports whether the loop may append the proposal to the log.
func (p *proposal) claim() bool {
	return p.state.CompareAndSwap(proposalWaiting, proposalClaimed)
}

// withdraw reports whether the caller has withdrawn the proposal before the
// loop claimed it.
func (p *proposal) withdraw() bool {
	return p.state.CompareAndSwap(proposalWaiting, proposalWithdrawn)
}

func (p *proposal) finish(result []byte, err error) { p.done <- outcome{result, err} }
