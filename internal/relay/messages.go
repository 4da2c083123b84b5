package relay

import (
	"github.com/arbutusring/arbutusring/internal/statement"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/logpos"
)

// version is sent in hello. A connector refuses higher versions.
const version = 1

// Kinds of frames: the first byte.
const (
	kindHello  = 'h' // sender: the first frame of a stream
	kindCall   = 'c' // sender: a statement
	kindCancel = 'x' // sender: a logical connection was closed
	kindProbe  = 'p' // sender: does the server answer?
	kindAnswer = 'a' // connector: the answer to a call or a probe
)

// hello is the first message of a sender.
type hello struct {
	Version int
	Host    string
	Sent    int64 // when the frame was sent, in ms on the clock of the sender
}

// target names one process of a backend server.
type target struct {
	Server   string
	Born     int64
	Customer string
}

// call is one statement. Within a transaction Target is empty: the logical connection
// has a connection to the server.
type call struct {
	ID          uint32
	Conn        uint32 // the logical connection
	Target      *target
	Sent        int64 // as in hello
	Remaining   int64 // time for the answer after Sent, in ms
	Rank        int
	ConnectWait int64 // longest wait for a connection, in ms; 0 for no limit of its own

	HasState bool              // the session state below is required
	Settings map[string]string // session values; nil for none

	// The prepared statement of an EXECUTE. The first call with a new PreparedID also
	// has the text, which the connector keeps for the stream. With the id 0 the text
	// is not kept.
	PreparedID   uint32
	PreparedText string
	PreparedRead bool

	Kind     statement.Kind
	Caller   string // id of the caller's request
	Text     string
	ReadOnly bool
	Name     string
	Value    string
	After    position
}

// position is an encoded log position; nil for none.
type position []uint64

func encodePosition(p logpos.Position) position {
	if p == (logpos.Position{}) {
		return nil
	}
	return position{p.Term, p.LSN}
}

// decode returns the position. One of another length must not be taken for none: a read
// would run at a server that lacks what it requires.
func (p position) decode() (logpos.Position, error) {
	switch len(p) {
	case 0:
		return logpos.Position{}, nil
	case 2:
		return logpos.Position{Term: p[0], LSN: p[1]}, nil
	}
	return logpos.Position{}, errkind.New(errkind.BadRequest, "a position of %d numbers", len(p))
}

// setRequest sets the fields of a statement.
func (c *call) setRequest(r statement.Request) {
	c.Kind, c.Caller, c.Text, c.ReadOnly, c.Name, c.Value, c.After = r.Kind, r.ID, r.Text, r.ReadOnly, r.Name, r.Value, encodePosition(r.After)
}

// request returns the statement.
func (c *call) request() (statement.Request, error) {
	after, err := c.After.decode()
	return statement.Request{Kind: c.Kind, ID: c.Caller, Text: c.Text, ReadOnly: c.ReadOnly, Name: c.Name, Value: c.Value, After: after}, err
}

// valid reports whether a peer may send the statement: only those of callers are
// relayed, and ROLLBACK.
func (c *call) valid() bool {
	return c.Kind >= statement.Begin && c.Kind <= statement.Execute && c.Kind != statement.Set && c.Kind != statement.Prepare
}

// complete reports whether the statement has what its kind requires. Without an id it would
// be sent as one of the proxy itself.
func (c *call) complete() bool {
	switch c.Kind {
	case statement.Rollback:
		return true
	case statement.Begin: // which the proxy sends without an id
		return c.Text != ""
	case statement.Execute:
		return c.Caller != "" && (c.PreparedText != "" || c.PreparedID != 0)
	}
	return c.Caller != "" && c.Text != ""
}

// maxSent bounds the Sent of a message, in ms: ten years, which a time.Duration holds.
const maxSent = 10 * 365 * 24 * 3600 * 1000

// checkSent refuses a time that no sender has, and that could overflow.
func checkSent(sent int64) error {
	if sent < 0 || sent > maxSent {
		return errkind.New(errkind.BadRequest, "a message was sent at %d ms", sent)
	}
	return nil
}

// cancel says that a logical connection was closed.
type cancel struct {
	Conn uint32
}

// probe asks whether a server answers.
type probe struct {
	ID        uint32
	Target    target
	Remaining int64 // in ms
}

// answer is the answer to a call or a probe. With Err the statement has no answer:
// ServerLost if it was sent to the server, any other kind if it was not.
type answer struct {
	ID      uint32
	Err     errkind.Kind // empty for an answer of the server
	Refused bool         // with Err: the server refuses connections
	Detail  string       // of Err or FailKind

	State    uint8
	Receipt  string
	Rows     []string
	Position position
	FailKind errkind.Kind // empty on success
	FailCode string
}

// setAnswer sets the fields of an answer of the server.
func (a *answer) setAnswer(s statement.Answer) {
	a.State, a.Receipt, a.Rows, a.Position = uint8(s.State), s.Receipt, s.Rows, encodePosition(s.Position)
	if s.Failure != nil {
		a.FailKind, a.FailCode, a.Detail = s.Failure.Kind, s.Failure.Code, s.Failure.Detail
	}
}

// statementAnswer returns the answer of the server. An error means that the message is
// not a whole answer.
func (a *answer) statementAnswer() (statement.Answer, error) {
	s := statement.Answer{State: statement.State(a.State), Receipt: a.Receipt, Rows: a.Rows}
	switch s.State {
	case statement.Idle, statement.Open, statement.Failed:
	default:
		return s, errkind.New(errkind.BadRequest, "an answer with the state %d", a.State)
	}
	var err error
	if s.Position, err = a.Position.decode(); err != nil {
		return s, err
	}
	if a.FailKind != "" {
		s.Failure = &statement.Failure{Kind: a.FailKind, Code: a.FailCode, Detail: a.Detail}
	}
	return s, nil
}
