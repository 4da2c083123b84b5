package owner

import "sync"

// tokenTable holds the request tokens that are being executed, by server and
// token.
type tokenTable struct {
	mu      sync.Mutex
	running map[[2]string]bool
}

func newTokenTable() *tokenTable { return &tokenTable{running: map[[2]string]bool{}} }

// begin marks a token as being executed. It returns false if it already is.
func (t *tokenTable) begin(server, token string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := [2]string{server, token}
	if t.running[key] {
		return false
	}
	t.running[key] = true
	return true
}

func (t *tokenTable) end(server, token string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.running, [2]string{server, token})
}
