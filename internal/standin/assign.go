package standin

// Promote fences the server at term and promotes it, as control hosts do over
// a connection. It is meant for processes that run a group without control
// hosts.
func (s *Server) Promote(term uint64) error {
	if _, err := s.node.fence(term); err != nil {
		return Error.Wrap(err)
	}
	_, err := s.node.promote(term)
	return Error.Wrap(err)
}

// Follow makes the server a replica of primary at term.
func (s *Server) Follow(primary *Server, term uint64) error {
	_, err := s.node.follow(primary.Address(), term)
	return Error.Wrap(err)
}
