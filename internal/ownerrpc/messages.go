// Package ownerrpc holds the messages and the client of the owner service,
// which runs on every entry host and executes cycles on the backend servers
// that the host owns.
//
// A cycle is one simple Query message, or the extended-protocol messages up
// to and including Sync. The entry addresses a cycle to one backend server.
// The owner checks its lease, the term and the required position before the
// cycle runs, so the entry's view of the cluster need not be current.
//
// # Usage
//
//	c := ownerrpc.Client{Call: pool.Call}
//	reply, err := c.Exec(ctx, address, &ownerrpc.ExecArgs{...})
//	// err: transport failure; reply.Kind: the answer of the owner
package ownerrpc

import (
	"time"

	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/logpos"
)

// RequestID identifies one cycle of one session as sent to one owner. It is used
// to match answers, to cancel the cycle and to ask for its outcome. Only a resend
// of the same cycle to the same server of the same owner may reuse it.
type RequestID struct {
	Entry   string `codec:"e"` // host id and incarnation of the entry
	Session uint64 `codec:"s"` // session number within the incarnation
	Number  uint64 `codec:"n"` // number within the session, from 1; increases with each new id
}

// ExecArgs asks the owner to execute one cycle.
type ExecArgs struct {
	ID               RequestID       `codec:"i"`
	Group            string          `codec:"g"`
	Server           string          `codec:"s"` // backend server id
	Term             uint64          `codec:"t"` // group term known to the entry; 0 for reads at a replica
	Rank             string          `codec:"r"` // traffic rank name
	Budget           time.Duration   `codec:"b"` // time left until the caller's deadline
	Write            bool            `codec:"w"` // may change data; executed only by a primary
	Begin            bool            `codec:"x"` // may open a transaction
	InTx             bool            `codec:"y"` // continues the session's open transaction
	Repeatable       bool            `codec:"p"` // may safely be executed more than once
	RequestToken     string          `codec:"k"` // caller's request_id; empty if none
	RequiredPosition logpos.Position `codec:"q"` // position that the member must have applied
	Messages         []byte          `codec:"m"` // raw frontend messages of the cycle
}

// ExecReply is the answer to one cycle.
type ExecReply struct {
	ID       RequestID       `codec:"i"` // copied from the arguments
	Kind     errkind.Kind    `codec:"k"` // empty on success
	Detail   string          `codec:"d"`
	Messages []byte          `codec:"m"` // raw backend messages up to and including ReadyForQuery
	TxStatus byte            `codec:"t"` // 'I', 'T' or 'E'
	Position logpos.Position `codec:"p"` // position of the committed write; zero if the cycle committed none
	Load     Load            `codec:"l"`

	sent func() // called once the reply has been written; nil for none
}

// OnSent sets a function that is called once the reply has been written.
func (r *ExecReply) OnSent(f func()) { r.sent = f }

// Sent is called by the peer server after it has written the reply.
func (r *ExecReply) Sent() {
	if r.sent != nil {
		r.sent()
	}
}

// Load is the load of one server as the owner reports it with every answer.
type Load struct {
	Server   string          `codec:"s"`
	Applied  logpos.Position `codec:"a"` // last known applied position
	Queued   map[string]int  `codec:"q"` // queue length by rank
	Full     []string        `codec:"f"` // ranks whose queue is at its limit
	Service  time.Duration   `codec:"v"` // smoothed service time of a cycle
	Slots    int             `codec:"n"`
	Draining bool            `codec:"d"`
}

// CancelArgs asks the owner to cancel a cycle that has not started.
type CancelArgs struct {
	ID     RequestID `codec:"i"`
	Server string    `codec:"s"`
}

// CancelReply states in Confirmed whether it is certain that the cycle did not
// and will not run. Confirmed is also true for a cycle that the owner has not
// received yet, because the owner then refuses it when it arrives.
//
// Incarnation identifies the host process that answered. After a restart, a
// process does not know the cycles it received before, so the entry accepts
// Confirmed only from the incarnation that it sent the cycle to.
type CancelReply struct {
	Confirmed   bool   `codec:"c"`
	Incarnation string `codec:"n"`
}

// OutcomeArgs asks for the stored answer of a cycle.
type OutcomeArgs struct {
	ID     RequestID `codec:"i"`
	Server string    `codec:"s"`
}

// OutcomeReply contains the stored answer, if the owner has one.
type OutcomeReply struct {
	Found       bool      `codec:"f"`
	Running     bool      `codec:"r"` // the cycle is queued or running
	Reply       ExecReply `codec:"a"`
	Incarnation string    `codec:"n"` // of the host process that answered; see CancelReply
}

// ReleaseArgs ends a session, whose open transaction is rolled back.
type ReleaseArgs struct {
	Entry   string `codec:"e"`
	Session uint64 `codec:"s"`
	Server  string `codec:"v"`
}

// ReleaseReply is empty.
type ReleaseReply struct{}

// PositionArgs asks the owner of a primary for its confirmed position: a
// position at or after every write acknowledged before the call.
type PositionArgs struct {
	Group string `codec:"g"`
	Term  uint64 `codec:"t"`
}

// PositionReply contains the confirmed position, or the error that prevented
// reading it.
type PositionReply struct {
	Kind     errkind.Kind    `codec:"k"`
	Detail   string          `codec:"d"`
	Position logpos.Position `codec:"p"`
}

// StatusArgs asks for the status of every server that the host owns. Entries
// send it every 200 ms to the owners that they use, because an owner rolls back
// the transactions of an entry from which it has received no request for 2 s.
type StatusArgs struct {
	Entry string `codec:"e"` // host id and incarnation of the entry; keeps its transactions open
}

// StatusReply lists the status of every owned server.
type StatusReply struct {
	Host    string         `codec:"h"`
	Servers []ServerStatus `codec:"s"`
}

// ServerStatus is the status of one server as observed by its owner. It is also
// a row of the state dump and the input of the health evaluation.
type ServerStatus struct {
	Server        string          `codec:"s" json:"server"`
	Group         string          `codec:"g" json:"group"`
	Epoch         uint64          `codec:"e" json:"epoch"`
	Term          uint64          `codec:"t" json:"term"`
	Primary       bool            `codec:"p" json:"primary"`
	LeaseLeft     time.Duration   `codec:"l" json:"lease_left"`
	Reachable     bool            `codec:"r" json:"reachable"`
	LastAnswerAge time.Duration   `codec:"h" json:"heard_age"` // time since the server last answered
	Applied       logpos.Position `codec:"a" json:"applied"`
	Load          Load            `codec:"o" json:"load"`
	Connections   int             `codec:"c" json:"connections"`
	OpenTx        int             `codec:"x" json:"open_tx"`
	Successes     uint64          `codec:"u" json:"successes"`
	Failures      uint64          `codec:"f" json:"failures"`
	Refused       uint64          `codec:"d" json:"refused"`
}

// RevokeArgs ends a lease or the primary role of a server before its expiry.
type RevokeArgs struct {
	Server string `codec:"s"`
	Epoch  uint64 `codec:"e"` // leases up to this epoch end; 0 for none
	Term   uint64 `codec:"t"` // the primary role up to this term ends; 0 for none
}

// RevokeReply confirms that the host no longer acknowledges anything under the
// revoked lease or role.
type RevokeReply struct {
	Confirmed bool `codec:"c"`
}
