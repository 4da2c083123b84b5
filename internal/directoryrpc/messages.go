// Package directoryrpc holds the messages and the client of the directory
// service, which decides the configuration in force, knows the backend servers
// and names the primary of each database group.
//
// Only the leader of the control hosts answers; the others answer
// errkind.NotLeader with the address of the leader, and Client follows.
//
// # Usage
//
//	c := directoryrpc.NewClient(addresses, pool.Call)
//	reply, err := c.Sync(ctx, &directoryrpc.SyncArgs{Host: host, Version: version})
package directoryrpc

import (
	"time"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/internal/statement"
	"github.com/arbutusring/arbutusring/pkg/logpos"
)

// Server is a backend server as it announces itself.
type Server struct {
	ID         string         `codec:"i" json:"id"`
	Group      string         `codec:"g" json:"group"`
	Address    string         `codec:"a" json:"address"` // ip:port
	DataCentre string         `codec:"d" json:"data_centre"`
	Release    string         `codec:"v" json:"release"` // version of its software
	Slots      int            `codec:"s" json:"slots"`   // statements that it runs at one time
	Draining   bool           `codec:"x" json:"draining,omitempty"`
	Role       statement.Role `codec:"r" json:"role"` // as it sees itself
	Born       int64          `codec:"b" json:"born"` // start of its process, in Unix milliseconds; 0 if unknown
	Sequence   uint64         `codec:"n" json:"sequence"`
}

// Newer reports whether s is a later announcement of the same server than old.
func (s Server) Newer(old Server) bool {
	if s.Born != old.Born {
		return s.Born > old.Born
	}
	return s.Sequence > old.Sequence
}

// Same reports whether two announcements differ in nothing but their number.
func (s Server) Same(old Server) bool {
	s.Sequence = old.Sequence
	return s == old
}

// Group is what the directory knows about the primary of a database group.
type Group struct {
	Name       string `codec:"n" json:"name"`
	Primary    string `codec:"p" json:"primary"`    // server id
	Generation uint64 `codec:"g" json:"generation"` // grows with each change of Primary or Switching
	Switching  bool   `codec:"s" json:"switching"`  // another primary is being chosen; Primary takes no statements
	Target     string `codec:"t" json:"target"`     // server that is being promoted; empty if none was chosen yet
}

// State is what hosts work from. Its maps are not changed once it was
// published.
type State struct {
	Version       uint64            `codec:"v" json:"version"` // log index of the last change
	ConfigVersion uint64            `codec:"c" json:"config_version"`
	Document      []byte            `codec:"d" json:"-"` // the configuration as the operator sent it, compressed
	Servers       map[string]Server `codec:"s" json:"servers"`
	Groups        map[string]Group  `codec:"g" json:"groups"`
	Controls      map[string]string `codec:"h" json:"controls"` // data centre of each control host, by id
	Hosts         int               `codec:"k" json:"hosts"`    // entry hosts with a lease, as an earlier leader counted them
}

// Host is an entry host.
type Host struct {
	ID          string `codec:"i" json:"id"`
	Incarnation string `codec:"n" json:"incarnation"` // new at every start of the process
}

// Report is what a host observes of the primary of a group.
type Report struct {
	Group      string          `codec:"g" json:"group"`
	Generation uint64          `codec:"n" json:"generation"`
	Failing    time.Duration   `codec:"f" json:"failing"`  // since when nothing but failures; 0 if it answers
	Answered   time.Duration   `codec:"a" json:"answered"` // since its last answer; 0 if there was none
	Position   logpos.Position `codec:"p" json:"position"` // latest known of the primary's log
	Reachable  []string        `codec:"r" json:"reachable"`
}

// SyncArgs renews the lease of a host and waits for a newer state.
type SyncArgs struct {
	Host          Host          `codec:"h"`
	Version       uint64        `codec:"v"` // state in force at the host, with everything released that it takes away
	ConfigVersion uint64        `codec:"c"` // the reply leaves the document out if it is of this version
	Reports       []Report      `codec:"r"`
	Leaving       bool          `codec:"l"` // the host stops and gives its lease up
	Wait          time.Duration `codec:"w"` // the reply comes without a change after this time
}

// SyncReply grants the host its lease for TTL, counted by the host from before
// it sent the request. Under the lease it may use the primaries of the newest
// state that it has.
type SyncReply struct {
	controlrpc.Answer
	TTL     time.Duration `codec:"t"`
	Changed bool          `codec:"c"`
	State   State         `codec:"s"`
	Control []string      `codec:"a"` // rpc addresses of the control hosts
	Hosts   int           `codec:"n"` // entry hosts that hold a lease
}

// AnnounceArgs passes on what a backend server says about itself.
type AnnounceArgs struct {
	Server Server `codec:"s"`
	Gone   bool   `codec:"g"` // it ends now
}

// AnnounceReply is the answer to an announcement.
type AnnounceReply struct {
	controlrpc.Answer
}

// RegisterArgs tells where a control host is.
type RegisterArgs struct {
	ID         string `codec:"i"`
	DataCentre string `codec:"d"`
}

// RegisterReply is the answer to a registration.
type RegisterReply struct {
	controlrpc.Answer
}

// PutArgs asks for a configuration. The highest version is in force; a lower
// or an equal one changes nothing and is acknowledged as well.
type PutArgs struct {
	Version  uint64 `codec:"v"`
	Document []byte `codec:"d"` // compressed
}

// PutReply acknowledges a configuration.
type PutReply struct {
	controlrpc.Answer
	Version uint64 `codec:"v"` // in force
}

// GetArgs asks for the configuration in force.
type GetArgs struct{}

// GetReply carries the newest acknowledged configuration.
type GetReply struct {
	controlrpc.Answer
	Version  uint64 `codec:"v"` // 0 if there is none yet
	Document []byte `codec:"d"` // compressed
}
