package standin

// rowKey identifies a row.
type rowKey struct {
	Table string `codec:"t"`
	Key   string `codec:"k"`
}

// rowChange is the new state of one row.
type rowChange struct {
	Row     rowKey `codec:"r"`
	Value   string `codec:"v"`
	Deleted bool   `codec:"d"`
}
