// Package directoryrpc defines the messages and the client of the directory
// service, which decides the configuration in force, keeps track of the backend
// servers and names the primary of each database group.
//
// Only the leader of the control hosts serves requests; the others reply with
// errkind.NotLeader and the address of the leader, which Client then calls.
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

// Server is the announcement of a backend server.
type Server struct {
	ID         string         `codec:"i" json:"id"`
	Group      string         `codec:"g" json:"group"`
	Address    string         `codec:"a" json:"address"` // ip:port
	DataCentre string         `codec:"d" json:"data_centre"`
	Release    string         `codec:"v" json:"release"` // software version
	Slots      int            `codec:"s" json:"slots"`   // statements that it runs concurrently
	Draining   bool           `codec:"x" json:"draining,omitempty"`
	Role       statement.Role `codec:"r" json:"role"`     // as reported by the server
	Born       int64          `codec:"b" json:"born"`     // start of its process, in Unix milliseconds; 0 if unknown
	Sequence   uint64         `codec:"n" json:"sequence"` // grows with each announcement of the process
}

// Newer reports whether s is a later announcement than old of the same server.
func (s Server) Newer(old Server) bool {
	if s.Born != old.Born {
		return s.Born > old.Born
	}
	return s.Sequence > old.Sequence
}

// Contradicts reports whether an announcement gives a process another group or address
// than old. A process keeps both, so another writer has sent one of them.
func (s Server) Contradicts(old Server) bool {
	return s.Born != 0 && s.Born == old.Born && (s.Group != old.Group || s.Address != old.Address)
}

// Same reports whether two announcements differ at most in their Sequence.
func (s Server) Same(old Server) bool {
	s.Sequence = old.Sequence
	return s == old
}

// Group is the state of the primary of a database group.
type Group struct {
	Name       string `codec:"n" json:"name"`
	Primary    string `codec:"p" json:"primary"`    // server id
	Generation uint64 `codec:"g" json:"generation"` // grows with each change of the group
	Switching  bool   `codec:"s" json:"switching"`  // another primary is being chosen; Primary takes no statements
	Target     string `codec:"t" json:"target"`     // server to promote; empty if none was chosen yet
	// Term is the term in which Primary leads. A server that shows the primary role in a
	// term up to this one, other than Primary itself, is superseded. 0: not known, as in a
	// state of an earlier release.
	Term uint64 `codec:"m,omitempty" json:"term"`
	// Asked holds the ids of the servers whose promotion was requested since Primary was
	// recorded. Each may have taken effect, whether the request was answered or not, so
	// while there are any, Primary must not be used again without a promotion of its own.
	Asked []string `codec:"q,omitempty" json:"asked,omitempty"`
	// Starts holds where the logs of the latest terms began, in ascending order. Hosts are
	// not sent it.
	Starts []TermStart `codec:"b,omitempty" json:"starts,omitempty"`
}

// TermStart is the number of commits in the log of a primary when its term began. Commits
// of earlier terms beyond it are rolled back.
type TermStart struct {
	Term uint64 `codec:"t" json:"term"`
	LSN  uint64 `codec:"l" json:"lsn"`
}

// State is the replicated state that the directory sends to the entry hosts. Its
// maps are not modified once it is published.
type State struct {
	Version       uint64            `codec:"v" json:"version"` // log index of the last change
	ConfigVersion uint64            `codec:"c" json:"config_version"`
	Document      []byte            `codec:"d" json:"-"` // the configuration as the operator sent it, compressed
	Servers       map[string]Server `codec:"s" json:"servers"`
	Groups        map[string]Group  `codec:"g" json:"groups"`
	Controls      map[string]string `codec:"h" json:"controls"` // data centre of each control host, by id
	HostCount     int               `codec:"k" json:"hosts"`    // number of entry hosts with a lease, as last recorded by a leader
}

