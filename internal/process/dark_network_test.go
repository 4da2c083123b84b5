package process_test

import (
	"context"
	"net"
	"sync"

	"github.com/arbutusring/arbutusring/internal/process"
)

// darkNetwork connects processes and can make addresses dark: nothing reaches them
// and nothing comes from them, as after a loss of power, and no connection ends.
type darkNetwork struct {
	mu   sync.Mutex
	dark map[string]bool
}

func newDarkNetwork() *darkNetwork { return &darkNetwork{dark: make(map[string]bool)} }

// setDark makes the addresses dark, or reachable again.
func (n *darkNetwork) setDark(dark bool, addresses ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range addresses {
		n.dark[a] = dark
	}
}

// cut reports whether nothing passes between two addresses.
func (n *darkNetwork) cut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return from != to && (n.dark[from] || n.dark[to])
}

// dialFrom returns the dial function of the process at an address.
func (n *darkNetwork) dialFrom(from string) process.DialFunc {
	return func(ctx context.Context, to string) (net.Conn, error) {
		if n.cut(from, to) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		var d net.Dialer
		conn, err := d.DialContext(ctx, "tcp", to)
		if err != nil {
			return nil, err
		}
		return &darkConn{Conn: conn, cut: func() bool { return n.cut(from, to) }, closed: make(chan struct{})}, nil
	}
}
