package directory

import (
	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/internal/msgpack"
	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// Command is one change of the replicated state. Exactly one field is set.
type Command struct {
	Put      *PutConfig    `codec:"a,omitempty"`
	Announce *PutServer    `codec:"b,omitempty"`
	Remove   *RemoveServer `codec:"c,omitempty"`
	Group    *SetGroup     `codec:"d,omitempty"`
	Control  *PutControl   `codec:"e,omitempty"`
	Hosts    *SetHosts     `codec:"f,omitempty"`
}

// PutConfig puts a configuration into force if its version is the highest.
type PutConfig struct {
	Version  uint64 `codec:"v"`
	Document []byte `codec:"d"`
}

// PutServer stores a backend server unless a newer announcement is stored.
type PutServer struct {
	Server directoryrpc.Server `codec:"s"`
}

// RemoveServer forgets a backend server unless it was started anew.
type RemoveServer struct {
	ID   string `codec:"i"`
	Born int64  `codec:"b"`
}

// SetGroup replaces a group whose generation is Expect; 0 if there is none.
// The generation of the result is one more.
type SetGroup struct {
	Group  directoryrpc.Group `codec:"g"`
	Expect uint64             `codec:"e"`
}

// PutControl stores the data centre of a control host.
type PutControl struct {
	ID         string `codec:"i"`
	DataCentre string `codec:"d"`
}

// SetHosts stores the number of entry hosts, for the next leader.
type SetHosts struct {
	Count int `codec:"n"`
}

// result is what Machine.Apply returns.
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

// EncodeCommand returns the log entry for a command.
func EncodeCommand(c Command) []byte { return msgpack.Encode(c) }
