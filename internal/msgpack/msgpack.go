// Package msgpack encodes the entries and snapshots of replicated state. Maps
// are written in key order, so that equal states have equal bytes.
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

// Encode panics on failure: plain structs, maps and slices always encode.
func Encode(v any) []byte {
	var out []byte
	if err := codec.NewEncoderBytes(&out, handle()).Encode(v); err != nil {
		panic("msgpack: encoding " + err.Error())
	}
	return out
}

// Decode reads what Encode wrote. what names the data in the error.
func Decode(data []byte, v any, what string) error {
	if err := codec.NewDecoderBytes(data, handle()).Decode(v); err != nil {
		return errkind.Wrap(errkind.Internal, err, "decoding %s", what)
	}
	return nil
}
