package backend_test

import (
	"context"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/backend"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/matryer/is"
)

// TestWrongStartupIsRefused guards against using a connection whose startup was not
// completed, or on which the server reads statements in another way than they were
// classified.
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
		{"strings with escapes", [][]byte{accepted, setting("standard_conforming_strings", "off"), ready}, errkind.ConnectFailed},
		{"another encoding", [][]byte{accepted, setting("client_encoding", "SJIS"), ready}, errkind.ConnectFailed},
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

// TestChangedSettingEndsTheConnection guards against a statement that makes the server
// read the statements of the next sessions in another way than they were classified.
func TestChangedSettingEndsTheConnection(t *testing.T) {
	changed := message('S', "standard_conforming_strings\x00off\x00")
	same := message('S', "standard_conforming_strings\x00on\x00")
	answer := slices.Concat(message('C', "DO\x00"), message('Z', "I"))
	for _, tc := range []struct {
		name          string
		answer, after []byte
		closed, used  bool
	}{
		{"in the answer", slices.Concat(changed, answer), nil, true, false},
		{"within the answer, unchanged", slices.Concat(same, answer), same, false, true},
		{"after the answer", answer, changed, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			c := connect(t, serveRawAnswers(t, tc.answer, tc.after, false))
			a, err := c.Relay(t.Context(), query("DO 'x'"), maxAnswerBytes)
			is.NoErr(err) // the answer is the statement's own
			is.Equal(a.TxStatus, byte('I'))
			is.Equal(c.Closed(), tc.closed)
			time.Sleep(20 * time.Millisecond)
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			_, err = c.Relay(ctx, query("SELECT 1"), maxAnswerBytes)
			is.Equal(errkind.Of(err) != errkind.ConnectFailed, tc.used) // the server doesn't answer it
		})
	}
}
