package allowance

// Token is the right to send one operation. The nil Token is that of a customer
// without a limit.
type Token struct {
	stock      *Stock
	account    *stockAccount
	generation uint64
	done       bool   // used or returned; guarded by Stock.mu
	usedAt     uint64 // sequence number of the last call before it was used; 0 if it was not
}

// Valid reports whether Use would return true now.
func (t *Token) Valid() bool { return t == nil || t.stock.valid(t) }

// Use uses the token. It must be called immediately before the operation is sent to a
// server, which the operation must not be if Use returns false: the stock has become
// invalid since, for instance because the host was suspended, or the token was used.
// If nothing was sent after all, a later send needs another token.
func (t *Token) Use() bool {
	if t == nil {
		return true
	}
	return t.stock.use(t)
}

// Refund returns the token of an operation that was not sent. A token that was used is
// lost if the ledger has been told so.
func (t *Token) Refund() {
	if t != nil {
		t.stock.refund(t)
	}
}
