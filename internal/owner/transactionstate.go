package owner

import "time"

// TransactionState describes an open transaction in the dump.
type TransactionState struct {
	Server  string        `json:"server"`
	Entry   string        `json:"entry"`
	Session uint64        `json:"session"`
	Rank    string        `json:"rank"`
	Primary bool          `json:"primary"`
	Term    uint64        `json:"term"`
	Busy    bool          `json:"busy"`
	Idle    time.Duration `json:"idle"`
}
