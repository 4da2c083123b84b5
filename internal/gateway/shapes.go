package gateway

import (
	"strconv"
	"sync"
)

// shapes gives each prepared statement of this host one name at the servers.
type shapes struct {
	mu     sync.Mutex
	byText map[shape]*shape // by a shape without name
}

// get returns the shared shape for a text.
func (s *shapes) get(text string, readOnly bool) *shape {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := shape{text: text, readOnly: readOnly}
	if known := s.byText[key]; known != nil {
		return known
	}
	if s.byText == nil {
		s.byText = make(map[shape]*shape)
	}
	sh := &shape{name: "p" + strconv.Itoa(len(s.byText)+1), text: text, readOnly: readOnly}
	s.byText[key] = sh
	return sh
}
