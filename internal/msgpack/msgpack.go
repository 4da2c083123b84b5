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

// nilValue is the encoding of nil, which the codec decodes as the zero value.
const nilValue = 0xc0

// Decode decodes the output of Encode into v. The data must be one whole value and not
// nil. what describes the data in error messages.
func Decode(data []byte, v any, what string) error {
	if len(data) > 0 && data[0] == nilValue {
		return errkind.New(errkind.Internal, "decoding %s: it is nil", what)
	}
	d := codec.NewDecoderBytes(data, handle())
	if err := d.Decode(v); err != nil {
		return errkind.Wrap(errkind.Internal, err, "decoding %s", what)
	}
	if n := len(data) - d.NumBytesRead(); n != 0 {
		return errkind.New(errkind.Internal, "decoding %s: %d bytes follow it", what, n)
	}
	return nil
}
