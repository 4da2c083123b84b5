package owner

// Disabled switches off single mechanisms, so that tests can show that they
// fail without the mechanism. It must be zero outside of tests.
type Disabled struct {
	Majority      bool // commits are answered without waiting for a majority
	LeaseAtAnswer bool // the lease is not checked again after a cycle was sent
	Outcomes      bool // repeated requests are executed again
	CleanReturn   bool // connections are kept in the pool in any transaction status
	Floors        bool // ranks have no guaranteed minimum
}
