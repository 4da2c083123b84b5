package entry

// target is a member of a group together with the host that owns it.
type target struct {
	server      string
	dataCentre  string // of the owner
	address     string // rpc address of the owner
	host        string // id of the owner
	incarnation string // of the owner process
	epoch       uint64
	primary     bool
	draining    bool // no new work
	member      *member
}
