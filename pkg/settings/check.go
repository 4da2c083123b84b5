package settings

import (
	"net/netip"

	"github.com/rs/zerolog"
	"github.com/zeebo/errs"
)

// checker collects every problem of a file, so that one start shows them all.
type checker struct {
	file  string
	group errs.Group
	taken map[string]string // address to key
}

func (c *checker) fail(key, format string, args ...any) {
	c.group.Add(Error.New("%s: %s: "+format, append([]any{c.file, key}, args...)...))
}

func (c *checker) present(key, value string) {
	if value == "" {
		c.fail(key, "is missing")
	}
}

// listen checks an address that the process listens on. Port 0 lets the
// system choose and clashes with nothing.
func (c *checker) listen(key, value string) {
	if value == "" {
		c.fail(key, "is missing")
		return
	}
	addr, ok := c.address(key, value)
	if !ok || addr.Port() == 0 {
		return
	}
	if other, ok := c.taken[value]; ok {
		c.fail(key, "address %s is taken by %s", value, other)
	}
	c.taken[value] = key
}

func (c *checker) address(key, value string) (netip.AddrPort, bool) {
	addr, err := netip.ParseAddrPort(value)
	if err != nil {
		c.fail(key, "%q is not of the form ip:port", value)
	}
	return addr, err == nil
}

func (s *Settings) check(file string, role Role) error {
	c := &checker{file: file, taken: make(map[string]string)}
	c.present("host.id", s.Host.ID)
	c.present("host.data_centre", s.Host.DataCentre)
	c.present("host.region", s.Host.Region)
	c.listen("listen.peers", s.Listen.Peers)
	c.listen("listen.operators", s.Listen.Operators)
	if len(s.Control.Addresses) == 0 {
		c.fail("control.addresses", "is missing")
	}
	for _, a := range s.Control.Addresses {
		c.address("control.addresses", a)
	}
	if _, err := zerolog.ParseLevel(s.Log.Level); err != nil {
		c.fail("log.level", "%q is no level", s.Log.Level)
	}
	switch role {
	case RoleEntry:
		s.checkEntry(c)
	case RoleControl:
		s.checkControl(c)
	default:
		return Error.New("unknown role %q", role)
	}
	return c.group.Err()
}

func (s *Settings) checkEntry(c *checker) {
	c.listen("listen.callers", s.Listen.Callers)
	if s.Control.DataFolder != "" {
		c.fail("control.data_folder", "an entry process keeps no files")
	}
	for key, n := range map[string]int{
		"entry.max_connections":  s.Entry.MaxConnections,
		"entry.max_cycle_bytes":  s.Entry.MaxCycleBytes,
		"entry.max_answer_bytes": s.Entry.MaxAnswerBytes,
	} {
		if n < 1 {
			c.fail(key, "is %d, must be at least 1", n)
		}
	}
}

func (s *Settings) checkControl(c *checker) {
	if s.Listen.Callers != "" {
		c.fail("listen.callers", "a control process serves no callers")
	}
	c.present("control.data_folder", s.Control.DataFolder)
	for id, a := range s.Control.Members {
		c.address("control.members."+id, a)
	}
	if _, ok := s.Control.Members[s.Host.ID]; s.Control.Bootstrap && !ok {
		c.fail("control.members", "must name this host %q for a bootstrap", s.Host.ID)
	}
}
