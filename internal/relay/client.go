package relay

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/internal/eventlog"
	"github.com/arbutusring/arbutusring/internal/peer"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/rcrowley/go-metrics"
)

const (
	// dialTimeout bounds a connection attempt. The kernel repeats a lost SYN after 1 s
	// only, and another connector is faster.
	dialTimeout = 300 * time.Millisecond
	// suspectTime is how long a connector that failed comes last.
	suspectTime = time.Second
	// idleStreamTime is how long an unused stream is kept, because its heartbeats cost
	// bytes.
	idleStreamTime = 30 * time.Second
	// closeIdleInterval is the interval between two searches for unused streams.
	closeIdleInterval = 5 * time.Second
)

// ClientOptions configures a Client.
type ClientOptions struct {
	Host     string                                                      // id of this host
	Dial     func(ctx context.Context, address string) (net.Conn, error) // nil: TCP
	Stream   peer.StreamOptions                                          // MaxFrameBytes is set by the client
	Events   *eventlog.Log
	Registry metrics.Registry // nil: NewClient creates a private registry
}

// Client is the sending side. Methods are safe for concurrent use.
type Client struct {
	opts    ClientOptions
	metrics *clientMetrics
	ctx     context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup

	mu     sync.Mutex
	peers  map[string]*connectorHost // by address
	closed bool
}

// NewClient returns a client without streams. The caller must call Close.
func NewClient(opts ClientOptions) *Client {
	if opts.Dial == nil {
		var d net.Dialer
		opts.Dial = func(ctx context.Context, address string) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) }
	}
	if opts.Registry == nil {
		opts.Registry = metrics.NewRegistry()
	}
	opts.Stream.MaxFrameBytes = maxAnswerBytes
	c := &Client{opts: opts, metrics: newClientMetrics(opts.Registry), peers: make(map[string]*connectorHost)}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.tasks.Go(c.loop)
	return c
}

// Connect returns a logical connection to a server. order returns the addresses of
// its connectors in the order in which they are tried.
func (c *Client) Connect(s directoryrpc.Server, customer string, order func() []string) *Conn {
	return &Conn{
		client: c, order: order, closed: make(chan struct{}),
		target: target{Server: s.ID, Born: s.Born, Customer: customer},
	}
}

// Close ends all streams and with them the calls in progress.
func (c *Client) Close() {
	c.cancel()
	c.mu.Lock()
	c.closed = true
	var streams []*outStream
	for _, h := range c.peers {
		if h.stream != nil {
			streams = append(streams, h.stream)
		}
	}
	c.mu.Unlock()
	for _, s := range streams {
		s.stream.Close()
	}
	c.tasks.Wait()
}

// connectorHost is what this host knows about a connector. Its fields are guarded by
// Client.mu.
type connectorHost struct {
	stream       *outStream    // nil if there is none
	dialled      chan struct{} // closed when the connection attempt in progress has ended; nil if there is none
	suspectUntil time.Time
}

// suspect reports whether a connector failed lately.
func (c *Client) suspect(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.peers[address]
	return h != nil && h.stream == nil && time.Now().Before(h.suspectUntil)
}

// bySuspicion returns the connectors in the order in which to try them: those that
// failed lately come last.
func (c *Client) bySuspicion(order []string) []string {
	if len(order) == 0 || !c.suspect(order[0]) {
		return order // as nearly always
	}
	var good, bad []string
	for _, address := range order {
		if c.suspect(address) {
			bad = append(bad, address)
		} else {
			good = append(good, address)
		}
	}
	return append(good, bad...)
}

// streamTo returns the stream to a connector, which it opens if there is none. It
// waits until deadline at most.
func (c *Client) streamTo(address string, deadline time.Time) (*outStream, error) {
	c.mu.Lock()
	h := c.peers[address]
	if h == nil {
		h = new(connectorHost)
		c.peers[address] = h
	}
	if h.stream != nil {
		defer c.mu.Unlock()
		return h.stream, nil
	}
	if c.closed {
		c.mu.Unlock()
		return nil, errkind.New(errkind.ConnectFailed, "this host is stopping")
	}
	dialled := h.dialled
	if dialled == nil {
		dialled = make(chan struct{})
		h.dialled = dialled
		c.tasks.Go(func() { c.runDial(address, h) })
	}
	c.mu.Unlock()
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-dialled:
	case <-timer.C:
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if h.stream == nil {
		return nil, errkind.New(errkind.ConnectFailed, "connector %s can't be reached", address)
	}
	return h.stream, nil
}

// runDial opens a stream to a connector.
func (c *Client) runDial(address string, h *connectorHost) {
	ctx, cancel := context.WithTimeout(c.ctx, dialTimeout)
	defer cancel()
	conn, err := c.opts.Dial(ctx, address)
	c.mu.Lock()
	defer c.mu.Unlock()
	close(h.dialled)
	h.dialled = nil
	switch {
	case err != nil:
		h.suspectUntil = time.Now().Add(suspectTime)
		c.metrics.connectorFailures.Inc(1)
		c.opts.Events.Event("connector_unreachable").Str("address", address).Err(err).Msg("connecting to a connector failed")
	case c.closed:
		_ = conn.Close()
	default:
		h.stream = newOutStream(address, peer.NewStream(conn, c.opts.Stream))
		h.stream.hello(c.opts.Host)
		c.tasks.Go(func() { c.runStream(h, h.stream) })
	}
}

// runStream receives answers until the stream fails or is closed.
func (c *Client) runStream(h *connectorHost, s *outStream) {
	err := s.receive()
	s.stream.Abort()
	c.mu.Lock()
	if h.stream == s {
		h.stream = nil
	}
	wanted := s.retired || c.closed
	if !wanted {
		h.suspectUntil = time.Now().Add(suspectTime)
	}
	c.mu.Unlock()
	if lost := s.fail(err); !wanted {
		c.metrics.connectorFailures.Inc(1)
		c.opts.Events.Event("connector_lost").Str("address", s.address).Int("calls", lost).Err(err).Msg("the stream to a connector has ended")
	}
}

// loop closes unused streams until the client is closed.
func (c *Client) loop() {
	ticker := time.NewTicker(closeIdleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.closeUnused()
		case <-c.ctx.Done():
			return
		}
	}
}

// closeUnused closes the streams that have not been used for idleStreamTime, and
// forgets connectors without a stream.
func (c *Client) closeUnused() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, h := range c.peers {
		switch {
		case h.stream == nil && h.dialled == nil && time.Now().After(h.suspectUntil):
			delete(c.peers, address)
		case h.stream != nil && h.stream.unusedFor(time.Now()) > idleStreamTime:
			h.stream.retired = true
			h.stream.stream.Close()
			h.stream = nil
		}
	}
}

// Streams returns the number of streams to connectors.
func (c *Client) Streams() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, h := range c.peers {
		if h.stream != nil {
			n++
		}
	}
	return n
}
