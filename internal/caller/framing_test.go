package caller_test

import (
	"testing"

	"github.com/arbutusring/arbutusring/internal/caller"
)

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
