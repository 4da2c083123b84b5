// Package loopback gives tests addresses for processes that they start.
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

// ip is an address of the loopback network for this test process, so that test
// processes that run at the same time do not meet.
var ip = fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))

// FreeAddress returns an ip:port that was free a moment ago. Its port is below
// those of outgoing connections, which could take it before the process that it
// is meant for has started.
func FreeAddress(t testing.TB) string {
	t.Helper()
	for range 100 {
		ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, 2000+rand.IntN(13000)))
		if err == nil {
			defer func() { _ = ln.Close() }()
			return ln.Addr().String()
		}
	}
	t.Fatal("no free port")
	return ""
}
