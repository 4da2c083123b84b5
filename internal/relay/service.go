package relay

import (
	"context"
	"errors"
	"net"
	"runtime/debug"
	"sync"
	"time"

	"github.com/arbutusring/arbutusring/internal/eventlog"
	"github.com/arbutusring/arbutusring/internal/gateway"
	"github.com/arbutusring/arbutusring/internal/peer"
	"github.com/rcrowley/go-metrics"
)

const (
	// maxStreams bounds the streams of other hosts. Senders prefer the same few
	// connectors, but after the loss of some any host may come.
	maxStreams = 8192
	// acceptRetryDelay is the delay after a failed accept, whose usual cause is a lack
	// of file descriptors.
	acceptRetryDelay = 50 * time.Millisecond
)

// ServiceOptions configures a Service.
type ServiceOptions struct {
	Gateway  *gateway.Gateway
	Stream   peer.StreamOptions // MaxFrameBytes is set by the service
	Events   *eventlog.Log
	Registry metrics.Registry // nil: NewService creates a private registry
}

// Service is the side of the connector. Methods are safe for concurrent use.
type Service struct {
	opts    ServiceOptions
	metrics *serviceMetrics

	mu        sync.Mutex
	listeners []net.Listener
	streams   map[*inStream]struct{}
	closed    bool
	tasks     sync.WaitGroup
}

// NewService returns a service without listeners.
func NewService(opts ServiceOptions) *Service {
	if opts.Registry == nil {
		opts.Registry = metrics.NewRegistry()
	}
	opts.Stream.MaxFrameBytes = maxStatementBytes
	return &Service{opts: opts, metrics: newServiceMetrics(opts.Registry), streams: make(map[*inStream]struct{})}
}

// Serve accepts streams on ln until it is closed, and then returns nil. After any other
// error of an accept it tries again.
func (s *Service) Serve(ln net.Listener) error {
	s.mu.Lock()
	closed := s.closed
	s.listeners = append(s.listeners, ln)
	s.mu.Unlock()
	if closed {
		return ln.Close()
	}
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.opts.Events.Event("accept_failed").Err(err).Msg("accepting a stream of another host failed; trying again")
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.accept(conn)
	}
}

// accept serves one stream in the background.
func (s *Service) accept(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.streams) >= maxStreams {
		_ = conn.Close()
		return
	}
	in := newInStream(s, peer.NewStream(conn, s.opts.Stream))
	s.streams[in] = struct{}{}
	s.metrics.streams.Update(int64(len(s.streams)))
	s.tasks.Go(func() { s.runStream(in) })
}

// runStream serves a stream until it ends. A panic ends this stream only.
func (s *Service) runStream(in *inStream) {
	defer s.remove(in)
	defer s.recoverPanic(in)
	if err := in.receive(); !in.isOrdinary(err) {
		s.opts.Events.Event("protocol_violation").Str("peer", in.name()).Err(err).Msg("a stream of another host ended because of what it sent")
	}
}

// recoverPanic ends a stream whose handling panicked. It must be deferred.
func (s *Service) recoverPanic(in *inStream) {
	if v := recover(); v != nil {
		s.opts.Events.Event("panic").Str("peer", in.name()).Interface("panic", v).Bytes("stack", debug.Stack()).Msg("recovered from a panic; the stream of the other host ends")
		in.stream.Abort()
	}
}

// remove ends a stream and the statements and transactions on it.
func (s *Service) remove(in *inStream) {
	in.end()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.streams, in)
	s.metrics.streams.Update(int64(len(s.streams)))
}

// all returns the streams.
func (s *Service) all() []*inStream {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*inStream, 0, len(s.streams))
	for in := range s.streams {
		list = append(list, in)
	}
	return list
}

// Busy returns the number of statements in progress and of open transactions.
func (s *Service) Busy() (statements, transactions int) {
	for _, in := range s.all() {
		busy, pinned := in.counts()
		statements, transactions = statements+busy, transactions+pinned
	}
	s.metrics.pinned.Update(int64(transactions))
	return statements, transactions
}

// AbortTransactions closes the connections of open transactions without a statement in
// progress, for a planned stop.
func (s *Service) AbortTransactions() {
	for _, in := range s.all() {
		in.abortTransactions()
	}
}

// shutdownPollInterval is how often Shutdown checks whether statements are in progress.
const shutdownPollInterval = 5 * time.Millisecond

// Shutdown refuses further streams and waits until no statement is in progress, or ctx
// ends. Then it ends all streams.
func (s *Service) Shutdown(ctx context.Context) {
	s.closeListeners()
	for ctx.Err() == nil {
		if statements, _ := s.Busy(); statements == 0 {
			break
		}
		select {
		case <-ctx.Done():
		case <-time.After(shutdownPollInterval):
		}
	}
	s.Close()
}

// Close ends all streams, and with them their statements and transactions.
func (s *Service) Close() {
	s.closeListeners()
	for _, in := range s.all() {
		in.stream.Close()
	}
	s.tasks.Wait()
}

func (s *Service) closeListeners() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, ln := range s.listeners {
		_ = ln.Close()
	}
}
