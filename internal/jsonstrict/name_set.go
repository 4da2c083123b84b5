package jsonstrict

import "bytes"

// maxListed is the number of names that are compared one by one, which is faster than a
// map for the objects of a configuration.
const maxListed = 16

// nameSet is a set of the names of one object.
type nameSet struct {
	list   [maxListed][]byte
	n      int
	others map[string]bool // if there are more
}

// add adds a name, and reports whether it is new.
func (s *nameSet) add(name []byte) bool {
	for _, other := range s.list[:s.n] {
		if bytes.Equal(other, name) {
			return false
		}
	}
	if s.n < maxListed {
		s.list[s.n] = name
		s.n++
		return true
	}
	if s.others[string(name)] {
		return false
	}
	if s.others == nil {
		s.others = make(map[string]bool)
	}
	s.others[string(name)] = true
	return true
}
