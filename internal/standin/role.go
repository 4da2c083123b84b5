package standin

import (
	"time"

	"github.com/arbutusring/arbutusring/pkg/logpos"
)

// fence makes the server reject all terms lower than term. A primary of a lower
// term becomes a replica that follows no primary, and a replica stops
// replicating from a primary of a lower term. After fence has returned, the log
// does not change until the server is promoted or follows a primary.
func (n *node) fence(term uint64) (status, error) {
	n.logMu.Lock()
	defer n.logMu.Unlock()
	m := n.meta
	if err := checkTerm(m, term); err != nil {
		return status{}, err
	}
	if term > m.FencedTerm {
		m.FencedTerm, m.PrimaryTerm, m.Upstream, m.UpstreamTerm = term, 0, "", 0
	}
	return n.updateMeta(m)
}

// promote makes the server the primary of term and writes a first record of the
// term, so that its positions compare after those of all lower terms.
func (n *node) promote(term uint64) (status, error) {
	n.logMu.Lock()
	defer n.logMu.Unlock()
	m := n.meta
	if err := checkTerm(m, term); err != nil {
		return status{}, err
	}
	switch {
	case m.FencedTerm != term:
		return status{}, sqlErrorf(codeStaleTerm, "cannot promote at term %d: the server is fenced at term %d", term, m.FencedTerm)
	case m.PrimaryTerm == term:
		return n.status(), nil
	case m.UpstreamTerm == term:
		return status{}, sqlErrorf(codeStaleTerm, "cannot promote at term %d: the server follows the primary %s of this term", term, m.Upstream)
	}
	// The record is stored before the role. A crash in between leaves a
	// replica with a record of the term, which may be promoted again.
	if len(n.log) == 0 || n.log[len(n.log)-1].Term < term {
		firstRecord := record{Term: term, LSN: uint64(len(n.log) + 1), Time: time.Now().UnixNano()}
		if err := n.store([]record{firstRecord}, false); err != nil {
			return status{}, sqlErrorf(codeIOError, "cannot write the log: %v", err)
		}
	}
	m.PrimaryTerm, m.Upstream, m.UpstreamTerm = term, "", 0
	return n.updateMeta(m)
}

// follow makes the server a replica of the primary of term.
func (n *node) follow(address string, term uint64) (status, error) {
	if address == "" {
		return status{}, sqlErrorf(codeInvalidParameter, "address of the primary is empty")
	}
	n.logMu.Lock()
	defer n.logMu.Unlock()
	m := n.meta
	if err := checkTerm(m, term); err != nil {
		return status{}, err
	}
	if m.PrimaryTerm == term {
		return status{}, sqlErrorf(codeStaleTerm, "cannot follow: the server is the primary of term %d", term)
	}
	m.FencedTerm, m.PrimaryTerm, m.Upstream, m.UpstreamTerm = term, 0, address, term
	return n.updateMeta(m)
}

// checkTerm returns an error if term is 0 or lower than the fenced term.
func checkTerm(m meta, term uint64) error {
	if term == 0 {
		return sqlErrorf(codeInvalidParameter, "term 0 is invalid")
	}
	if term < m.FencedTerm {
		return sqlErrorf(codeStaleTerm, "term %d is stale: the server is fenced at term %d", term, m.FencedTerm)
	}
	return nil
}

// updateMeta stores m durably and makes it the current metadata, unless it is
// unchanged; requires logMu.
func (n *node) updateMeta(m meta) (status, error) {
	if m == n.meta {
		return n.status(), nil
	}
	if err := n.storeMeta(m); err != nil {
		return status{}, sqlErrorf(codeIOError, "cannot write the role: %v", err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.meta = m
	clear(n.replicas)
	if m.isPrimary() {
		n.applyUpTo(len(n.log))
	}
	n.broadcast()
	n.logger.Info().Uint64("fenced_term", m.FencedTerm).Uint64("primary_term", m.PrimaryTerm).
		Str("upstream", m.Upstream).Str("received", n.positionAt(len(n.log)).String()).Msg("role, upstream or fenced term of the server changed")
	return n.statusLocked(), nil
}

// currentPosition returns the end of the log; it fails unless the server is a
// primary.
func (n *node) currentPosition() (logpos.Position, error) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	if !n.meta.isPrimary() {
		return logpos.Position{}, notPrimary(n.meta)
	}
	return n.positionAt(len(n.log)), nil
}

func notPrimary(m meta) error {
	return sqlErrorf(codeWrongState, "recovery is in progress: the server is not the primary of its fenced term %d", m.FencedTerm)
}
