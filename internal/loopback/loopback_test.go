package loopback_test

import (
	"net"
	"testing"

	"github.com/arbutusring/arbutusring/internal/loopback"
	"github.com/matryer/is"
)

// TestFreeAddressIsUnique guards against two processes of one test that are given
// the same address: it is free again until the first of them opens it.
func TestFreeAddressIsUnique(t *testing.T) {
	is := is.New(t)
	seen := make(map[string]bool)
	for range 2000 {
		address := loopback.FreeAddress(t)
		is.True(!seen[address])
		seen[address] = true
	}
}

// TestAddressIsReserved guards against two test processes that use the same
// loopback address.
func TestAddressIsReserved(t *testing.T) {
	is := is.New(t)
	host, _, err := net.SplitHostPort(loopback.FreeAddress(t))
	is.NoErr(err)
	_, err = net.Listen("tcp", net.JoinHostPort(host, "1999"))
	is.True(err != nil)
}
