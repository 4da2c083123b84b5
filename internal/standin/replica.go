package standin

import (
	"context"
	"time"

	"github.com/arbutusring/arbutusring/pkg/logpos"
)

// errUpstreamChanged is returned when the server no longer follows the primary
// that it replicates from.
var errUpstreamChanged = Error.New("the server no longer follows this primary")

// rewind removes the records after LSN fork while the server follows the primary
// of term.
func (n *node) rewind(term, fork uint64) error {
	n.logMu.Lock()
	defer n.logMu.Unlock()
	if !n.follows(term) {
		return errUpstreamChanged
	}
	if fork > uint64(len(n.log)) {
		return Error.New("fork point %d is beyond the end of the log at LSN %d", fork, len(n.log))
	}
	if fork == uint64(len(n.log)) {
		return nil
	}
	if n.fileErr != nil {
		return n.fileErr
	}
	if n.file != nil {
		if err := n.file.truncate(int(fork)); err != nil {
			n.fileErr = err
			return err
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.logger.Info().Uint64("lsn", fork).Int("removed", len(n.log)-int(fork)).Msg("removed the diverged records at the end of the log")
	// The kept records are copied: appending to the old array would overwrite
	// records that senders may still read.
	n.log = append([]record(nil), n.log[:fork]...)
	n.receivedAt = n.receivedAt[:fork]
	if n.applied > int(fork) {
		n.tables, n.applied = make(tables), 0
		n.applyUpTo(int(fork))
	}
	n.broadcast()
	return nil
}

// receive stores records from the primary of term and applies them unless there
// is an apply delay.
func (n *node) receive(term uint64, records []record) error {
	n.logMu.Lock()
	defer n.logMu.Unlock()
	if !n.follows(term) {
		return errUpstreamChanged
	}
	if records[0].LSN != uint64(len(n.log)+1) {
		return Error.New("received LSN %d, want %d", records[0].LSN, len(n.log)+1)
	}
	return n.store(records, n.applyDelay() == 0)
}

// follows reports whether the server follows the primary of term; requires
// logMu or mu.
func (n *node) follows(term uint64) bool {
	return n.meta.Upstream != "" && n.meta.UpstreamTerm == term && n.meta.FencedTerm == term
}

// ownProgress returns the positions that the server reports to the primary of
// term. ok is false if the server does not follow that primary.
func (n *node) ownProgress(term uint64) (received, applied logpos.Position, ok bool) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.positionAt(len(n.log)), n.positionAt(n.applied), n.follows(term)
}

// applyLoop applies received records after the apply delay, until ctx ends.
func (n *node) applyLoop(ctx context.Context) {
	for {
		n.mu.Lock()
		wait := time.Duration(-1)
		appliedBefore := n.applied
		for n.applied < len(n.log) {
			if wait = time.Until(n.receivedAt[n.applied].Add(n.applyDelay())); wait > 0 {
				break
			}
			wait = -1
			n.applyUpTo(n.applied + 1)
		}
		if n.applied != appliedBefore {
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
