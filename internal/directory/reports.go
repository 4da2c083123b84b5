package directory

import (
	"maps"
	"slices"

	"github.com/arbutusring/arbutusring/internal/clock"
	"github.com/arbutusring/arbutusring/internal/directoryrpc"
)

// setReports replaces the reports of a host. The caller holds mu.
func (s *sessions) setReports(id string, h *session, reports []directoryrpc.Report) {
	s.clearSuspicions(id, h)
	h.reports = make(map[string]directoryrpc.Report, len(reports))
	for _, r := range reports {
		h.reports[r.Group] = r
		s.positions[r.Group] = s.positions[r.Group].Max(r.Position)
		if r.FailingFor > 0 {
			if s.suspects[r.Group] == nil {
				s.suspects[r.Group] = make(map[string]bool)
				s.suspected++
			}
			s.suspects[r.Group][id] = true
		}
	}
}

// clearSuspicions removes a host from suspects. The caller holds mu.
func (s *sessions) clearSuspicions(id string, h *session) {
	for _, r := range h.reports {
		if r.FailingFor > 0 {
			if delete(s.suspects[r.Group], id); len(s.suspects[r.Group]) == 0 {
				delete(s.suspects, r.Group)
			}
		}
	}
}

// isSuspected reports whether a host fails to reach the primary of the group. It
// spares the leader the reports of all hosts on all groups.
func (s *sessions) isSuspected(group string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.suspects[group]) > 0
}

// maxAskedGroups bounds the groups on which all hosts are asked for reports at the
// same time. If there are more, they are asked about in turn.
const maxAskedGroups = 64

// askedGroups returns the groups on which all hosts are asked for reports, because
// some host fails to reach their primary, and a channel that is closed when the hosts
// are to be asked anew.
func (s *sessions) askedGroups() ([]string, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	groups := slices.Sorted(maps.Keys(s.suspects))
	if first := s.askedFrom; len(groups) > maxAskedGroups {
		first %= len(groups)
		groups = append(groups[first:], groups[:first]...)[:maxAskedGroups]
	}
	return groups, s.suspicion
}

// announceSuspicions ends the waiting requests of all hosts if a group has become
// suspected since the last call, or the next groups are to be asked about.
func (s *sessions) announceSuspicions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.suspects) > maxAskedGroups {
		s.askedFrom += maxAskedGroups
	} else if s.suspected == s.announced {
		return
	}
	s.announced = s.suspected
	close(s.suspicion)
	s.suspicion = make(chan struct{})
}

// reports returns the reports of the hosts with a lease about the primary of a
// group in the given generation.
func (s *sessions) reports(group string, generation uint64) []directoryrpc.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []directoryrpc.Report
	for _, h := range s.hosts {
		if r, ok := h.reports[group]; ok && r.Generation == generation && clock.Now().Sub(h.grantedAt) <= s.leaseTimeout {
			out = append(out, r)
		}
	}
	return out
}
