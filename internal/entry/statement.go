package entry

// Class is what the entry has to know about a statement in order to route it.
type Class uint8

// The classes of statements.
const (
	ClassWrite         Class = iota // everything that no other class covers
	ClassRead                       // changes nothing and may run at a replica
	ClassEmpty                      // no statement; answered by the entry
	ClassBegin                      // opens a transaction
	ClassBeginReadOnly              // opens a transaction that a replica may serve
	ClassCommit                     // COMMIT or END
	ClassRollback                   // ROLLBACK or ABORT, but not ROLLBACK TO
	ClassTransaction                // allowed only in an open transaction, such as SET LOCAL
	ClassSet                        // SET or RESET of an attribute; answered by the entry
	ClassShow                       // SHOW of an attribute; answered by the entry
	ClassUnsupported                // refused
)

// String returns the name of the class as the test data uses it.
func (c Class) String() string {
	return [...]string{"write", "read", "empty", "begin", "begin_read_only", "commit", "rollback", "transaction", "set", "show", "unsupported"}[c]
}

// local reports whether the entry answers statements of the class itself.
func (c Class) local() bool { return c == ClassEmpty || c == ClassSet || c == ClassShow }

// Statement is one classified statement.
type Statement struct {
	Class  Class
	Reason string // ClassUnsupported: what is not offered
	Name   string // ClassSet and ClassShow: attribute name without the prefix
	Value  string // ClassSet: the new value
	Reset  bool   // ClassSet: back to the default
}
