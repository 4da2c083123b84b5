// Package loopback provides tests with free loopback addresses for the
// processes that they start.
//
// # Usage
//
//	address := loopback.FreeAddress(t)
package loopback

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
)

// lockPort is the port that a test process holds open at its address, so that no
// other process uses the address. It is below firstPort.
const lockPort = 1999

// FreeAddress chooses among the ports from firstPort to lastPort, which lie below
// the range of outgoing connections: one of them could otherwise take the port
// before the process that it is meant for has started.
const (
	firstPort = 2000
	lastPort  = 14999
)

// addresses hands out the ports of one loopback address.
type addresses struct {
	ip   string       // used by this test process only
	lock net.Listener // holds lockPort until the process ends

	mu    sync.Mutex
	given map[int]bool // ports that were handed out; they are never handed out again
}

var process = sync.OnceValues(reserve)

// reserve reserves a random loopback address for this test process.
func reserve() (*addresses, error) {
	var err error
	for range 100 {
		ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
		var lock net.Listener
		if lock, err = net.Listen("tcp", fmt.Sprintf("%s:%d", ip, lockPort)); err == nil {
			return &addresses{ip: ip, lock: lock, given: make(map[int]bool)}, nil
		}
	}
	return nil, err
}

// next returns a port that is free and was not handed out before; 0 if none was
// found.
func (a *addresses) next() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	for range 100 {
		port := firstPort + rand.IntN(lastPort-firstPort+1)
		if a.given[port] {
			continue
		}
		ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", a.ip, port))
		if err != nil {
			continue
		}
		_ = ln.Close() // nothing was accepted
		a.given[port] = true
		return port
	}
	return 0
}

// FreeAddress returns an ip:port that no other call returns, in this test process
// or in another one that runs at the same time.
func FreeAddress(t testing.TB) string {
	t.Helper()
	a, err := process()
	if err != nil {
		t.Fatalf("reserving a loopback address: %v", err)
	}
	port := a.next()
	if port == 0 {
		t.Fatal("no free port")
	}
	return fmt.Sprintf("%s:%d", a.ip, port)
}
