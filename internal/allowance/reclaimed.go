package allowance

// Reclaimed is the stock of a host that fell silent, which the ledger takes as used.
type Reclaimed struct {
	Host   string
	Tokens int
}
