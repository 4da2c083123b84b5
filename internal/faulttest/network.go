// Package faulttest checks the guarantees of the whole system under faults:
// it runs control, entry and stand-in processes as goroutines over loopback
// TCP, provokes faults by a seed, lets sessions work meanwhile, and checks the
// recorded history afterwards. Only tests use it.
//
// # What is checked
//
// Every operation appends a unique tag to a value, alone or in a transaction,
// or reads a value. After all faults have been repaired:
//
//   - a tag whose append was acknowledged is there exactly once;
//   - a tag whose append was refused as not run is not there;
//   - a tag with unknown outcome is there at most once, and exactly once if the
//     append had a request id and was finally acknowledged;
//   - the tags of a transaction are all there or all missing;
//   - a read contains every tag that its session had appended before, also
//     through another entry with the session token, and for a session without
//     a token every tag acknowledged to anyone before the session started;
//   - the acknowledged appends of each key, with the values that they returned,
//     are linearizable (checked by porcupine).
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

// Network knows which hosts are cut off from each other. Cuts are one-way:
// data from one host to another is lost. A connection that has lost data stays
// silent for ever, as TCP does when a middlebox has lost its state.
type Network struct {
	// Latency is the one-way latency between two hosts; nil for none. It is
	// set before the first connection.
	Latency func(from, to string) time.Duration

	mu    sync.Mutex
	hosts map[string]string // address to host
	cuts  map[[2]string]bool
}

// NewNetwork returns a network without cuts.
func NewNetwork() *Network {
	return &Network{hosts: make(map[string]string), cuts: make(map[[2]string]bool)}
}

// Register tells which host listens on an address.
func (n *Network) Register(address, host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[address] = host
}

// Cut loses all data from one host to another from now on.
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

func (n *Network) cut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[[2]string{from, to}]
}

func (n *Network) host(address string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hosts[address]
}

// Dialer returns the function by which a host opens connections.
func (n *Network) Dialer(from string) func(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return func(ctx context.Context, address string) (net.Conn, error) {
		to := n.host(address)
		if n.cut(from, to) || n.cut(to, from) {
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

// cutConn is a connection whose directions can be cut.
type cutConn struct {
	net.Conn
	network    *Network
	from, to   string
	lostWrites atomic.Bool
	lostReads  atomic.Bool
}

// Write loses p if the direction is or was cut.
func (c *cutConn) Write(p []byte) (int, error) {
	if c.lostWrites.Load() || c.network.cut(c.from, c.to) {
		c.lostWrites.Store(true)
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Read loses what arrives while the direction is cut, and everything after it,
// until the read deadline.
func (c *cutConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil {
			return n, err
		}
		if !c.lostReads.Load() && !c.network.cut(c.to, c.from) {
			return n, nil
		}
		c.lostReads.Store(true)
		time.Sleep(time.Millisecond)
	}
}
