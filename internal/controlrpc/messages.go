// Package controlrpc provides the messages and the client of the control
// service, which decides the configuration, the primary of each database
// group and the owner of each backend server.
//
// Only the leader answers; every other control host answers errkind.NotLeader
// with the address of the leader if it knows one. Client follows these hints.
//
// # Usage
//
//	c := &controlrpc.Client{Addresses: cfg.Control.Addresses, Call: pool.Call}
//	reply, err := c.Heartbeat(ctx, &controlrpc.HeartbeatArgs{...})
package controlrpc

import (
	"time"

	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// Answer is embedded in every reply of the control service.
type Answer struct {
	Kind   errkind.Kind `codec:"k" json:"kind,omitempty"`
	Detail string       `codec:"d" json:"detail,omitempty"`
	Leader string       `codec:"l" json:"leader,omitempty"` // rpc address of the leader, if known
}

// Server is a backend server as it announces itself. ID is never reused: a
// server that lost its data comes back under another id.
type Server struct {
	ID          string            `codec:"i" json:"id"`
	Group       string            `codec:"g" json:"group"`
	Address     string            `codec:"a" json:"address"` // ip:port, PostgreSQL protocol
	DataCentre  string            `codec:"d" json:"data_centre"`
	Labels      map[string]string `codec:"l" json:"labels,omitempty"`
	Slots       int               `codec:"s" json:"slots"`
	Connections int               `codec:"c" json:"connections"`
	Term        uint64            `codec:"t" json:"term"` // term of its last record; a hint, not stored
	LSN         uint64            `codec:"p" json:"lsn"`  // a hint, not stored
	Departing   bool              `codec:"x" json:"departing,omitempty"`
}

// Host is an entry host.
type Host struct {
	ID              string            `codec:"i" json:"id"`
	Incarnation     string            `codec:"n" json:"incarnation"` // new at every start of the process
	Address         string            `codec:"a" json:"address"`     // ip:port of its own rpc service
	OperatorAddress string            `codec:"o" json:"operator_address"`
	DataCentre      string            `codec:"d" json:"data_centre"`
	Region          string            `codec:"r" json:"region"`
	Labels          map[string]string `codec:"l" json:"labels,omitempty"`
	Draining        bool              `codec:"x" json:"draining,omitempty"`
}

// Phase is the state of a group.
type Phase string

// The phases of a group.
const (
	PhaseWaiting Phase = "waiting" // not all declared members have announced themselves yet
	PhaseFencing Phase = "fencing" // a new primary is being chosen at Term
	PhaseSteady  Phase = "steady"  // Primary serves Term
)

// Group is the replicated state of one database group.
type Group struct {
	Name    string   `codec:"n" json:"name"`
	Term    uint64   `codec:"t" json:"term"`
	Phase   Phase    `codec:"p" json:"phase"`
	Primary string   `codec:"s" json:"primary"` // server id; empty unless PhaseSteady
	Members []string `codec:"m" json:"members"` // server ids; majorities count these
}

// Lease assigns a server to the host that owns it. It belongs to one incarnation
// of the host, because a restarted process does not know what its predecessor
// still had in progress.
type Lease struct {
	Server      string `codec:"s" json:"server"`
	Host        string `codec:"h" json:"host"`
	Incarnation string `codec:"n" json:"incarnation"`
	Epoch       uint64 `codec:"e" json:"epoch"`              // increases with each change of the owner
	Revoking    bool   `codec:"x" json:"revoking,omitempty"` // no longer granted; the owner has not released it yet
}

// State is the part of the replicated state that entry hosts receive.
type State struct {
	Version       uint64            `codec:"v" json:"version"` // log index of the last change
	ConfigVersion uint64            `codec:"c" json:"config_version"`
	ConfigText    string            `codec:"t" json:"config_text"` // TOML, see pkg/policy
	Groups        map[string]Group  `codec:"g" json:"groups"`
	Servers       map[string]Server `codec:"s" json:"servers"`
	Leases        map[string]Lease  `codec:"l" json:"leases"` // by server id
	Hosts         map[string]Host   `codec:"h" json:"hosts"`
	Draining      map[string]bool   `codec:"x" json:"draining"` // host and server ids
}

// HeldLease is a lease that a heartbeat reply grants to its owner.
type HeldLease struct {
	Server  string `codec:"s" json:"server"`
	Epoch   uint64 `codec:"e" json:"epoch"`
	Group   string `codec:"g" json:"group"`
	Term    uint64 `codec:"t" json:"term"`
	Primary bool   `codec:"p" json:"primary"` // the server is the primary of Term
}

// HeartbeatArgs renews the session of a host.
type HeartbeatArgs struct {
	Host          Host     `codec:"h"`
	StateVersion  uint64   `codec:"s"` // in force at the host
	ConfigVersion uint64   `codec:"c"` // in force at the host
	Suspects      []string `codec:"u"` // owned servers that have not answered for owner.Limits.SuspectAfter
}

// HeartbeatReply grants the leases of the host for TTL, counted by the host
// from before it sent the heartbeat.
type HeartbeatReply struct {
	Answer
	TTL           time.Duration `codec:"t"`
	Leases        []HeldLease   `codec:"s"`
	StateVersion  uint64        `codec:"v"`
	ConfigVersion uint64        `codec:"c"`
}

// WatchArgs asks for the state once its version is greater than Since.
type WatchArgs struct {
	Since uint64        `codec:"s"`
	Wait  time.Duration `codec:"w"` // after this time the reply comes without a state
	Delta bool          `codec:"d"` // the caller uses WatchReply.Merge, so changes are enough
}

// WatchReply carries the state, or no state when nothing changed. In both cases
// it confirms that the host was the leader when it answered. If WatchArgs.Delta
// is set, Changes may replace State.
type WatchReply struct {
	Answer
	Changed bool          `codec:"c"`
	State   State         `codec:"s"`
	Changes *StateChanges `codec:"h"`
}

// AnnounceArgs forwards the announcement of a backend server.
type AnnounceArgs struct {
	Server Server `codec:"s"`
}

// AnnounceReply is the answer to an announcement.
type AnnounceReply struct {
	Answer
}

// ApplyArgs requests a new configuration.
type ApplyArgs struct {
	ChangeID    string `codec:"c" json:"change_id"`
	BaseVersion uint64 `codec:"b" json:"base_version"` // version that the change was made from
	Operator    string `codec:"o" json:"operator"`
	Text        string `codec:"t" json:"text"` // TOML, see pkg/policy
}

// ApplyReply is the first answer to the change, also for a resend. On
// errkind.Conflict, Version, WonBy and WonChange describe the accepted change.
type ApplyReply struct {
	Answer
	Version   uint64 `codec:"v" json:"version"`
	WonBy     string `codec:"w" json:"won_by,omitempty"`
	WonChange string `codec:"x" json:"won_change,omitempty"`
}

// GetArgs requests the latest committed state, confirmed by the leader.
type GetArgs struct{}

// GetReply carries the state and the leader's report on each host.
type GetReply struct {
	Answer
	State      State                 `codec:"s" json:"state"`
	Heartbeats map[string]HostReport `codec:"e" json:"seen"` // by host id
}

// HostReport is the information from the heartbeats of a host to the current
// leader.
type HostReport struct {
	Age           time.Duration `codec:"a" json:"age"`            // since the last heartbeat; without one, since the start of the leadership
	StateVersion  uint64        `codec:"s" json:"state_version"`  // in force at the host
	ConfigVersion uint64        `codec:"c" json:"config_version"` // in force at the host
	Live          bool          `codec:"l" json:"live"`           // the session of the host has not expired
}

// DrainArgs takes a host or a backend server out of service, or back in.
type DrainArgs struct {
	ID       string `codec:"i" json:"id"`
	Undo     bool   `codec:"u" json:"undo"`
	ChangeID string `codec:"c" json:"change_id"`
}

// DrainReply is the answer to a drain.
type DrainReply struct {
	Answer
}

// FailoverArgs requests a new primary of a group.
type FailoverArgs struct {
	Group string `codec:"g" json:"group"`
}

// FailoverReply is the answer to a failover request: it was accepted, not
// necessarily finished.
type FailoverReply struct {
	Answer
}
