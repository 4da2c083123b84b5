package backend_test

import (
	"net"
	"slices"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/backend"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/matryer/is"
)

// TestWrongStartupIsRefused guards against using a connection whose startup was not
// completed.
func TestWrongStartupIsRefused(t *testing.T) {
	accepted, ready := message('R', "\x00\x00\x00\x00"), message('Z', "I")
	setting := func(name, value string) []byte { return message('S', name+"\x00"+value+"\x00") }
	for _, tc := range []struct {
		name string
		raw  [][]byte
		kind errkind.Kind
	}{
		{"complete", [][]byte{accepted, setting("standard_conforming_strings", "on"), setting("client_encoding", "UTF8"), ready}, errkind.OK},
		{"not accepted", [][]byte{ready}, errkind.ConnectFailed},
		{"accepted twice", [][]byte{accepted, accepted, ready}, errkind.ConnectFailed},
		{"in a transaction", [][]byte{accepted, message('Z', "T")}, errkind.ConnectFailed},
		{"long ReadyForQuery", [][]byte{accepted, message('Z', "II")}, errkind.ConnectFailed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer ln.Close()
			go func() {
				nc, err := ln.Accept()
				if err != nil {
					return
				}
				_, _ = nc.Write(slices.Concat(tc.raw...))
				time.Sleep(time.Second)
				_ = nc.Close()
			}()
			c, err := backend.Connect(t.Context(), backend.ConnOptions{Address: ln.Addr().String(), Database: "orders", User: "test", DialTimeout: 5 * time.Second})
			is.Equal(errkind.Of(err), tc.kind)
			if err == nil {
				_ = c.Close()
			}
		})
	}
}
