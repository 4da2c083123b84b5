package consensus

import (
	"time"

	"github.com/rs/zerolog"
)

// Options are the settings of a Node. The functions are called from the loop
// of the node: they must not block and must not wait for the node.
type Options struct {
	ID      string // host id
	Address string // ip:port of the own rpc service
	Dir     string // data folder

	// Bootstrap are the initial voters by id and address, this host included.
	// It is used only while the folder was never initialised. With Join it
	// only names the hosts that are asked to add this one.
	//
	// With more than one member, a host that lost its disk is told by the others
	// that the cluster exists. A list of only this host has nobody to ask: it
	// starts a new cluster in every empty folder. Remove it from the settings
	// once other members were added.
	Bootstrap []Member
	Join      bool // never bootstrap; wait to be added with ChangeMembers

	// Send passes a message to the Step of another node. It may drop it. It
	// must not change what the message refers to, which is part of the log.
	Send func(to Member, m Message)
	// Apply applies a committed command and returns its result. It must not
	// change or keep the command.
	Apply func(index uint64, command []byte) []byte
	// Snapshot returns the applied state.
	Snapshot func() []byte
	// Restore replaces the applied state by one that Snapshot returned.
	Restore func(data []byte) error
	// OnLeader reports that this host leads and has applied everything that
	// was committed before its term, or that it leads no longer. It may be nil.
	OnLeader func(leading bool, term uint64)

	HeartbeatInterval time.Duration // default 75 ms
	ElectionTimeout   time.Duration // minimum, default 300 ms; the maximum is twice that
	SnapshotEvery     int           // entries between snapshots, default 1000
	Logger            zerolog.Logger
}

const (
	defaultHeartbeat     = 75 * time.Millisecond
	defaultElection      = 300 * time.Millisecond
	defaultSnapshotEvery = 1000
)

// complete checks the options and fills in the defaults.
func (o *Options) complete() error {
	if o.ID == "" || o.Dir == "" || o.Address == "" {
		return Error.New("id, address and data folder must not be empty")
	}
	if o.Send == nil || o.Apply == nil || o.Snapshot == nil || o.Restore == nil {
		return Error.New("send, apply, snapshot and restore must be set")
	}
	if o.HeartbeatInterval <= 0 {
		o.HeartbeatInterval = defaultHeartbeat
	}
	if o.ElectionTimeout <= 0 {
		o.ElectionTimeout = defaultElection
	}
	if o.SnapshotEvery <= 0 {
		o.SnapshotEvery = defaultSnapshotEvery
	}
	if o.ElectionTimeout < 2*o.HeartbeatInterval {
		return Error.New("election timeout %v must be at least twice the heartbeat interval %v",
			o.ElectionTimeout, o.HeartbeatInterval)
	}
	if o.Join || len(o.Bootstrap) == 0 {
		return nil
	}
	seen := make(map[string]bool)
	for _, m := range o.Bootstrap {
		if m.ID == "" || m.Address == "" || seen[m.ID] {
			return Error.New("bootstrap members must have distinct ids and an address: %+v", m)
		}
		seen[m.ID] = true
	}
	if !seen[o.ID] {
		return Error.New("host %q is not among the bootstrap members", o.ID)
	}
	return nil
}
