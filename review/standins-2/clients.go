package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// sessionsPerMachine is the number of clients that write at each machine.
	sessionsPerMachine = 2
	// clientPause is the pause of a client between two operations.
	clientPause = 60 * time.Millisecond
	// clientDeadline is how long a client waits for an answer.
	clientDeadline = 4 * time.Second
)

// operation is one write or read of a client, with its outcome.
type operation struct {
	id       string
	read     bool
	gateway  string
	sent     time.Time
	answered time.Time
	success  bool
	code     string // of an error; "lost" without an answer
}

// clients write and read through the gateways that are ready.
type clients struct {
	in    *installation
	stop  chan struct{}
	tasks sync.WaitGroup
	once  sync.Once

	mu         sync.Mutex
	operations []operation
	ready      []string // front addresses
}

func newClients(in *installation) *clients {
	c := &clients{in: in, stop: make(chan struct{})}
	c.probe(newHTTPClient())
	c.tasks.Go(c.loop)
	for i := range sessionsPerMachine * len(in.machines) {
		c.tasks.Go(func() { (&client{clients: c, number: i}).loop() })
	}
	return c
}

// startReaders starts n clients that read; the others write.
func (c *clients) startReaders(n int) {
	for i := range n {
		c.tasks.Go(func() { (&client{clients: c, number: sessionsPerMachine*len(c.in.machines) + i, reads: true}).loop() })
	}
}

// loop asks the gateways whether they are ready.
func (c *clients) loop() {
	client := newHTTPClient()
	for !c.stopped() {
		c.probe(client)
		time.Sleep(500 * time.Millisecond)
	}
}

func (c *clients) probe(client *http.Client) {
	c.in.mu.Lock()
	machines := slices.Clone(c.in.serving)
	c.in.mu.Unlock()
	var ready, all []string
	for _, m := range machines {
		all = append(all, m.front(c.in.ports))
		if c.in.ready(client, m) {
			ready = append(ready, m.front(c.in.ports))
		}
	}
	if len(ready) == 0 {
		ready = all
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ready = ready
}

func (c *clients) stopped() bool {
	select {
	case <-c.stop:
		return true
	default:
		return false
	}
}

// end stops the clients.
func (c *clients) end() {
	c.once.Do(func() { close(c.stop) })
	c.tasks.Wait()
}

// results returns the operations so far.
func (c *clients) results() []operation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.operations)
}

// client is one session at a time.
type client struct {
	clients *clients
	number  int
	reads   bool
	address string
	conn    net.Conn
	r       *bufio.Reader
}

func (c *client) loop() {
	defer c.close()
	for n := 0; !c.clients.stopped(); n++ {
		if c.conn == nil && !c.connect() {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		c.execute(n)
		time.Sleep(clientPause)
	}
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

func (c *client) connect() bool {
	c.clients.mu.Lock()
	c.address = c.clients.ready[c.number%len(c.clients.ready)]
	c.clients.mu.Unlock()
	conn, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		return false
	}
	c.conn, c.r = conn, bufio.NewReader(conn)
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	_, _ = fmt.Fprintf(conn, "%s orders u%d\r\n", wire.Connect, c.number)
	line, err := c.r.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, wire.Ready+" I") {
		c.close()
		return false
	}
	return true
}

// execute sends one statement and waits for its answer. Failed ones are not sent again.
func (c *client) execute(n int) {
	text := fmt.Sprintf("%s item%d data%d", wire.Store, c.number, n)
	if c.reads {
		text = fmt.Sprintf("%s item%d", wire.Fetch, c.number)
	}
	o := operation{id: fmt.Sprintf("%016x", rand.Uint64()), read: c.reads, gateway: c.address, sent: time.Now(), code: "lost"}
	_ = c.conn.SetDeadline(time.Now().Add(clientDeadline))
	_, err := fmt.Fprintf(c.conn, "%s %s %s\r\n", wire.Query, o.id, text)
	for err == nil {
		var line string
		if line, err = c.r.ReadString('\n'); err != nil {
			break
		}
		fields := strings.Fields(line)
		if fields[0] == wire.Complete {
			o.success, o.code = true, ""
		} else if fields[0] == wire.Error && len(fields) > 1 {
			o.code = fields[1]
		} else if fields[0] == wire.Ready {
			break
		}
	}
	o.answered = time.Now()
	c.clients.mu.Lock()
	c.clients.operations = append(c.clients.operations, o)
	c.clients.mu.Unlock()
	c.clients.in.rec.note("client %d: %s %s sent %.3f to %s: success %t %s", c.number, strings.Fields(text)[0], o.id, c.clients.in.rec.at(o.sent), o.gateway, o.success, o.code)
	if err != nil {
		c.close()
	}
}
