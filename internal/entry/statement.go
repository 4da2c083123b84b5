package entry

// Class is the kind of a statement as far as routing depends on it.
type Class uint8

// The classes of statements.
const (
	ClassWrite         Class = iota // any statement of no other class
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

// String returns the name of the class, as in testdata/statements.txt.
func (c Class) String() string {
	return [...]string{"write", "read", "empty", "begin", "begin_read_only", "commit", "rollback", "transaction", "set", "show", "unsupported"}[c]
}

// answeredLocally reports whether the entry answers statements of the class
// without a server.
func (c Class) answeredLocally() bool { return c == ClassEmpty || c == ClassSet || c == ClassShow }

// Statement is one classified statement.
type Statement struct {
	Class  Class
	Reason string // ClassUnsupported: the error message
	Name   string // ClassSet and ClassShow: attribute name without the prefix
	Value  string // ClassSet: the new value
	Reset  bool   // ClassSet: back to the default
}
