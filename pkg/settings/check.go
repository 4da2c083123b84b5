package settings

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"

	"github.com/arbutusring/arbutusring/pkg/tomlstrict"
	"github.com/zeebo/errs"
)

// levels are the values of log.level.
var levels = []string{"debug", "info", "warn", "error"}

// checker collects every problem of a file, so that one start shows them all.
type checker struct {
	file  string
	lines tomlstrict.Lines
	group errs.Group
	taken []listener
}

// listener is an address that a key has taken.
type listener struct {
	key  string
	addr netip.AddrPort
}

func (c *checker) fail(key, format string, args ...any) {
	c.group.Add(Error.New("%s: %s", c.lines.At(c.file, key), fmt.Sprintf(format, args...)))
}

func (c *checker) present(key, value string) {
	if value == "" {
		c.fail(key, "is missing")
	}
}

func (c *checker) positive(key string, n int) {
	if n < 1 {
		c.fail(key, "is %d, must be at least 1", n)
	}
}

// listen checks an address that the process listens on. Port 0 lets the
// system choose and clashes with nothing. An unspecified address such as
// 0.0.0.0 clashes with every address of the same port.
func (c *checker) listen(key, value string) {
	if value == "" {
		c.fail(key, "is missing")
		return
	}
	addr, ok := c.address(key, value)
	if !ok || addr.Port() == 0 {
		return
	}
	addr = netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
	for _, other := range c.taken {
		if clash(addr, other.addr) {
			c.fail(key, "address %s is taken by %s", value, other.key)
			return
		}
	}
	c.taken = append(c.taken, listener{key: key, addr: addr})
}

func clash(a, b netip.AddrPort) bool {
	return a.Port() == b.Port() && (a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified())
}

func (c *checker) address(key, value string) (netip.AddrPort, bool) {
	addr, err := netip.ParseAddrPort(value)
	if err != nil {
		c.fail(key, "%q is not of the form ip:port", value)
	}
	return addr, err == nil
}

func (s *Settings) check(file string, lines tomlstrict.Lines, role Role) error {
	c := &checker{file: file, lines: lines}
	c.present("host.id", s.Host.ID)
	c.present("host.data_centre", s.Host.DataCentre)
	c.present("host.region", s.Host.Region)
	if role != RoleGateway {
		c.listen("listen.peers", s.Listen.Peers)
	}
	c.listen("listen.operators", s.Listen.Operators)
	if len(s.Control.Addresses) == 0 {
		c.fail("control.addresses", "is missing")
	}
	for _, a := range s.Control.Addresses {
		c.address("control.addresses", a)
	}
	if !slices.Contains(levels, s.Log.Level) {
		c.fail("log.level", "%q is not one of %s", s.Log.Level, strings.Join(levels, ", "))
	}
	if s.Entry.StopTimeout.Std() == 0 {
		c.fail("entry.stop_timeout", "is 0, must be positive")
	}
	switch role {
	case RoleEntry:
		s.checkEntry(c)
	case RoleControl:
		s.checkControl(c)
		s.checkFounder(c)
	case RoleGateway:
		s.checkEntry(c)
	case RoleDirectory:
		s.checkControl(c)
		c.present("host.name", s.Host.Name)
		c.address("promotion.address", s.Promotion.Address)
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
	c.positive("entry.max_connections", s.Entry.MaxConnections)
	c.positive("entry.max_cycle_bytes", s.Entry.MaxCycleBytes)
	c.positive("entry.max_answer_bytes", s.Entry.MaxAnswerBytes)
}

func (s *Settings) checkControl(c *checker) {
	if s.Listen.Callers != "" {
		c.fail("listen.callers", "a control process serves no callers")
	}
	c.present("control.data_folder", s.Control.DataFolder)
	for _, id := range slices.Sorted(maps.Keys(s.Control.Members)) {
		c.address("control.members."+id, s.Control.Members[id])
	}
}

// checkFounder checks that a host that founds an installation is a member.
func (s *Settings) checkFounder(c *checker) {
	if _, ok := s.Control.Members[s.Host.ID]; s.Control.Bootstrap && !ok {
		c.fail("control.members", "must name this host %q for a bootstrap", s.Host.ID)
	}
}
