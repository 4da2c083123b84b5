package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
)

// wireNames holds the words and paths of the protocols that the stand-ins speak.
type wireNames struct {
	Connect, Query, Close, Ready, Row, Complete, Error string
	Begin, Commit, Rollback, Fetch, Store, Status      string
	StepDown                                           string `json:"step_down"`
	WaitPosition                                       string `json:"wait_position"`
	Lagging                                            string
	ReadOnly                                           string `json:"read_only"`
	WrongNode                                          string `json:"wrong_node"`
	Malformed                                          string
	Promises                                           []string // codes that promise that nothing was kept
	PromotePath                                        string   `json:"promote_path"`
	ReplacePath                                        string   `json:"replace_path"`
	ReadPath                                           string   `json:"read_path"`
	ReadyPath                                          string   `json:"ready_path"`
	HeartbeatPath                                      string   `json:"heartbeat_path"`
	HolderHeader                                       string   `json:"holder_header"`
	TokenHeader                                        string   `json:"token_header"`
}

var (
	//go:embed wire.json
	wireText []byte
	//go:embed config.json
	configText string // a format with the version
	//go:embed heartbeat.json
	heartbeatText string // a format with address, zone, role, sequence and start time

	wire = mustParseWire()
)

func mustParseWire() wireNames {
	var w wireNames
	if err := json.Unmarshal(wireText, &w); err != nil {
		panic(fmt.Sprintf("wire.json: %v", err))
	}
	return w
}
