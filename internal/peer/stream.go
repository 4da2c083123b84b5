package peer

import (
	"bufio"
	"encoding/binary"
	"errors"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// defaultStreamHeartbeat is the interval of the heartbeats on a stream in use.
	defaultStreamHeartbeat = time.Second
	// defaultStreamIdleTimeout is the time without received data after which a
	// stream in use has failed. A heartbeat may be late by one retransmission.
	defaultStreamIdleTimeout = 1500 * time.Millisecond
	// unusedFactor is the multiple of both while a stream is not in use. Heartbeats
	// cross regions, where bytes are expensive, and a host may have many streams.
	unusedFactor = 5
	// defaultChunkTimeout bounds the writing of writeChunkBytes, which takes 0.3 s on
	// a link of 2 Mbit/s. A peer that takes less is too slow to be used.
	defaultChunkTimeout = 2 * time.Second
	// writeChunkBytes is the most that one system call writes, so that progress is
	// noticed during a large frame.
	writeChunkBytes = 64 << 10
	// defaultMaxPendingBytes is the most that waits to be written to one peer.
	defaultMaxPendingBytes = 8 << 20
	// keptBufferBytes is the size above which a buffer is released after its use.
	keptBufferBytes = 256 << 10
	// closeGrace is how long a closed stream goes on writing what is pending.
	closeGrace = 200 * time.Millisecond
)

// Errors of a stream.
var (
	ErrStreamClosed  = errors.New("the stream is closed")
	ErrStreamFull    = errors.New("the peer takes too little of what is sent")
	ErrFrameTooLarge = errors.New("the frame exceeds the limit")
)

// StreamOptions configures a Stream.
type StreamOptions struct {
	MaxFrameBytes     int           // of received frames
	MaxPendingBytes   int           // that wait to be written; default 8 MiB
	HeartbeatInterval time.Duration // of a stream in use; default 1 s
	IdleTimeout       time.Duration // of a stream in use; default 1.5 s
	ChunkTimeout      time.Duration // limit for writing 64 KiB; default 2 s
}

// Stream carries frames between two hosts in both directions. Frames that are sent at
// the same time share system calls, sending never blocks, and a quiet stream costs one
// byte in each direction per heartbeat interval, or per five while it is not in use.
// Both ends call Use, and the one that asks calls Expect, so that a host that waits for an
// answer soon sees that its peer is silent. Use Stream instead of Pool and Server where
// the processor time and the bytes of each message matter.
//
// All methods but Receive are safe for concurrent use.
type Stream struct {
	opts    StreamOptions
	conn    net.Conn
	r       *bufio.Reader
	in      []byte // buffer of Receive
	wake    chan struct{}
	done    chan struct{} // closed by Close
	ended   chan struct{} // closed when nothing is written any more
	once    sync.Once
	written atomic.Uint64
	created time.Time

	// The times are in ns since created.
	users         atomic.Int64
	usedSince     atomic.Int64 // when users last became 1
	expectedSince atomic.Int64 // first call of Expect after the last receipt before it
	receivedAt    atomic.Int64

	mu      sync.Mutex
	pending []byte
	queued  uint64 // bytes passed to Send, with their lengths
	failed  bool
}

// NewStream returns a stream on a connection, which it owns. The caller must call
// Close.
func NewStream(conn net.Conn, opts StreamOptions) *Stream {
	if opts.MaxPendingBytes == 0 {
		opts.MaxPendingBytes = defaultMaxPendingBytes
	}
	if opts.HeartbeatInterval == 0 {
		opts.HeartbeatInterval = defaultStreamHeartbeat
	}
	if opts.IdleTimeout == 0 {
		opts.IdleTimeout = defaultStreamIdleTimeout
	}
	if opts.ChunkTimeout == 0 {
		opts.ChunkTimeout = defaultChunkTimeout
	}
	s := &Stream{
		opts: opts, conn: conn, r: bufio.NewReaderSize(conn, readBufferBytes),
		created: time.Now(), wake: make(chan struct{}, 1), done: make(chan struct{}), ended: make(chan struct{}),
	}
	go s.loop()
	return s
}

// Send queues a frame, which must not be empty. It returns the value that Written
// reaches once the whole frame was written. After an error nothing of the frame is
// ever written.
func (s *Stream) Send(frame []byte) (end uint64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.failed:
		return 0, ErrStreamClosed
	case len(s.pending) > 0 && len(s.pending)+len(frame) > s.opts.MaxPendingBytes:
		return 0, ErrStreamFull
	}
	before := len(s.pending)
	s.pending = binary.AppendUvarint(s.pending, uint64(len(frame)))
	s.pending = append(s.pending, frame...)
	s.queued += uint64(len(s.pending) - before)
	if before == 0 {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
	return s.queued, nil
}

// Written returns how many bytes the operating system has taken. Once Ended is
// closed, a frame whose end is beyond it has not reached the peer as a whole.
func (s *Stream) Written() uint64 { return s.written.Load() }

// Ended is closed when nothing is written any more.
func (s *Stream) Ended() <-chan struct{} { return s.ended }

// Receive returns the next frame, which is valid until the next call. After an error
// the caller must close the stream.
func (s *Stream) Receive() ([]byte, error) {
	for {
		if err := s.awaitData(); err != nil {
			return nil, err
		}
		size, err := binary.ReadUvarint(s.r)
		if err != nil {
			return nil, err
		}
		if size == 0 {
			continue // a heartbeat
		}
		if size > uint64(s.opts.MaxFrameBytes) {
			return nil, ErrFrameTooLarge
		}
		return s.receiveBody(int(size))
	}
}

