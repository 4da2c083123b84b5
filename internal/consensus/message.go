package consensus

import "github.com/arbutusring/arbutusring/internal/wal"

// MessageKind is a kind of message. Its value is part of the wire format.
type MessageKind string

// The kinds of messages.
const (
	MessagePreVote       MessageKind = "pre_vote" // asks whether the receiver would vote in Term
	MessagePreVoteReply  MessageKind = "pre_vote_reply"
	MessageVote          MessageKind = "vote"
	MessageVoteReply     MessageKind = "vote_reply"
	MessageAppend        MessageKind = "append" // also the heartbeat
	MessageAppendReply   MessageKind = "append_reply"
	MessageSnapshot      MessageKind = "snapshot" // one chunk
	MessageSnapshotReply MessageKind = "snapshot_reply"
	MessageTimeoutNow    MessageKind = "timeout_now" // asks the receiver to take over leadership
	MessageHello         MessageKind = "hello"       // from a host that no leader contacts
	MessageHelloReply    MessageKind = "hello_reply"
	MessageBootstrap     MessageKind = "bootstrap" // carries log entry 1, the first membership
)

// Message is one message between two hosts. Messages may be lost, duplicated
// and reordered.
type Message struct {
	Kind MessageKind `codec:"k"`
	From Member      `codec:"f"`
	To   Member      `codec:"o"` // the incarnation is empty only in a hello
	Term uint64      `codec:"t"`

	// Index and LogTerm identify an entry. Vote requests: the last entry of the
	// candidate. Append: the entry before Entries. Append reply: the last entry
	// known to match, or the Index of the rejected append. Snapshot: the last
	// entry that it includes. Hello: the last entry of the sender.
	Index   uint64 `codec:"i"`
	LogTerm uint64 `codec:"l"`

	Entries []wal.Entry `codec:"e"`
	Commit  uint64      `codec:"c"` // append: commit index of the leader

	Reject bool `codec:"r"`
	// Hint and HintTerm, in the reply to a rejected append, identify the last
	// entry of the receiver that may match.
	Hint     uint64 `codec:"h"`
	HintTerm uint64 `codec:"x"`

	// Sent is the leader's clock reading when it sent the message, in
	// nanoseconds from an origin of its own. The reply copies it.
	Sent int64 `codec:"s"`

	// Transfer marks a vote request that follows a leadership transfer, and a
	// hello of the bootstrap coordinator.
	Transfer bool `codec:"v"`

	Members []Member `codec:"m"` // snapshot, rejecting hello reply: membership; hello: bootstrap members
	Offset  uint64   `codec:"p"` // snapshot: offset of Data; reply: bytes received
	Size    uint64   `codec:"z"` // snapshot: total bytes
	Data    []byte   `codec:"d"`
}
