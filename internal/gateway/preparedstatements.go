package gateway

import (
	"strconv"
	"sync"
)

// preparedStatements maps each distinct prepared statement of this host to one
// name that is used at all servers.
type preparedStatements struct {
	mu     sync.Mutex
	byText map[preparedStatement]*preparedStatement // keyed by a value without name
}

// get returns the shared prepared statement for a text.
func (s *preparedStatements) get(text string, readOnly bool) *preparedStatement {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := preparedStatement{text: text, readOnly: readOnly}
	if known := s.byText[key]; known != nil {
		return known
	}
	if s.byText == nil {
		s.byText = make(map[preparedStatement]*preparedStatement)
	}
	ps := &preparedStatement{name: "p" + strconv.Itoa(len(s.byText)+1), text: text, readOnly: readOnly}
	s.byText[key] = ps
	return ps
}