// Host is an entry host. The optional fields are for connections that hosts share;
// hosts of an earlier release don't send them.
type Host struct {
	ID          string `codec:"i" json:"id"`
	Incarnation string `codec:"n" json:"incarnation"`                      // new at every start of the process
	PeerAddress string `codec:"p,omitempty" json:"peer_address,omitempty"` // ip:port for other hosts; empty if it serves none
	DataCentre  string `codec:"d,omitempty" json:"data_centre,omitempty"`
	Draining    bool   `codec:"x,omitempty" json:"draining,omitempty"` // about to stop: it must not become a connector
}

// Report is what an entry host observes about the primary of a group.
type Report struct {
	Group         string          `codec:"g" json:"group"`
	Generation    uint64          `codec:"n" json:"generation"`
	FailingFor    time.Duration   `codec:"f" json:"failing"`   // time since the first of the uninterrupted failures; 0 if it answers
	LastAnswerAge time.Duration   `codec:"a" json:"answered"`  // time since its last answer; 0 if there was none
	Position      logpos.Position `codec:"p" json:"position"`  // latest known position of the primary's log
	Reachable     []string        `codec:"r" json:"reachable"` // ids of other servers of the group that answer; only set if the primary is failing
}

// SyncArgs renews the lease of a host and waits for a newer state.
type SyncArgs struct {
	Host          Host          `codec:"h"`
	Version       uint64        `codec:"v"`           // newest state that the host has applied; it no longer uses a primary that this state replaces
	ConfigVersion uint64        `codec:"c"`           // the reply omits the document if it has this version
	Reports       []Report      `codec:"r"`           // replace those of the last request
	Leaving       bool          `codec:"l"`           // the host is stopping and gives up its lease; Reports are its last
	Wait          time.Duration `codec:"w"`           // maximum time to wait for a newer state
	Delta         bool          `codec:"e"`           // the host merges SyncReply.Changes; otherwise the reply has the whole State
	AsksHosts     bool          `codec:"k,omitempty"` // the host shares connections and needs the list of hosts
	HostsVersion  uint64        `codec:"o,omitempty"` // version of the list that the host has; 0 for none
}

// SyncReply grants the host a lease for TTL, which the host counts from before it
// sent the request. While the lease is valid, the host may use the primaries named
// in the newest state that it has.
type SyncReply struct {
	controlrpc.Answer
	TTL     time.Duration  `codec:"t"`
	Changed bool           `codec:"c"` // State is set, for a host of an earlier release
	State   State          `codec:"s"`
	Base    EncodedChanges `codec:"b"` // a whole state, if the changes since the version of the host are not known; Changes apply to it
	Changes EncodedChanges `codec:"e"`
	Control []string       `codec:"a"` // rpc addresses of the control hosts
	// AsksReports reports that the next request needs to include only the reports on
	// Suspected, on groups whose primary is failing, and on switching groups. It is
	// false from control of an earlier release, which needs all.
	AsksReports bool     `codec:"q"`
	Suspected   []string `codec:"u"` // groups whose primary some host fails to reach; not all if there are many
	HostCount   int      `codec:"n"` // number of entry hosts that share the servers
	// Allowances reports that the leader limits the operations of customers, with the
	// method Allowance. Leaders of earlier releases don't.
	Allowances bool `codec:"al,omitempty"`
	// Hosts is the change of the list of hosts since SyncArgs.HostsVersion; nil if
	// there is none, or if the host did not ask. HostsPending reports that a new
	// leader does not know all hosts yet and will send the list within the lease TTL.
	Hosts        *HostChanges `codec:"o,omitempty"`
	HostsPending bool         `codec:"z,omitempty"`
}

// AnnounceArgs carries the announcement of a backend server.
type AnnounceArgs struct {
	Server Server `codec:"s"`
	Gone   bool   `codec:"g"` // the server has stopped or is stopping
}

// AnnounceReply is the answer to an announcement.
type AnnounceReply struct {
	controlrpc.Answer
}

// RegisterArgs carries the data centre of a control host.
type RegisterArgs struct {
	ID         string `codec:"i"`
	DataCentre string `codec:"d"`
}

// RegisterReply is the answer to a registration.
type RegisterReply struct {
	controlrpc.Answer
}

// PutArgs submits a configuration. The highest version is in force; a lower or
// equal version changes nothing and is acknowledged as well.
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
