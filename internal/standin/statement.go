package standin

type statementKind int

const (
	kindSelect statementKind = iota // rows of a table
	kindCount                       // SELECT count(*)
	kindConst                       // SELECT of a literal or a parameter
	kindCall                        // SELECT function(...), or SELECT columns FROM function(...)
	kindInsert
	kindUpdate
	kindDelete
	kindBegin
	kindCommit
	kindRollback
	kindSetReadOnly // SET TRANSACTION READ ONLY
	kindShow
	kindDiscard // DISCARD ALL
	kindNoOp    // accepted but ignored: SET, RESET, CREATE TABLE
)

// expr is a literal or a parameter.
type expr struct {
	param int // parameter number from 1; 0 for a literal
	text  string
}

// conflictAction is the action of INSERT on an existing key.
type conflictAction int

const (
	conflictError conflictAction = iota
	conflictUpdate
	conflictNothing
)

// statement is one parsed statement.
type statement struct {
	kind      statementKind
	name      string    // table, function, setting, column of kindConst, or command tag
	columns   []string  // selected or returned columns; for kindCall empty means all
	key       *expr     // WHERE k = key; nil without WHERE
	rows      [][2]expr // key and value of each row of INSERT
	value     expr      // new value of UPDATE
	appending bool      // UPDATE sets v = v || value
	conflict  conflictAction
	forUpdate bool   // SELECT FOR UPDATE or FOR SHARE
	readOnly  bool   // BEGIN READ ONLY
	args      []expr // arguments of kindCall, or the value of kindConst
	maxParam  int    // highest parameter number
}

// writes reports whether the statement changes data or locks rows.
func (s *statement) writes() bool {
	switch s.kind {
	case kindInsert, kindUpdate, kindDelete:
		return true
	case kindSelect:
		return s.forUpdate
	}
	return false
}

// verb returns the command name for error messages and command tags.
func (s *statement) verb() string {
	switch s.kind {
	case kindInsert:
		return "INSERT"
	case kindUpdate:
		return "UPDATE"
	case kindDelete:
		return "DELETE"
	case kindSelect:
		return "SELECT FOR UPDATE"
	}
	return s.name
}
