package relay_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/internal/statement"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/matryer/is"
)

// outcomes holds the results of statements by text.
type outcomes struct {
	mu    sync.Mutex
	kinds map[string]errkind.Kind
}

func (o *outcomes) record(text string, kind errkind.Kind) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.kinds[text] = kind
}

// TestChurn guards against a write that runs twice, runs although it was reported as not
// run or did not run although it was acknowledged, against transactions whose statements
// run on several connections, and against connections that stay open, while hosts become
// and cease to be connectors, with different views, and streams fall silent or break.
func TestChurn(t *testing.T) {
	is := is.New(t)
	in := install(t, 8, 6)
	rnd := rand.New(rand.NewPCG(1, 2)) // used by this goroutine only
	results := &outcomes{kinds: make(map[string]errkind.Kind)}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i := range 24 {
		c := in.open(in.hosts[i%len(in.hosts)])
		callers.Go(func() { in.runCaller(c, i, results, stop) })
	}
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		h := in.hosts[rnd.IntN(len(in.hosts))]
		switch rnd.IntN(8) {
		case 0:
			h.links.freeze()
		case 1:
			h.links.cut()
		default:
			list := make(map[string]directoryrpc.Host)
			for id, entry := range in.list {
				entry.Draining = rnd.IntN(4) == 0
				list[id] = entry
			}
			h.g.SetHosts(list, false)
		}
	}
	close(stop)
	callers.Wait()

	executed := make(map[string]int)
	conns := make(map[string]map[string]bool) // connections by transaction
	in.backend.mu.Lock()
	for i, e := range in.backend.executed {
		_, text, ok := strings.Cut(e, " write ")
		if !ok {
			continue
		}
		text, _, _ = strings.Cut(text, " ")
		executed[text]++
		if tx, _, ok := strings.Cut(text, "/"); ok {
			if conns[tx] == nil {
				conns[tx] = make(map[string]bool)
			}
			conns[tx][in.backend.connOf[i]] = true
		}
	}
	in.backend.mu.Unlock()
	counts := make(map[errkind.Kind]int)
	for text, kind := range results.kinds {
		counts[kind]++
		switch {
		case kind == errkind.OK:
			is.Equal(executed[text], 1)
		case kind.Info().Outcome == errkind.NotRun && !strings.Contains(text, "/"):
			is.Equal(executed[text], 0)
		default:
			is.True(executed[text] <= 1)
		}
	}
	for _, used := range conns {
		is.Equal(len(used), 1)
	}
	t.Logf("results: %v", counts)
	is.True(counts[errkind.OK] > 100)
	for _, h := range in.hosts {
		h.g.SetHosts(map[string]directoryrpc.Host{"x": {ID: "x", PeerAddress: "127.0.0.1:1"}}, false) // nobody is a connector
	}
	eventually(is, func() bool { return in.backend.connections("") == 0 })
}

// runCaller runs writes, of which every third is in a transaction of two.
func (in *installation) runCaller(c *caller, id int, results *outcomes, stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(2 * time.Millisecond):
		}
		text := fmt.Sprintf("w%d-%d", id, n)
		if n%3 > 0 {
			results.record(text, kindOf(c.do(statement.Write, text)))
			continue
		}
		c.do(statement.Begin, "begin")
		for _, part := range []string{"/a", "/b"} {
			results.record(text+part, kindOf(c.do(statement.Write, text+part)))
		}
		c.do(statement.Commit, "commit")
	}
}
