// Package faulttest tests the guarantees of the whole system under faults. It
// runs control, entry and stand-in processes as goroutines over loopback TCP,
// injects faults in an order given by a seed while sessions execute
// operations, and checks the recorded history afterwards. Only tests use it.
//
// # What is checked
//
// Every operation appends a unique tag to a value, alone or in a transaction,
// or reads a value. After all faults have been repaired:
//
//   - a tag whose append was acknowledged occurs exactly once;
//   - a tag whose append was refused as not run does not occur;
//   - a tag with unknown outcome occurs at most once, and exactly once if the
//     append had a request id and was finally acknowledged;
//   - the tags of a transaction all occur or none does;
//   - a read contains every tag that its session had appended before, also
//     through another entry with the session token; in a session that connected
//     without a token it also contains every tag that was acknowledged to any
//     session before it connected;
//   - the appends that took effect on each key, with the values that they
//     returned, are linearizable (checked by porcupine).
//
// # Usage
//
//	go test ./internal/faulttest -run History -faulttest.seeds 50 -faulttest.ops 2000
package faulttest

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Network simulates one-way cuts between hosts: data from one host to another
// is lost. A connection direction that has lost data loses everything from
// then on, also after Heal, like a TCP connection whose middlebox has lost its
// state.
type Network struct {
	// Latency returns the one-way latency between two hosts; nil for none. It
	// must be set before the first connection.
	Latency func(from, to string) time.Duration

	mu    sync.Mutex
	hosts map[string]string  // host by listen address
	cuts  map[[2]string]bool // by sending and receiving host
}

// NewNetwork returns a network without cuts.
func NewNetwork() *Network {
	return &Network{hosts: make(map[string]string), cuts: make(map[[2]string]bool)}
}

// Register records the host that listens on an address.
func (n *Network) Register(address, host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[address] = host
}

// Cut drops all data from one host to another from now on.
func (n *Network) Cut(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]string{from, to}] = true
}

// Heal ends all cuts.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cuts)
}

func (n *Network) isCut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[[2]string{from, to}]
}

func (n *Network) hostOf(address string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hosts[address]
}

// Dialer returns the dial function of a host. A call made while either
// direction to the dialed host is cut blocks until its context is done, even if
// the cut is healed before.
func (n *Network) Dialer(from string) func(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return func(ctx context.Context, address string) (net.Conn, error) {
		to := n.hostOf(address)
		if n.isCut(from, to) || n.isCut(to, from) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		conn, err := d.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		if n.Latency != nil {
			conn = newDelayConn(conn, 2*n.Latency(from, to))
		}
		return &cutConn{Conn: conn, network: n, from: from, to: to}, nil
	}
}

// cutConn is a connection that loses data in the directions that are cut.
type cutConn struct {
	net.Conn
	network    *Network
	from, to   string
	writesLost atomic.Bool
	readsLost  atomic.Bool
}

// Write drops p if the direction is cut or an earlier write was dropped.
func (c *cutConn) Write(p []byte) (int, error) {
	if c.writesLost.Load() || c.network.isCut(c.from, c.to) {
		c.writesLost.Store(true)
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Read drops data that arrives while the direction is cut, and all data after
// it. It then returns only with the error of the connection, such as a passed
// read deadline.
func (c *cutConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil {
			return n, err
		}
		if !c.readsLost.Load() && !c.network.isCut(c.to, c.from) {
			return n, nil
		}
		c.readsLost.Store(true)
		time.Sleep(time.Millisecond)
	}
}
