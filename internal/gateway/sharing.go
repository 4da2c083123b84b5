package gateway

import (
	"github.com/arbutusring/arbutusring/internal/connector"
	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/internal/schedule"
	"github.com/arbutusring/arbutusring/pkg/database"
)

// role says how this host reaches a backend server.
type role uint8

const (
	roleDirect    role = iota // as every other host does
	roleConnector             // with connections that other hosts use, too
	roleSender                // through connectors
)

var roleNames = [...]string{"direct", "connector", "sender"}

// String returns the name that logs and dumps use.
func (r role) String() string { return roleNames[r] }

// sharing is the list of hosts by which connectors are chosen. It is immutable.
type sharing struct {
	list     map[string]directoryrpc.Host
	hosts    *connector.Hosts // those that may be connectors
	complete bool             // every host has a peer address
	pending  bool             // control will send the list
}

// newSharing prepares a list of hosts.
func newSharing(list map[string]directoryrpc.Host, pending bool, place Place) *sharing {
	s := &sharing{list: list, complete: len(list) > 0, pending: pending}
	var candidates []connector.Host
	for _, h := range directoryrpc.SortedHosts(list) {
		if h.PeerAddress == "" {
			s.complete = false
		}
		if !h.Draining {
			candidates = append(candidates, connector.Host{ID: h.ID, Region: place.Regions[h.DataCentre]})
		}
	}
	s.hosts = connector.NewHosts(candidates)
	return s
}

// SharesConnections reports whether connectors are used for a server of the
// configuration in force, with the present number of hosts. Then the host needs the
// list of hosts, and has to tell control its address.
func (g *Gateway) SharesConnections() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sharesConnections()
}

// sharesConnections is SharesConnections; the caller holds mu.
func (g *Gateway) sharesConnections() bool {
	cfg := g.view.Load().cfg
	for _, group := range cfg.Groups {
		if g.connectorsApply(cfg, group) {
			return true
		}
	}
	return false
}

// awaitsHosts reports whether this host can't reach some server before control sends
// the first list of hosts. The caller holds mu.
func (g *Gateway) awaitsHosts() bool {
	if len(g.sharing.list) > 0 || !g.sharing.pending {
		return false
	}
	cfg := g.view.Load().cfg
	for _, group := range cfg.Groups {
		if g.connectorsApply(cfg, group) && connector.Usable(group.MaxConnections) < g.hosts {
			return true
		}
	}
	return false
}

// connectorsApply reports whether connectors are used for the servers of a group. The
// caller holds mu.
func (g *Gateway) connectorsApply(cfg *database.Config, group database.Group) bool {
	if g.opts.Relay == nil || group.MaxConnections == 0 {
		return false // MaxConnections is 0 for a group that is not configured
	}
	return connector.Applies(connector.Usable(group.MaxConnections), g.hosts, namesCustomers(cfg))
}

// namesCustomers reports whether each connection serves one customer only.
func namesCustomers(cfg *database.Config) bool { return len(cfg.Customers) > 0 }

// SetHosts replaces the list of the hosts that share connections. pending reports that
// control will send a list soon; until the first one a host does not know the
// connectors. If a server has fewer connections than there are hosts, it must not
// connect by itself then, because all hosts that have just started would do so.
func (g *Gateway) SetHosts(list map[string]directoryrpc.Host, pending bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sharing = newSharing(list, pending, g.opts.Place)
	g.configureMembers()
}

// configureMembers applies the configuration, the number of hosts and their list to
// all servers. The caller holds mu.
func (g *Gateway) configureMembers() {
	v := g.view.Load()
	specs := rankSpecs(v.ranks)
	for _, m := range g.members {
		g.configureMember(m, specs, v.cfg)
	}
}

// configureMember applies them to one server. The caller holds mu.
func (g *Gateway) configureMember(m *member, specs []schedule.RankSpec, cfg *database.Config) {
	c := g.connections(cfg, m)
	if !m.configure(specs, cfg.Groups[m.server.Group], g.hosts, c) {
		return
	}
	g.metrics.connectorChanges.Inc(1)
	g.opts.Events.Event("connectors_changed").Str("server", m.server.ID).Stringer("role", c.role).Strs("connectors", c.choice.Hosts()).
		Int("limit", c.choice.Limit).Int("hosts", g.hosts).Msg("the hosts that connect to a backend server have changed")
}

// connections returns how this host reaches a server. The caller holds mu.
func (g *Gateway) connections(cfg *database.Config, m *member) connections {
	group := cfg.Groups[m.server.Group]
	switch {
	case !g.connectorsApply(cfg, group):
		return connections{}
	case len(g.sharing.list) == 0 && g.sharing.pending && connector.Usable(group.MaxConnections) < g.hosts:
		return connections{role: roleSender}
	case len(g.sharing.list) == 0 && g.sharing.pending:
		// Each host has a connection of its own until the list arrives. After a loss of
		// all hosts, callers would otherwise be refused until then.
		return connections{}
	case !g.sharing.complete:
		return connections{}
	}
	c := connections{role: roleSender, sharing: g.sharing, usable: connector.Usable(group.MaxConnections), customers: namesCustomers(cfg)}
	if old := m.currentConnections(); old.sharing == c.sharing && old.usable == c.usable && old.customers == c.customers {
		return old // the choice takes 25 µs at the design size
	}
	c.region = g.opts.Place.Regions[m.server.DataCentre]
	c.choice = g.sharing.hosts.Choose(m.server.ID, c.region, c.usable)
	if c.choice.LimitOf(g.opts.Host) > 0 {
		c.role = roleConnector
	}
	return c
}

// connections is how this host reaches a server.
type connections struct {
	role      role
	sharing   *sharing // nil if the connectors are not known
	usable    int
	customers bool
	choice    connector.Choice
	region    string // of the server
}

// sameRoute reports whether c and other have the same role and connectors.
func (c connections) sameRoute(other connections) bool {
	if c.role != other.role || c.customers != other.customers || c.choice.Limit != other.choice.Limit {
		return false
	}
	x, y := c.choice.Hosts(), other.choice.Hosts()
	if len(x) != len(y) {
		return false
	}
	for i, id := range x {
		if y[i] != id || c.sharing.list[id].PeerAddress != other.sharing.list[id].PeerAddress {
			return false
		}
	}
	return true
}

// order returns the addresses of the connectors in the order in which they are tried
// for a customer.
func (c connections) order(self, customer, server string) []string {
	key := []string{self, c.region}
	if customer != "" {
		key = []string{customer, server}
	}
	ids := c.choice.Order(key...)
	addresses := make([]string, len(ids))
	for i, id := range ids {
		addresses[i] = c.sharing.list[id].PeerAddress
	}
	return addresses
}
