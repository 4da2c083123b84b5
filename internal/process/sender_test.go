package process_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/arbutusring/arbutusring/internal/consensus"
	"github.com/arbutusring/arbutusring/internal/process"
	"github.com/matryer/is"
)

// TestSenderAfterStop guards against a stopped process that still sends, or panics, when
// its replicated log runs on because the time for the stop has run out.
func TestSenderAfterStop(t *testing.T) {
	is := is.New(t)
	var calls atomic.Int64
	send, stop := process.NewSender(func(context.Context, string, string, any, any) error {
		calls.Add(1)
		return nil
	})
	stop()
	for i := range 100 {
		send(consensus.Member{Address: fmt.Sprint(i)}, consensus.Message{})
	}
	stop() // waits for what the messages have started
	is.Equal(calls.Load(), int64(0))
}
