package control

import "github.com/arbutusring/arbutusring/internal/msgpack"

func encode(v any) []byte { return msgpack.Encode(v) }

func decode(data []byte, v any, what string) error { return msgpack.Decode(data, v, what) }

// EncodeCommands returns the log entry for a list of commands.
func EncodeCommands(commands ...Command) []byte { return encode(commands) }

// DecodeResults decodes the return value of Machine.Apply, one result per
// command.
func DecodeResults(data []byte) ([]Result, error) {
	var results []Result
	return results, decode(data, &results, "results of a log entry")
}
