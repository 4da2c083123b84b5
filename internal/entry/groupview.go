package entry

// groupView is one database group.
type groupView struct {
	view    *view
	name    string
	term    uint64
	primary *target // nil while there is none that can be reached
	targets []*target
}
