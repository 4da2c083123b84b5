package consensus

import (
	"time"

	"github.com/rs/zerolog"
)

// Options configures a Node. The functions are called from the node's
// loop goroutine: they must not block and must not wait for the node.
type Options struct {
	ID      string // host id
	Address string // ip:port of this host's rpc service
	Dir     string // data folder

	// Bootstrap lists the initial voters by id and address, including this host.
	// It is used only while the log is empty. With Join it only lists the hosts
	// that are asked to add this one; see SetSeeds.
	//
	// With more than one member, a host that lost its disk learns from the others
	// that the cluster exists. If the list contains only this host, there is no
	// other host to ask, and each empty folder starts a new cluster. Remove such
	// a list from the settings once other members were added.
	Bootstrap []Member
	Join      bool // never bootstrap; wait to be added with ChangeMembers

	// Send delivers a message to the Step method of another node. It may drop
	// the message. It must not modify the message's slices, which share memory
	// with the log.
	Send func(to Member, m Message)
	// Apply applies a committed command and returns its result. It must not
	// change or keep the command.
	Apply func(index uint64, command []byte) []byte
	// Snapshot returns the applied state.
	Snapshot func() []byte
	// Restore replaces the applied state with one that Snapshot returned.
	Restore func(data []byte) error
	// OnLeader is called with true when this host leads and has applied
	// everything that was committed before its term, and with false when that
	// leadership ends. It may be nil.
	OnLeader func(leading bool, term uint64)

	HeartbeatInterval time.Duration // default 75 ms
	ElectionTimeout   time.Duration // minimum, default 300 ms; the maximum is twice that
	SnapshotEvery     int           // entries between snapshots, default 1000
	Logger            zerolog.Logger
}

const (
	defaultHeartbeatInterval = 75 * time.Millisecond
	defaultElectionTimeout   = 300 * time.Millisecond
	defaultSnapshotEvery     = 1000
)

// validate checks the options and fills in the defaults.
func (o *Options) validate() error {
	if o.ID == "" || o.Dir == "" || o.Address == "" {
		return Error.New("id, address and data folder must not be empty")
	}
	if o.Send == nil || o.Apply == nil || o.Snapshot == nil || o.Restore == nil {
		return Error.New("send, apply, snapshot and restore must be set")
	}
	if o.HeartbeatInterval <= 0 {
		o.HeartbeatInterval = defaultHeartbeatInterval
	}
	if o.ElectionTimeout <= 0 {
		o.ElectionTimeout = defaultElectionTimeout
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
		return Error.New("host %q is not one of the bootstrap members", o.ID)
	}
	return nil
}
