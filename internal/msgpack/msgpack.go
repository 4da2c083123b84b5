// Package msgpack encodes the log entries and snapshots of replicated state in
// MessagePack. Maps are written in key order, so that equal states have equal
// encodings.
//
// # Usage
//
//	data := msgpack.Encode(commands)
//	err := msgpack.Decode(data, &commands, "a log entry")
package msgpack

import (
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/ugorji/go/codec"
)

func handle() *codec.MsgpackHandle {
	h := new(codec.MsgpackHandle)
	h.WriteExt = true
	h.Canonical = true
	return h
}

// Encode returns the encoding of v. It panics on failure, which does not occur
// with plain structs, maps and slices.
func Encode(v any) []byte {
	var out []byte
	if err := codec.NewEncoderBytes(&out, handle()).Encode(v); err != nil {
		panic("msgpack: encoding " + err.Error())
	}
	return out
}

// Decode decodes the output of Encode into v. what describes the data in error
// messages.
func Decode(data []byte, v any, what string) error {
	if err := codec.NewDecoderBytes(data, handle()).Decode(v); err != nil {
		return errkind.Wrap(errkind.Internal, err, "decoding %s", what)
	}
	return nil
}
