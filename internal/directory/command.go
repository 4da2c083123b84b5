package directory

import (
	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/internal/msgpack"
	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// Command is one change to the replicated state. Exactly one field is set.
type Command struct {
	Put       *PutConfig    `codec:"a,omitempty"`
	Announce  *PutServer    `codec:"b,omitempty"`
	Remove    *RemoveServer `codec:"c,omitempty"`
	Group     *SetGroup     `codec:"d,omitempty"`
	Control   *PutControl   `codec:"e,omitempty"`
	HostCount *SetHostCount `codec:"f,omitempty"`

	AllowanceLedger *SetAllowanceLedger `codec:"al,omitempty"`
}

// PutConfig puts a configuration into force if its version is the highest.
type PutConfig struct {
	Version  uint64 `codec:"v"`
	Document []byte `codec:"d"`
}

// PutServer stores a backend server unless a newer announcement of it is stored.
type PutServer struct {
	Server directoryrpc.Server `codec:"s"`
}

// RemoveServer removes a backend server unless its process was restarted since.
// Born is the start time of the process; 0 matches any.
type RemoveServer struct {
	ID   string `codec:"i"`
	Born int64  `codec:"b"`
}

// SetGroup replaces a group if its generation is ExpectedGeneration, which is 0
// for a group that does not exist. The new generation is one higher.
type SetGroup struct {
	Group              directoryrpc.Group `codec:"g"`
	ExpectedGeneration uint64             `codec:"e"`
}

// PutControl stores the data centre of a control host.
type PutControl struct {
	ID         string `codec:"i"`
	DataCentre string `codec:"d"`
}

// SetHostCount stores the number of entry hosts for the next leader.
type SetHostCount struct {
	Count int `codec:"n"`
}

// SetAllowanceLedger stores the state of the ledger of a leader for the next one. It is
// stored before the ledger grants the first token.
type SetAllowanceLedger struct {
	Term    uint64 `codec:"t"` // of the log
	Settled bool   `codec:"s"` // the ledger counts all tokens that hosts may hold
}

// result is the outcome of a command, which Machine.Apply returns encoded.
type result struct {
	Kind   errkind.Kind `codec:"k"`
	Detail string       `codec:"d"`
}

func (r result) err() error {
	if r.Kind == errkind.OK {
		return nil
	}
	return errkind.New(r.Kind, "%s", r.Detail)
}

// EncodeCommand returns the log entry of a command.
func EncodeCommand(c Command) []byte { return msgpack.Encode(c) }
