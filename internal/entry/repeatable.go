package entry

// repeatable is the attribute of that name.
type repeatable uint8

const (
	repeatableDefault repeatable = iota // on for reads, off for writes
	repeatableOn
	repeatableOff
)
