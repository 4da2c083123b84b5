package consensus

import (
	"bytes"
	"sync/atomic"
)

// The states of a proposal. The loop takes a waiting proposal, or its caller
// withdraws it: exactly one of both happens, so the caller knows whether the
// command may have entered the log.
const (
	proposalWaiting = iota
	proposalTaken
	proposalWithdrawn
)

// proposal is a command or membership change on its way into the log.
type proposal struct {
	command []byte
	change  *Change // instead of a command
	state   atomic.Int32
	done    chan outcome // has room for the one outcome

	term uint64 // of its entry; the loop owns it
}

// outcome is the answer to a proposal.
type outcome struct {
	result []byte
	err    error
}

func newProposal(command []byte, change *Change) *proposal {
	return &proposal{command: bytes.Clone(command), change: change, done: make(chan outcome, 1)}
}

func (p *proposal) take() bool {
	return p.state.CompareAndSwap(proposalWaiting, proposalTaken)
}

func (p *proposal) withdraw() bool {
	return p.state.CompareAndSwap(proposalWaiting, proposalWithdrawn)
}

func (p *proposal) finish(result []byte, err error) { p.done <- outcome{result, err} }
