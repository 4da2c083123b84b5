package control

import (
	"context"

	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// Log is the replicated log, normally a consensus.Node. Every field is set.
type Log struct {
	// Propose appends an entry and returns what Apply returned for it. The
	// error is errkind.NotLeader if the entry was certainly not appended, and
	// errkind.OutcomeUnknown if it may have been.
	Propose func(ctx context.Context, entry []byte) ([]byte, error)
	// IsLeader reports whether this host believes to be the leader.
	IsLeader func() bool
	// LeaseValid reports whether no other host can be leader at this moment.
	LeaseValid func() bool
	// ReadBarrier returns once everything that was committed before the call
	// has been applied here, and this host was the leader after the call.
	ReadBarrier func(ctx context.Context) error
	// Leader returns the rpc address of the leader, if known.
	Leader func() (string, bool)
	// TransferLeadership makes another host the leader.
	TransferLeadership func(ctx context.Context) error
}

// propose carries out commands through the log and returns one result each.
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

// change carries out one command. An unmet precondition is an error of kind
// errkind.Conflict.
func (l *Log) change(ctx context.Context, c Command) error {
	results, err := l.propose(ctx, c)
	if err != nil {
		return err
	}
	return results[0].Err()
}
