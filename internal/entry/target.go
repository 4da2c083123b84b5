package entry

// target is a member of a group together with the host that owns it, that is,
// holds the lease of its server.
type target struct {
	server      string
	dataCentre  string // of the owner
	address     string // rpc address of the owner
	host        string // id of the owner
	incarnation string // of the owner process
	epoch       uint64 // of the lease
	primary     bool
	draining    bool // receives no new work, unless it is the primary
	member      *member
}
