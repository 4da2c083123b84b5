package owner

// Disabled switches off single mechanisms, so that tests can show that they
// detect the absence of each. It must be zero outside of tests.
type Disabled struct {
	Majority      bool // commits are answered without a majority
	LeaseAtAnswer bool // the lease is not checked after a cycle was sent
	Outcomes      bool // repeated requests are executed again
	CleanReturn   bool // connections return to the pool in any transaction status
	Floors        bool // ranks have no guaranteed minimum
}
