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
	"testing"
)

// processIP is a random loopback address of this test process. It keeps test
// processes that run at the same time from using the same address and port.
var processIP = fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))

// FreeAddress returns an ip:port that was free a moment ago. Its port is below
// the range of outgoing connections: one of them could otherwise take the port
// before the process that it is meant for has started.
func FreeAddress(t testing.TB) string {
	t.Helper()
	for range 100 {
		ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", processIP, 2000+rand.IntN(13000)))
		if err == nil {
			defer func() { _ = ln.Close() }()
			return ln.Addr().String()
		}
	}
	t.Fatal("no free port")
	return ""
}
