package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
)

// wireJSON holds the names of the platform's protocols, which stand in no Go file
// outside of platform/.
//
//go:embed wire.json
var wireJSON []byte

// wireNames are the names of the platform's protocols. A string "$name" in a
// document, such as Heartbeat, is replaced by the value of that name.
type wireNames struct {
	Words     map[string]string `json:"words"`
	Paths     map[string]string `json:"paths"`
	Headers   map[string]string `json:"headers"`
	Settings  map[string]string `json:"settings"`
	Heartbeat any               `json:"heartbeat"`
	Config    map[string]any    `json:"config"`

	AddedRoute       any `json:"added_route"`
	ForeignHeartbeat any `json:"foreign_heartbeat"` // lacks fields that every member sends
}

func loadWireNames() (*wireNames, error) {
	n := new(wireNames)
	if err := json.Unmarshal(wireJSON, n); err != nil {
		return nil, fmt.Errorf("wire.json: %w", err)
	}
	return n, nil
}

// fill returns the JSON of a document whose strings "$name" are replaced by values.
func fill(document any, values map[string]any) []byte {
	b, err := json.Marshal(replace(document, values))
	if err != nil {
		panic(err) // every value comes from this program
	}
	return b
}

func replace(v any, values map[string]any) any {
	switch v := v.(type) {
	case string:
		if len(v) > 1 && v[0] == '$' {
			return values[v[1:]]
		}
	case []any:
		out := make([]any, len(v))
		for i, e := range v {
			out[i] = replace(e, values)
		}
		return out
	case map[string]any:
		out := make(map[string]any, len(v))
		for k, e := range v {
			out[k] = replace(e, values)
		}
		return out
	}
	return v
}
