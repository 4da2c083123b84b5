package process_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/arbutusring/arbutusring/internal/consensus"
	"github.com/arbutusring/arbutusring/internal/process"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/matryer/is"
)

// TestSenderAfterStop guards against a stopped process that still sends, or panics, when
// its replicated log runs on because the time for the stop has run out.
func TestSenderAfterStop(t *testing.T) {
	is := is.New(t)
	var calls atomic.Int64
	send, stop := process.NewSender(func(context.Context, string, string, any, any) (func(context.Context) error, error) {
		calls.Add(1)
		return func(context.Context) error { return nil }, nil
	})
	stop()
	for i := range 100 {
		send(consensus.Member{Address: fmt.Sprint(i)}, consensus.Message{})
	}
	stop() // waits for what the messages have started
	is.Equal(calls.Load(), int64(0))
}

// TestSenderKeepsPace guards against heartbeats that come so late behind other messages to
// a distant host that the leader loses its lease.
func TestSenderKeepsPace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const roundTrip, n = 40 * time.Millisecond, 200
		sent := make(chan uint64, n)
		send, stop := process.NewSender(func(_ context.Context, _, _ string, args, _ any) (func(context.Context) error, error) {
			sent <- args.(*consensus.Message).Index
			answered := time.After(roundTrip)
			return func(context.Context) error { <-answered; return nil }, nil
		})
		defer stop()
		begun := time.Now()
		for i := range uint64(n) {
			send(consensus.Member{Address: "a"}, consensus.Message{Index: i})
		}
		for i := range uint64(n) {
			is.Equal(<-sent, i) // in order
		}
		is.True(time.Since(begun) < 200*time.Millisecond)
	})
}

// TestSenderDropsStaleMessages guards against old messages that a host gets first when it
// can be reached again.
func TestSenderDropsStaleMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		reachable := time.Now().Add(2 * time.Second)
		var first atomic.Uint64
		send, stop := process.NewSender(func(_ context.Context, _, _ string, args, _ any) (func(context.Context) error, error) {
			time.Sleep(300 * time.Millisecond) // a connection attempt
			if time.Now().Before(reachable) {
				return nil, errkind.New(errkind.ConnectFailed, "dark")
			}
			first.CompareAndSwap(0, args.(*consensus.Message).Index)
			return func(context.Context) error { return nil }, nil
		})
		defer stop()
		for i := uint64(1); i <= 300; i++ {
			send(consensus.Member{Address: "a"}, consensus.Message{Index: i})
			time.Sleep(10 * time.Millisecond)
		}
		is.True(first.Load() > 150) // of those sent in the last half
	})
}
