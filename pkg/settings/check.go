package settings

import (
	"fmt"
	"maps"
	"math"
	"net/netip"
	"slices"
	"strings"

	"github.com/arbutusring/arbutusring/pkg/tomlstrict"
	"github.com/zeebo/errs"
)

// logLevels are the values of log.level.
var logLevels = []string{"debug", "info", "warn", "error"}

// checker collects all problems of a file, so that one start reports them all.
type checker struct {
	file      string
	lines     tomlstrict.Lines
	problems  errs.Group
	listeners []listener
}

// listener is a listening address and the key that declares it.
type listener struct {
	key  string
	addr netip.AddrPort
}

func (c *checker) report(key, format string, args ...any) {
	c.problems.Add(Error.New("%s: %s", c.lines.At(c.file, key), fmt.Sprintf(format, args...)))
}

func (c *checker) checkPresent(key, value string) {
	if value == "" {
		c.report(key, "is missing")
	}
}

func (c *checker) checkPositive(key string, n int) {
	if n < 1 {
		c.report(key, "is %d, must be at least 1", n)
	}
}

// checkAmount checks a number that must not be negative or infinite.
func (c *checker) checkAmount(key string, f float64) {
	if !(f >= 0 && f <= math.MaxFloat64) {
		c.report(key, "is %v, must not be negative or infinite", f)
	}
}

// checkListenAddress checks an address that the process listens on. With port 0
// the operating system chooses the port, so the address conflicts with no other.
// An unspecified address such as 0.0.0.0 conflicts with every address of the
// same port.
func (c *checker) checkListenAddress(key, value string) {
	if value == "" {
		c.report(key, "is missing")
		return
	}
	addr, ok := c.checkAddress(key, value)
	if !ok || addr.Port() == 0 {
		return
	}
	addr = netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
	for _, other := range c.listeners {
		if overlap(addr, other.addr) {
			c.report(key, "address %s is taken by %s", value, other.key)
			return
		}
	}
	c.listeners = append(c.listeners, listener{key: key, addr: addr})
}

// overlap reports whether a process cannot listen on both addresses.
func overlap(a, b netip.AddrPort) bool {
	return a.Port() == b.Port() && (a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified())
}

func (c *checker) checkAddress(key, value string) (netip.AddrPort, bool) {
	addr, err := netip.ParseAddrPort(value)
	if err != nil {
		c.report(key, "%q is not of the form ip:port", value)
	}
	return addr, err == nil
}

func (s *Settings) check(file string, lines tomlstrict.Lines, role Role) error {
	c := &checker{file: file, lines: lines}
	c.checkPresent("host.id", s.Host.ID)
	c.checkPresent("host.data_centre", s.Host.DataCentre)
	c.checkPresent("host.region", s.Host.Region)
	if s.Host.MemoryMB < 0 {
		c.report("host.memory_mb", "is %d, must not be negative", s.Host.MemoryMB)
	}
	if role != RoleGateway || s.Listen.Peers != "" {
		c.checkListenAddress("listen.peers", s.Listen.Peers)
	}
	if addr, err := netip.ParseAddrPort(s.Listen.Peers); role == RoleGateway && err == nil && addr.Addr().IsUnspecified() {
		c.report("listen.peers", "%q is not an address that other hosts can connect to", s.Listen.Peers)
	}
	c.checkListenAddress("listen.operators", s.Listen.Operators)
	if len(s.Control.Addresses) == 0 {
		c.report("control.addresses", "is missing")
	}
	for _, a := range s.Control.Addresses {
		c.checkAddress("control.addresses", a)
	}
	if !slices.Contains(logLevels, s.Log.Level) {
		c.report("log.level", "%q is not one of %s", s.Log.Level, strings.Join(logLevels, ", "))
	}
	if s.Entry.StopTimeout.Std() == 0 {
		c.report("entry.stop_timeout", "is 0, must be positive")
	}
	if s.Allowance.Window.Std() <= 0 {
		c.report("allowance.window", "is %v, must be positive", s.Allowance.Window.Std())
	}
	c.checkAmount("allowance.overage", s.Allowance.Overage)
	c.checkAmount("allowance.tolerance", s.Allowance.Tolerance)
	switch role {
	case RoleEntry:
		s.checkEntry(c)
	case RoleControl:
		s.checkControl(c)
		s.checkBootstrap(c)
	case RoleGateway:
		s.checkEntry(c)
	case RoleDirectory:
		s.checkControl(c)
		c.checkPresent("host.name", s.Host.Name)
		c.checkAddress("promotion.address", s.Promotion.Address)
	default:
		return Error.New("unknown role %q", role)
	}
	return c.problems.Err()
}

func (s *Settings) checkEntry(c *checker) {
	c.checkListenAddress("listen.callers", s.Listen.Callers)
	if s.Control.DataFolder != "" {
		c.report("control.data_folder", "an entry process keeps no files")
	}
	c.checkPositive("entry.max_connections", s.Entry.MaxConnections)
	c.checkPositive("entry.max_cycle_bytes", s.Entry.MaxCycleBytes)
	c.checkPositive("entry.max_answer_bytes", s.Entry.MaxAnswerBytes)
	c.checkPositive("entry.max_queued_bytes", s.Entry.MaxQueuedBytes)
	c.checkPositive("entry.max_session_names", s.Entry.MaxSessionNames)
	c.checkPositive("entry.max_session_bytes", s.Entry.MaxSessionBytes)
	if s.Entry.MaxConnectionsPerAddress < 0 {
		c.report("entry.max_connections_per_address", "is %d, must not be negative", s.Entry.MaxConnectionsPerAddress)
	}
	for key, d := range map[string]tomlstrict.Duration{
		"entry.startup_timeout": s.Entry.StartupTimeout, "entry.message_timeout": s.Entry.MessageTimeout, "entry.write_timeout": s.Entry.WriteTimeout,
	} {
		if d.Std() == 0 {
			c.report(key, "is 0, must be positive")
		}
	}
}

func (s *Settings) checkControl(c *checker) {
	if s.Listen.Callers != "" {
		c.report("listen.callers", "a control process serves no callers")
	}
	c.checkPresent("control.data_folder", s.Control.DataFolder)
	for _, id := range slices.Sorted(maps.Keys(s.Control.Members)) {
		c.checkAddress("control.members."+id, s.Control.Members[id])
	}
}

// checkBootstrap checks that a host that bootstraps an installation is one of
// its first members.
func (s *Settings) checkBootstrap(c *checker) {
	if _, ok := s.Control.Members[s.Host.ID]; s.Control.Bootstrap && !ok {
		c.report("control.members", "must name this host %q for a bootstrap", s.Host.ID)
	}
}
