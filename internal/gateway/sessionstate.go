package gateway

import (
	"github.com/arbutusring/arbutusring/internal/limit"
	"github.com/arbutusring/arbutusring/internal/statement"
)

// set stores a value of the session. The caller holds mu.
func (s *Session) set(name, value string) statement.Answer {
	var before *limit.Size
	if old, ok := s.settings[name]; ok {
		before = &limit.Size{Own: len(name) + len(old)}
	}
	if err := s.replaceState(before, &limit.Size{Own: len(name) + len(value)}); err != nil {
		return s.failureAnswer(err)
	}
	s.settings[name] = value
	return s.localAnswer()
}

// prepare stores a prepared statement of the session. The caller holds mu.
func (s *Session) prepare(r statement.Request) statement.Answer {
	ps, err := s.gateway.preparedStatements.get(r.Value, r.ReadOnly)
	if err != nil {
		return s.failureAnswer(err)
	}
	old := s.prepared[r.Name]
	if err := s.replaceState(preparedSize(r.Name, old), preparedSize(r.Name, ps)); err != nil {
		s.gateway.preparedStatements.release(ps)
		return s.failureAnswer(err)
	}
	if old != nil {
		s.gateway.preparedStatements.release(old)
	}
	s.prepared[r.Name] = ps
	return s.localAnswer()
}

// deallocate removes a prepared statement of the session. The caller holds mu.
func (s *Session) deallocate(name string) statement.Answer {
	if old := s.prepared[name]; old != nil {
		if err := s.replaceState(preparedSize(name, old), nil); err != nil {
			return s.failureAnswer(err)
		}
		s.gateway.preparedStatements.release(old)
		delete(s.prepared, name)
	}
	return s.localAnswer()
}

// releaseState returns what the session keeps. The caller holds mu.
func (s *Session) releaseState() {
	for _, ps := range s.prepared {
		s.gateway.preparedStatements.release(ps)
	}
	clear(s.prepared)
	s.kept.Release(s.gateway.opts.Memory)
	s.releaseAnswer()
}

func (s *Session) replaceState(before, after *limit.Size) error {
	return s.kept.Replace(s.gateway.opts.Memory, s.gateway.opts.SessionLimits, before, after)
}

// preparedSize returns the size of a prepared statement, or nil if there is none.
func preparedSize(name string, ps *preparedStatement) *limit.Size {
	if ps == nil {
		return nil
	}
	return &limit.Size{Own: len(name), Shared: len(ps.text)}
}

// ReleaseAnswer tells that the last answer has been encoded, so that its memory is no
// longer in use.
func (s *Session) ReleaseAnswer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseAnswer()
}

func (s *Session) releaseAnswer() {
	s.meter.Release()
	s.meter = nil
}
