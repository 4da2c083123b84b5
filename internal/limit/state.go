package limit

import "github.com/arbutusring/arbutusring/pkg/errkind"

// entryOverhead is about what a map entry and its bookkeeping take.
const entryOverhead = 128

// StateLimits limits what one session keeps. Zero means no limit.
type StateLimits struct {
	MaxNames int // values and prepared statements
	MaxBytes int // of their names and contents
}

// Size is the size of one value or prepared statement of a session.
type Size struct {
	Own    int // bytes that the session keeps
	Shared int // bytes that it shares with other sessions; they count towards its limit only
}

// State counts the values and prepared statements of one session. It is not safe for
// concurrent use.
type State struct {
	names, own, shared int32
}

// Replace accounts for an entry that replaces another one; nil stands for no entry. It
// changes nothing and returns an error of kind errkind.Overloaded if a limit does not
// allow it.
func (s *State) Replace(b *Budget, l StateLimits, before, after *Size) error {
	n := s.replaced(before, after)
	more := int64(n.own) - int64(s.own)
	if err := s.check(n, l); err != nil {
		return err
	}
	if !b.TakeState(more) {
		return errNoRoom()
	}
	if more < 0 {
		b.GiveState(-more)
	}
	*s = n
	return nil
}

// Check returns the error that Replace would return, and changes nothing.
func (s *State) Check(b *Budget, l StateLimits, before, after *Size) error {
	n := s.replaced(before, after)
	if err := s.check(n, l); err != nil {
		return err
	}
	more := int64(n.own) - int64(s.own)
	if !b.TakeState(more) {
		return errNoRoom()
	}
	b.GiveState(max(0, more))
	return nil
}

// Force is Replace without a check.
func (s *State) Force(b *Budget, before, after *Size) {
	n := s.replaced(before, after)
	b.GiveState(int64(s.own) - int64(n.own))
	*s = n
}

// check returns an error if n exceeds a limit and is more than before.
func (s *State) check(n State, l StateLimits) error {
	grows := n.own > s.own || n.shared > s.shared
	switch {
	case grows && l.MaxNames > 0 && int(n.names) > l.MaxNames:
		return errkind.New(errkind.Overloaded, "the session has more than %d values and prepared statements", l.MaxNames)
	case grows && l.MaxBytes > 0 && int(n.own)+int(n.shared) > l.MaxBytes:
		return errkind.New(errkind.Overloaded, "the values and prepared statements of the session exceed %d bytes", l.MaxBytes)
	}
	return nil
}

func errNoRoom() error {
	return errkind.New(errkind.Overloaded, "the memory for the values of sessions is used up")
}

func (s *State) replaced(before, after *Size) State {
	n := *s
	n.add(before, -1)
	n.add(after, 1)
	return n
}

func (s *State) add(size *Size, sign int32) {
	if size != nil {
		s.names += sign
		s.own += sign * int32(size.Own+entryOverhead)
		s.shared += sign * int32(size.Shared)
	}
}

// Release returns everything when the session ends.
func (s *State) Release(b *Budget) {
	b.GiveState(int64(s.own))
	*s = State{}
}
