package entry

// step is a message that the entry answers itself.
type step struct {
	message byte // type of the frontend message
	object  byte // 'S' or 'P' of Describe and Close
	name    string
	stmt    *prepared
}

// parsed is a Parse of a cycle.
type parsed struct {
	name  string
	stmt  *prepared // nil for an extra Parse, whose ParseComplete is removed
	extra bool
}
