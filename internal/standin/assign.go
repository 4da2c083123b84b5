package standin

// Promote fences the server at term and promotes it, as control does over a
// connection. It is for processes that run a group without control.
func (s *Server) Promote(term uint64) error {
	if _, err := s.node.fence(term); err != nil {
		return Error.Wrap(err)
	}
	_, err := s.node.promote(term)
	return Error.Wrap(err)
}

// Follow makes the server a replica of primary, which is the primary of term.
func (s *Server) Follow(primary *Server, term uint64) error {
	_, err := s.node.follow(primary.Address(), term)
	return Error.Wrap(err)
}
