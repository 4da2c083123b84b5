package gateway

import (
	"container/list"
	"strconv"
	"sync"

	"github.com/arbutusring/arbutusring/internal/limit"
	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// maxUnusedPreparedBytes limits the texts that are kept after the last session that uses
// them has ended. A session that prepares the same text again then finds it prepared at
// the servers.
const maxUnusedPreparedBytes = 1 << 20

// preparedStatements maps each distinct prepared statement of this host to one
// name that is used at all servers.
type preparedStatements struct {
	budget *limit.Budget

	mu          sync.Mutex
	byText      map[preparedStatement]*preparedEntry // keyed by a value without name
	created     int                                  // number of entries so far, for their names
	unused      list.List                            // of *preparedEntry without sessions, oldest first
	unusedBytes int
}

// preparedEntry is a prepared statement and the number of uses by sessions.
type preparedEntry struct {
	statement preparedStatement
	uses      int
	unused    *list.Element // set while uses is 0
}

// get returns the shared prepared statement for a text, which must be released. The
// error has kind errkind.Overloaded if there is no room for another text.
func (s *preparedStatements) get(text string, readOnly bool) (*preparedStatement, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := preparedStatement{text: text, readOnly: readOnly}
	e := s.byText[key]
	if e == nil {
		if !s.budget.TakeState(int64(len(text))) {
			return nil, errkind.New(errkind.Overloaded, "the memory for prepared statements is used up")
		}
		if s.byText == nil {
			s.byText = make(map[preparedStatement]*preparedEntry)
		}
		s.created++
		e = &preparedEntry{statement: preparedStatement{name: "p" + strconv.Itoa(s.created), text: text, readOnly: readOnly}}
		s.byText[key] = e
	}
	if e.unused != nil {
		s.removeUnused(e)
	}
	e.uses++
	return &e.statement, nil
}

// release ends one use of a prepared statement.
func (s *preparedStatements) release(ps *preparedStatement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.byText[preparedStatement{text: ps.text, readOnly: ps.readOnly}]
	if e.uses--; e.uses > 0 {
		return
	}
	e.unused = s.unused.PushBack(e)
	s.unusedBytes += len(ps.text)
	for s.unusedBytes > maxUnusedPreparedBytes {
		oldest := s.unused.Front().Value.(*preparedEntry)
		s.removeUnused(oldest)
		delete(s.byText, preparedStatement{text: oldest.statement.text, readOnly: oldest.statement.readOnly})
		s.budget.GiveState(int64(len(oldest.statement.text)))
	}
}

// removeUnused removes an entry from the unused ones. The caller holds mu.
func (s *preparedStatements) removeUnused(e *preparedEntry) {
	s.unused.Remove(e.unused)
	e.unused = nil
	s.unusedBytes -= len(e.statement.text)
}
