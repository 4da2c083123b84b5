package control

// dirty says which parts of the state have changed since the last view.
type dirty struct {
	servers, hosts, leases, groups, draining bool
}

// allDirty is the mark after a restore.
func allDirty() dirty { return dirty{true, true, true, true, true} }

// mark adds what the command may change.
func (d *dirty) mark(c Command) {
	switch {
	case c.Announce != nil:
		d.servers, d.groups = true, true
	case c.Remove != nil:
		d.servers, d.leases, d.draining = true, true, true
	case c.Register != nil:
		d.hosts = true
	case c.Forget != nil:
		d.hosts, d.draining = true, true
	case c.Revoke != nil, c.Assign != nil:
		d.leases = true
	case c.Begin != nil, c.Name != nil, c.Configure != nil:
		d.groups = true
	case c.Drain != nil:
		d.draining = true
	}
}
