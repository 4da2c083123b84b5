package allowance

// Limit is the allowance of one customer over all hosts.
type Limit struct {
	Rate  float64 // operations a second
	Burst float64 // operations above the rate at one time
}
