package allowance

// Token is the right to send one operation. The nil Token is that of a customer
// without a limit.
type Token struct {
	stock      *Stock
	account    *stockAccount
	generation uint64
	done       bool // used or returned; guarded by Stock.mu
}

// Valid reports whether Use would return true now.
func (t *Token) Valid() bool { return t == nil || t.stock.valid(t) }

// Use uses the token. It must be called immediately before the operation is sent to a
// server, which the operation must not be if Use returns false: the stock has become
// invalid since, for instance because the host was suspended, or the token was used.
// If nothing was sent after all, the token is lost: the ledger may have been told
// that it was used, so a later send needs another one.
func (t *Token) Use() bool {
	if t == nil {
		return true
	}
	return t.stock.use(t)
}

// Refund returns the token of an operation that was not sent, unless it was used.
func (t *Token) Refund() {
	if t != nil {
		t.stock.refund(t)
	}
}
