package control

import (
	"context"

	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// Log is the replicated log, normally a consensus.Node. All fields must be set.
type Log struct {
	// Propose appends an entry and returns what Apply returned for it. The
	// error is errkind.NotLeader if the entry was certainly not appended, and
	// errkind.OutcomeUnknown if it may have been.
	Propose func(ctx context.Context, entry []byte) ([]byte, error)
	// IsLeader reports whether this host is the leader as far as it knows.
	IsLeader func() bool
	// LeaseValid reports whether the read lease of this host is valid, so that
	// no other host can be the leader now.
	LeaseValid func() bool
	// ReadBarrier returns once everything that was committed before the call
	// has been applied here, and this host was the leader after the call.
	ReadBarrier func(ctx context.Context) error
	// Leader returns the rpc address of the leader, if known.
	Leader func() (string, bool)
	// TransferLeadership transfers the leadership to another host.
	TransferLeadership func(ctx context.Context) error
}

// propose executes commands through the log and returns one result per command.
func (l *Log) propose(ctx context.Context, commands ...Command) ([]Result, error) {
	data, err := l.Propose(ctx, EncodeCommands(commands...))
	if err != nil {
		return nil, err
	}
	results, err := DecodeResults(data)
	if err != nil {
		return nil, err
	}
	if len(results) != len(commands) {
		return nil, errkind.New(errkind.Internal, "log returned %d results for %d commands", len(results), len(commands))
	}
	return results, nil
}

// change executes one command through the log. A failed precondition is an
// error of kind errkind.Conflict.
func (l *Log) change(ctx context.Context, c Command) error {
	results, err := l.propose(ctx, c)
	if err != nil {
		return err
	}
	return results[0].Err()
}
