package caller_test

import (
	"testing"

	"github.com/arbutusring/arbutusring/internal/caller"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/matryer/is"
)

// TestMessagesAfterFailedFlushGetOneAnswer guards against ending the skipped messages
// at a Query, after which each answer would be taken for that to the message before.
func TestMessagesAfterFailedFlushGetOneAnswer(t *testing.T) {
	for _, skipped := range []pgproto3.FrontendMessage{&pgproto3.Query{String: "skipped"}, &pgproto3.FunctionCall{}} {
		is := is.New(t)
		srv := startServer(t, new(echoHandler), caller.Options{})
		c := connect(t, srv)
		c.send(&pgproto3.Parse{Query: "x"}, &pgproto3.Flush{}, skipped, &pgproto3.Sync{}, &pgproto3.Query{String: "next"})
		_, failed := c.receive().(*pgproto3.ErrorResponse)
		is.True(failed)
		_, ready := c.receive().(*pgproto3.ReadyForQuery)
		is.True(ready)
		next, ok := c.receive().(*pgproto3.CommandComplete)
		is.True(ok) // the answer to the next Query, without one to the Sync in between
		is.Equal(string(next.CommandTag), "next")
	}
}

// TestPaddedMessagesAreRefused guards against bytes in messages that have none, which
// would be dropped or sent on without having been examined.
func TestPaddedMessagesAreRefused(t *testing.T) {
	srv := startServer(t, new(echoHandler), caller.Options{})
	for name, bytes := range map[string]string{
		"sync":  "S\x00\x00\x00\x05x",
		"flush": "P\x00\x00\x00\x09\x00x\x00\x00\x00H\x00\x00\x00\x05x",
	} {
		t.Run(name, func(t *testing.T) {
			c := connect(t, srv)
			_, _ = c.Write([]byte(bytes))
			c.expectFatal("08P01")
		})
	}
}

// TestMalformedStartupIsRefused guards against a startup packet that is read in another
// way than PostgreSQL reads it.
func TestMalformedStartupIsRefused(t *testing.T) {
	srv := startServer(t, new(echoHandler), caller.Options{})
	for name, bytes := range map[string]string{
		"bytes after the end that read as a pair": "\x00\x00\x00\x1a\x00\x03\x00\x00user\x00u\x00\x00database\x00\x00",
		"parameters after the end":                "\x00\x00\x00\x1b\x00\x03\x00\x00user\x00u\x00\x00database\x00x\x00",
		"no end":                                  "\x00\x00\x00\x0f\x00\x03\x00\x00user\x00u\x00",
		"bytes after the end":                     "\x00\x00\x00\x11\x00\x03\x00\x00user\x00u\x00\x00x",
		"encryption with a body":                  "\x00\x00\x00\x0c\x04\xd2\x16\x2fabcd",
	} {
		t.Run(name, func(t *testing.T) {
			c := dial(t, srv)
			_, _ = c.Write([]byte(bytes))
			c.expectFatal("08P01")
		})
	}
}
