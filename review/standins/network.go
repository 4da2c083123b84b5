package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

// network decides which machines reach each other. Stand-ins ask it before they
// handle or send bytes, so a cut holds bytes back without a reset, as a network
// partition does.
type network struct {
	mu      sync.Mutex
	cuts    map[[2]string]bool
	changed chan struct{}  // closed at the next change
	pids    map[int]string // machine by process id
}

func newNetwork() *network {
	return &network{cuts: make(map[[2]string]bool), changed: make(chan struct{}), pids: make(map[int]string)}
}

// cut separates every machine of a from every machine of b.
func (n *network) cut(a, b []string) { n.set(a, b, true) }

// join undoes cut.
func (n *network) join(a, b []string) { n.set(a, b, false) }

func (n *network) set(a, b []string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, x := range a {
		for _, y := range b {
			n.cuts[[2]string{x, y}], n.cuts[[2]string{y, x}] = cut, cut
		}
	}
	close(n.changed)
	n.changed = make(chan struct{})
}

func (n *network) isCut(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[[2]string{a, b}]
}

// await waits until a and b reach each other, for at most limit, and reports
// whether they do.
func (n *network) await(a, b string, limit time.Duration) bool {
	deadline := time.Now().Add(limit)
	for {
		n.mu.Lock()
		cut, changed := n.cuts[[2]string{a, b}], n.changed
		n.mu.Unlock()
		if !cut {
			return true
		}
		select {
		case <-changed:
		case <-time.After(time.Until(deadline)):
			return false
		}
	}
}

// addProcess records the machine of a process.
func (n *network) addProcess(pid int, machine string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pids[pid] = machine
}

// caller returns the machine of the process that opened c, or "" if it is not a
// known one. All loopback connections have the same source address, so the
// process is found by the inode of its socket.
func (n *network) caller(c net.Conn) string {
	inode := socketInode(c)
	if inode == "" {
		return ""
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for pid, machine := range n.pids {
		folder := fmt.Sprintf("/proc/%d/fd", pid)
		files, err := os.ReadDir(folder)
		if err != nil {
			continue
		}
		for _, f := range files {
			if target, err := os.Readlink(folder + "/" + f.Name()); err == nil && target == "socket:["+inode+"]" {
				return machine
			}
		}
	}
	return ""
}

// socketInode returns the inode of the socket at the other end of c.
func socketInode(c net.Conn) string {
	want := procAddress(c.RemoteAddr()) + " " + procAddress(c.LocalAddr())
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer func() { _ = f.Close() }()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) > 9 && fields[1]+" "+fields[2] == want {
			return fields[9]
		}
	}
	return ""
}

func procAddress(a net.Addr) string {
	t := a.(*net.TCPAddr)
	ip := t.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], t.Port)
}

// linkProxy carries the connections of one machine to another one. It replaces
// addresses in what the other one sends, so that the machine goes on using proxies
// after it was told the addresses of others.
type linkProxy struct {
	net      *network
	from, to string // machines
	target   string // address
	aliases  map[string]string
}

// loop accepts connections until the listener is closed.
func (p *linkProxy) loop(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go p.run(c)
	}
}

// longCut is longer than every cut of a test.
const longCut = time.Minute

func (p *linkProxy) run(near net.Conn) {
	defer func() { _ = near.Close() }()
	if !p.net.await(p.from, p.to, longCut) {
		return
	}
	far, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = far.Close() }()
	ends := make(chan struct{}, 2)
	up := &linkCopy{proxy: p, from: near, to: far, ends: ends}
	down := &linkCopy{proxy: p, from: far, to: near, ends: ends, aliases: p.aliases}
	go up.run()
	go down.run()
	<-ends
}

// linkCopy copies one direction of a connection.
type linkCopy struct {
	proxy    *linkProxy
	from, to net.Conn
	ends     chan<- struct{}
	aliases  map[string]string // by address, of the same length
}

func (c *linkCopy) run() {
	defer func() { c.ends <- struct{}{} }()
	buf := make([]byte, 256<<10) // a message fits in, so no address is split
	for {
		n, err := c.from.Read(buf)
		if !c.proxy.net.await(c.proxy.from, c.proxy.to, longCut) {
			return
		}
		b := buf[:n]
		for address, alias := range c.aliases {
			b = bytes.ReplaceAll(b, []byte(address), []byte(alias))
		}
		if n > 0 {
			if _, werr := c.to.Write(b); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
