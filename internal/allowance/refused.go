package allowance

import (
	"fmt"
	"time"
)

// Refused is the error of an operation that got no token. It was not sent.
type Refused struct {
	Customer string
	Retry    time.Duration // until the allowance has a token; 0 if unknown
	StockAge time.Duration // time since the last answered call; 0 if there was none
	Reason   string
}

// Error implements error.
func (r *Refused) Error() string {
	if r.Retry > 0 {
		return fmt.Sprintf("customer %q: %s; retry in %d ms", r.Customer, r.Reason, r.Retry.Milliseconds())
	}
	return fmt.Sprintf("customer %q: %s; retry later", r.Customer, r.Reason)
}
