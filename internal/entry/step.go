package entry

// step is a decoded frontend message of a cycle. The entry answers the steps of
// a local cycle itself.
type step struct {
	messageType byte // type byte of the frontend message
	objectType  byte // 'S' (statement) or 'P' (portal) in Describe and Close
	name        string
	stmt        *preparedStatement
}

// plannedParse is a Parse message of a rewritten cycle.
type plannedParse struct {
	name  string
	stmt  *preparedStatement // nil if extra
	extra bool               // inserted by the entry; its ParseComplete is removed from the answer
}