// Use counts something in progress between both hosts, such as a call or a transaction,
// with n = 1, and ends it with n = -1.
func (s *Stream) Use(n int64) {
	if s.users.Add(n) == 1 && n == 1 {
		s.usedSince.Store(s.now())
		s.shortenReadDeadline()
	}
}

// Expect records that the peer has to send something, because it was or is about to be
// asked.
func (s *Stream) Expect() {
	if expected := s.expectedSince.Load(); expected <= s.receivedAt.Load() {
		s.expectedSince.Store(s.now())
		s.shortenReadDeadline()
	}
}

// now returns the time since the start of the stream, in ns.
func (s *Stream) now() int64 { return int64(time.Since(s.created)) }

// expiry returns the time at which the peer is taken as failed, as now does.
func (s *Stream) expiry() int64 {
	received, timeout := s.receivedAt.Load(), int64(s.opts.IdleTimeout)
	if expected := s.expectedSince.Load(); expected > received {
		return expected + timeout // also if what was expected is no longer needed
	}
	if s.users.Load() > 0 {
		return max(received, s.usedSince.Load()) + timeout
	}
	return received + unusedFactor*timeout
}

// shortenReadDeadline applies an earlier expiry to a read in progress.
func (s *Stream) shortenReadDeadline() {
	_ = s.conn.SetReadDeadline(s.created.Add(time.Duration(s.expiry()))) // a closed connection fails at the read
}

// awaitData waits until the first byte of a frame has arrived.
func (s *Stream) awaitData() error {
	for {
		if err := s.setReadDeadline(); err != nil {
			return err
		}
		_, err := s.r.Peek(1)
		if err == nil {
			s.receivedAt.Store(s.now())
			return nil
		}
		// The deadline may be that of a use that has ended.
		if !errors.Is(err, os.ErrDeadlineExceeded) || s.now() >= s.expiry() {
			return err
		}
	}
}

// setReadDeadline sets the time at which the peer is taken as failed.
func (s *Stream) setReadDeadline() error {
	for {
		select {
		case <-s.done:
			return ErrStreamClosed
		default:
		}
		end := s.expiry()
		if err := s.conn.SetReadDeadline(s.created.Add(time.Duration(end))); err != nil {
			return err
		}
		if s.expiry() >= end { // otherwise a use has begun meanwhile
			return nil
		}
	}
}

// receiveBody reads a frame. The buffer grows with what arrives, so that a length
// alone takes no memory.
func (s *Stream) receiveBody(size int) ([]byte, error) {
	if cap(s.in) > keptBufferBytes {
		s.in = nil
	}
	s.in = s.in[:0]
	for len(s.in) < size {
		// The rest of a frame that has begun follows without a pause.
		if err := s.conn.SetReadDeadline(time.Now().Add(s.opts.IdleTimeout)); err != nil {
			return nil, err
		}
		at, n := len(s.in), min(size-len(s.in), writeChunkBytes)
		s.in = slices.Grow(s.in, n)[:at+n]
		n, err := s.r.Read(s.in[at:])
		s.in = s.in[:at+n]
		if err != nil {
			return nil, err
		}
		s.receivedAt.Store(s.now())
	}
	return s.in, nil
}

// Close writes what is pending, for a short time, and closes the connection. It does
// not wait for either.
func (s *Stream) Close() {
	s.once.Do(func() {
		close(s.done)
		time.AfterFunc(closeGrace, func() { _ = s.conn.Close() })
	})
}

// Abort closes the connection without writing what is pending.
func (s *Stream) Abort() {
	s.Close()
	_ = s.conn.Close()
}

// loop writes pending frames and heartbeats until a write fails or the stream is
// closed.
func (s *Stream) loop() {
	defer close(s.ended)
	defer s.end()
	heartbeat := time.NewTicker(s.opts.HeartbeatInterval / 2)
	defer heartbeat.Stop()
	var buf []byte
	quiet := 0 // ticks without a written byte
	for closing := false; !closing; {
		select {
		case <-s.wake:
		case <-heartbeat.C:
			if quiet++; quiet >= 2*unusedFactor || quiet >= 2 && s.users.Load() > 0 {
				s.queueHeartbeat()
			}
		case <-s.done:
			closing = true
		}
		if buf = s.take(buf); len(buf) == 0 {
			continue
		}
		if err := s.write(buf); err != nil {
			return
		}
		quiet = 0
	}
}

// end refuses further frames and closes the connection.
func (s *Stream) end() {
	s.mu.Lock()
	s.failed, s.pending = true, nil
	s.mu.Unlock()
	_ = s.conn.Close()
}

// queueHeartbeat queues an empty frame.
func (s *Stream) queueHeartbeat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, 0)
	s.queued++
}

// take returns the pending bytes; spare becomes the new, empty buffer.
func (s *Stream) take(spare []byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	buf := s.pending
	s.pending = spare[:0]
	if cap(spare) > keptBufferBytes {
		s.pending = nil
	}
	return buf
}

// write writes a buffer in chunks, each with its own deadline.
func (s *Stream) write(buf []byte) error {
	for len(buf) > 0 {
		if err := s.conn.SetWriteDeadline(time.Now().Add(s.opts.ChunkTimeout)); err != nil {
			return err
		}
		n, err := s.conn.Write(buf[:min(len(buf), writeChunkBytes)])
		s.written.Add(uint64(n))
		if err != nil {
			return err
		}
		buf = buf[n:]
	}
	return nil
}
