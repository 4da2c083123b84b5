package entry

// groupView is one database group within a view.
type groupView struct {
	view    *view
	name    string
	term    uint64
	primary *target // nil while the group has no primary with a leased owner
	targets []*target
}
