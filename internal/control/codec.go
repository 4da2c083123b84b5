package control

import (
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/ugorji/go/codec"
)

// handle returns the msgpack settings of the log and of snapshots. Maps are
// written in key order, so that equal states have equal snapshots.
func handle() *codec.MsgpackHandle {
	h := new(codec.MsgpackHandle)
	h.WriteExt = true
	h.Canonical = true
	return h
}

// encode panics on failure: the types of this package always encode.
func encode(v any) []byte {
	var out []byte
	if err := codec.NewEncoderBytes(&out, handle()).Encode(v); err != nil {
		panic("control: encoding " + err.Error())
	}
	return out
}

func decode(data []byte, v any, what string) error {
	if err := codec.NewDecoderBytes(data, handle()).Decode(v); err != nil {
		return errkind.Wrap(errkind.Internal, err, "decoding %s", what)
	}
	return nil
}

// EncodeCommands returns the log entry for a list of commands.
func EncodeCommands(commands ...Command) []byte { return encode(commands) }

// DecodeResults reads what Machine.Apply returned, one result a command.
func DecodeResults(data []byte) ([]Result, error) {
	var results []Result
	return results, decode(data, &results, "results of a log entry")
}
