package consensus_test

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/consensus"
	"github.com/rs/zerolog"
	"github.com/ugorji/go/codec"
)

// cluster is a set of nodes in one process. Messages are encoded and decoded,
// and arrive after 1 ms.
type cluster struct {
	t               testing.TB
	dir             string
	snapshotEvery   int // Options.SnapshotEvery
	mu              sync.Mutex
	nodes           map[string]*consensus.Node
	states          map[string]*commandList
	isolated        map[string]bool // hosts whose messages are dropped
	reportedLeaders map[string]bool // last value passed to OnLeader
	bootstrap       []consensus.Member
	codec           codec.MsgpackHandle
}

// commandList is the replicated state of the tests: the applied commands.
type commandList struct {
	mu       sync.Mutex
	commands []string
}

func (l *commandList) apply(_ uint64, command []byte) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.commands = append(l.commands, string(command))
	return []byte(fmt.Sprintf("%d", len(l.commands)))
}

func (l *commandList) snapshot() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	return []byte(strings.Join(l.commands, "\n"))
}

func (l *commandList) restore(data []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.commands = strings.Split(string(data), "\n")
	return nil
}

func (l *commandList) list() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.commands)
}

func newCluster(t testing.TB, ids ...string) *cluster {
	c := &cluster{
		t: t, dir: t.TempDir(), nodes: make(map[string]*consensus.Node),
		states: make(map[string]*commandList), isolated: make(map[string]bool), reportedLeaders: make(map[string]bool),
	}
	for _, id := range ids {
		c.bootstrap = append(c.bootstrap, consensus.Member{ID: id, Address: id})
	}
	return c
}

func (c *cluster) send(from string, to consensus.Member, m consensus.Message) {
	var b []byte
	codec.NewEncoderBytes(&b, &c.codec).MustEncode(m)
	go func() {
		time.Sleep(time.Millisecond)
		c.mu.Lock()
		n := c.nodes[to.Address]
		blocked := c.isolated[from] || c.isolated[to.Address]
		c.mu.Unlock()
		var received consensus.Message
		codec.NewDecoderBytes(b, &c.codec).MustDecode(&received)
		if n != nil && !blocked {
			n.Step(received)
		}
	}()
}

// start starts a host. With join, it waits until it is added to the membership.
func (c *cluster) start(id string, join bool) *consensus.Node {
	state := new(commandList)
	n, err := consensus.Start(consensus.Options{
		ID: id, Address: id, Dir: filepath.Join(c.dir, id), Bootstrap: c.bootstrap, Join: join,
		Send:  func(to consensus.Member, m consensus.Message) { c.send(id, to, m) },
		Apply: state.apply, Snapshot: state.snapshot, Restore: state.restore,
		SnapshotEvery: c.snapshotEvery, Logger: zerolog.Nop(),
		OnLeader: func(leading bool, _ uint64) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.reportedLeaders[id] = leading
		},
	})
	if err != nil {
		c.t.Fatalf("start %s: %v", id, err)
	}
	c.mu.Lock()
	c.nodes[id], c.states[id] = n, state
	c.mu.Unlock()
	return n
}

func (c *cluster) startAll() {
	for _, m := range c.bootstrap {
		c.start(m.ID, false)
	}
}

func (c *cluster) stop(id string) {
	c.mu.Lock()
	n := c.nodes[id]
	delete(c.nodes, id)
	c.mu.Unlock()
	if err := n.Stop(context.Background()); err != nil {
		c.t.Fatalf("stop %s: %v", id, err)
	}
}

func (c *cluster) stopAll() {
	for _, id := range c.ids() {
		c.stop(id)
	}
	time.Sleep(2 * time.Millisecond) // delivery of messages in transit ends
}

func (c *cluster) ids() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ids []string
	for id := range c.nodes {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (c *cluster) setIsolated(id string, isolated bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isolated[id] = isolated
}

func (c *cluster) isReportedLeader(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reportedLeaders[id]
}

// leader waits up to 10 s for a node, other than except, that passes the read
// barrier.
func (c *cluster) leader(except string) (string, *consensus.Node) {
	c.t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for time.Now().Before(deadline) {
		for _, id := range c.ids() {
			if id != except && c.nodes[id].IsLeader() && c.nodes[id].ReadBarrier(context.Background()) == nil {
				return id, c.nodes[id]
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	c.t.Fatalf("no leader within 10 s")
	return "", nil
}

func (c *cluster) propose(n *consensus.Node, command string) string {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	result, err := n.Propose(ctx, []byte(command))
	if err != nil {
		c.t.Fatalf("propose %q: %v", command, err)
	}
	return string(result)
}

// waitFor waits up to 10 s until f returns true.
func (c *cluster) waitFor(what string, f func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for !f() {
		if time.Now().After(deadline) {
			c.t.Fatal(errors.New("timed out: " + what))
		}
		time.Sleep(5 * time.Millisecond)
	}
}
