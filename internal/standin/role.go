package standin

import (
	"time"

	"github.com/arbutusring/arbutusring/pkg/logpos"
)

// fence refuses every term lower than term from now on. A primary of a lower
// term becomes a replica that follows no primary, and a replica stops
// replicating from a primary of a lower term. The log does not change after
// fence has returned, until the server is promoted or follows a primary.
func (n *node) fence(term uint64) (status, error) {
	n.logMu.Lock()
	defer n.logMu.Unlock()
	m := n.meta
	if err := checkTerm(m, term); err != nil {
		return status{}, err
	}
	if term > m.Fenced {
		m.Fenced, m.PrimaryTerm, m.Upstream, m.UpstreamTerm = term, 0, "", 0
	}
	return n.changeMeta(m)
}

// promote makes the server the primary of term and writes a first record of
// the term, so that later positions are after those of all lower terms.
func (n *node) promote(term uint64) (status, error) {
	n.logMu.Lock()
	defer n.logMu.Unlock()
	m := n.meta
	if err := checkTerm(m, term); err != nil {
		return status{}, err
	}
	switch {
	case m.Fenced != term:
		return status{}, sqlErrorf(codeStaleTerm, "cannot promote at term %d: fenced at term %d", term, m.Fenced)
	case m.PrimaryTerm == term:
		return n.status(), nil
	case m.UpstreamTerm == term:
		return status{}, sqlErrorf(codeStaleTerm, "cannot promote at term %d: following its primary %s", term, m.Upstream)
	}
	// The record is stored before the role. A crash in between leaves a
	// replica with a record of the term, which may be promoted again.
	if len(n.log) == 0 || n.log[len(n.log)-1].Term < term {
		first := record{Term: term, LSN: uint64(len(n.log) + 1), Time: time.Now().UnixNano()}
		if err := n.store([]record{first}, false); err != nil {
			return status{}, sqlErrorf(codeStorageFailure, "writing the log: %v", err)
		}
	}
	m.PrimaryTerm, m.Upstream, m.UpstreamTerm = term, "", 0
	return n.changeMeta(m)
}

// follow makes the server a replica of the primary of term.
func (n *node) follow(address string, term uint64) (status, error) {
	if address == "" {
		return status{}, sqlErrorf(codeBadValue, "address of the primary is empty")
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
	m.Fenced, m.PrimaryTerm, m.Upstream, m.UpstreamTerm = term, 0, address, term
	return n.changeMeta(m)
}

// checkTerm refuses a term that is lower than the fenced one or invalid.
func checkTerm(m meta, term uint64) error {
	if term == 0 {
		return sqlErrorf(codeBadValue, "term 0 is invalid")
	}
	if term < m.Fenced {
		return sqlErrorf(codeStaleTerm, "term %d is over: fenced at term %d", term, m.Fenced)
	}
	return nil
}

// changeMeta stores m durably if it differs, and then uses it; requires logMu.
func (n *node) changeMeta(m meta) (status, error) {
	if m == n.meta {
		return n.status(), nil
	}
	if err := n.storeMeta(m); err != nil {
		return status{}, sqlErrorf(codeStorageFailure, "writing the role: %v", err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.meta = m
	clear(n.replicas)
	if m.primary() {
		n.applyUpTo(len(n.log))
	}
	n.broadcast()
	n.logger.Info().Uint64("fenced_term", m.Fenced).Uint64("primary_term", m.PrimaryTerm).
		Str("upstream", m.Upstream).Str("received", n.positionAt(len(n.log)).String()).Msg("role changed")
	return n.statusLocked(), nil
}

// currentPosition returns the end of the log of a primary.
func (n *node) currentPosition() (logpos.Position, error) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	if !n.meta.primary() {
		return logpos.Position{}, notPrimary(n.meta)
	}
	return n.positionAt(len(n.log)), nil
}

func notPrimary(m meta) error {
	return sqlErrorf(codeNotReady, "recovery is in progress: the server is not the primary of its fenced term %d", m.Fenced)
}
