package standin

import (
	"context"
	"time"

	"github.com/arbutusring/arbutusring/pkg/logpos"
)

// errUpstreamOver ends replication from a primary that the server no longer
// follows.
var errUpstreamOver = Error.New("the server no longer follows this primary")

// rewind removes the records after fork, on behalf of the primary of term.
func (n *node) rewind(term, fork uint64) error {
	n.logMu.Lock()
	defer n.logMu.Unlock()
	if !n.follows(term) {
		return errUpstreamOver
	}
	if fork > uint64(len(n.log)) {
		return Error.New("fork point %d is after the end of the log %d", fork, len(n.log))
	}
	if fork == uint64(len(n.log)) {
		return nil
	}
	if n.fileFailed != nil {
		return n.fileFailed
	}
	if n.file != nil {
		if err := n.file.truncate(int(fork)); err != nil {
			n.fileFailed = err
			return err
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.logger.Info().Uint64("lsn", fork).Int("removed", len(n.log)-int(fork)).Msg("diverged log rewound")
	// The rest is copied, because senders may still read the removed records.
	n.log = append([]record(nil), n.log[:fork]...)
	n.received = n.received[:fork]
	if n.applied > int(fork) {
		n.tables, n.applied = make(tables), 0
		n.applyUpTo(int(fork))
	}
	n.broadcast()
	return nil
}

// receive stores records from the primary of term.
func (n *node) receive(term uint64, records []record) error {
	n.logMu.Lock()
	defer n.logMu.Unlock()
	if !n.follows(term) {
		return errUpstreamOver
	}
	if records[0].LSN != uint64(len(n.log)+1) {
		return Error.New("received LSN %d, want %d", records[0].LSN, len(n.log)+1)
	}
	return n.store(records, n.applyDelay() == 0)
}

// follows reports whether the server follows the primary of term; requires
// logMu or mu.
func (n *node) follows(term uint64) bool {
	return n.meta.Upstream != "" && n.meta.UpstreamTerm == term && n.meta.Fenced == term
}

// progressOf returns what the server reports to the primary of term.
func (n *node) progressOf(term uint64) (received, applied logpos.Position, ok bool) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.positionAt(len(n.log)), n.positionAt(n.applied), n.follows(term)
}

// applyLoop applies received records after the apply delay, until ctx ends.
func (n *node) applyLoop(ctx context.Context) {
	for {
		n.mu.Lock()
		wait := time.Duration(-1)
		before := n.applied
		for n.applied < len(n.log) {
			if wait = time.Until(n.received[n.applied].Add(n.applyDelay())); wait > 0 {
				break
			}
			wait = -1
			n.applyUpTo(n.applied + 1)
		}
		if n.applied != before {
			n.broadcast()
		}
		changed := n.changed
		n.mu.Unlock()

		if wait > 0 {
			select {
			case <-ctx.Done():
				return
			case <-time.After(wait):
			}
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}
