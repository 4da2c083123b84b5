package allowance

// waiter is an operation that waits for a token. Stock.mu guards it.
type waiter struct {
	ready chan waitResult // capacity 1
	asked bool            // counted in the call in flight
}

// waitResult is a token or an error.
type waitResult struct {
	token *Token
	err   error
}
