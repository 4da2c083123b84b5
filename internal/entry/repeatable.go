package entry

// repeatable is the value of the attribute arbutusring.repeatable, which states
// whether a statement may be executed more than once.
type repeatable uint8

const (
	repeatableDefault repeatable = iota // on for reads, off for writes
	repeatableOn
	repeatableOff
)
