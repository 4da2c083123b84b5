package gateway

import (
	"time"

	"github.com/arbutusring/arbutusring/internal/clock"
)

// MemberDump is the state that this host holds about a backend server.
type MemberDump struct {
	Server     string        `json:"server"`
	Group      string        `json:"group"`
	Applied    string        `json:"applied"`
	Service    time.Duration `json:"service"`     // smoothed time from sending a statement to its answer, in ns
	FailingFor time.Duration `json:"failing_for"` // in ns; 0 if the server answers
	Open       int           `json:"open_connections"`
	Logical    int           `json:"logical_connections,omitempty"` // through connectors, in use
	Idle       int           `json:"idle_connections"`
	Busy       int           `json:"busy_slots"`
	Role       string        `json:"role"`                 // direct, connector or sender
	Connectors []string      `json:"connectors,omitempty"` // in the order in which this host tries them without a customer
	Limit      int           `json:"connector_limit,omitempty"`
	// Connections holds the number of open connections by customer; absent without
	// customers.
	Connections map[string]int `json:"connections_by_customer,omitempty"`
}

// CustomerDump is what this host did for one customer.
type CustomerDump struct {
	Customer string `json:"customer"`
	customerCounts
}

// Dump is the state of a Gateway.
type Dump struct {
	LeaseLeft time.Duration `json:"lease_left"` // in ns
	Hosts     int           `json:"hosts"`      // that share the connections of each server, including this one
	Sessions  int           `json:"sessions"`
	Members   []MemberDump  `json:"members"`
	// Customers holds the busiest customers, and OtherCustomers the sum of all others;
	// both are absent without customers.
	Customers      []CustomerDump  `json:"customers,omitempty"`
	OtherCustomers *customerCounts `json:"other_customers,omitempty"`
}

// Dump returns the state of the gateway.
func (g *Gateway) Dump() Dump {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := Dump{LeaseLeft: g.leaseLeft(), Hosts: g.hosts, Sessions: len(g.sessions)}
	named := len(g.view.Load().cfg.Customers) > 0
	if named {
		busiest, other := g.metrics.customers.counts(g.metrics.customers.busiestFirst())
		d.Customers, d.OtherCustomers = busiest, &other
	}
	for id, m := range g.members {
		md := MemberDump{Server: id, Group: m.server.Group, FailingFor: m.failingFor(clock.Now()), Busy: m.sched.Busy() + m.relaySched.Busy(), Logical: m.pool.logicalInUse()}
		md.Open, md.Idle = m.pool.size()
		if named {
			md.Connections = m.pool.byCustomer()
		}
		m.mu.Lock()
		md.Applied, md.Service = m.applied.String(), m.answerTime
		c := m.connections
		m.mu.Unlock()
		md.Role, md.Limit, md.Connectors = c.role.String(), c.choice.Limit, c.choice.Order(m.self, c.region)
		d.Members = append(d.Members, md)
	}
	return d
}
