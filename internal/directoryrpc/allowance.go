package directoryrpc

import (
	"time"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
)

// AllowanceArgs reports the use of the allowances of customers at a host, renews the
// stocks of tokens of the host and asks for more. See package allowance.
type AllowanceArgs struct {
	Host Host `codec:"h"`
	// Sequence grows with each call of the incarnation. A call that is sent again has
	// the same one, and gets the same reply.
	Sequence uint64 `codec:"s"`
	Ledger   uint64 `codec:"l"` // of the last reply; 0 before the first
	// Full reports that Customers includes every customer of which the host holds
	// tokens. Otherwise it includes those with a change since the last reply.
	Full      bool           `codec:"f"`
	Customers []AllowanceUse `codec:"c"`
}

// AllowanceUse is the use of the allowance of one customer at a host.
type AllowanceUse struct {
	Customer string `codec:"c"`
	Used     uint64 `codec:"u"` // operations sent to servers since the start of the host
	Held     int    `codec:"h"` // tokens at the host, with those of operations that were not sent yet
	Waiting  int    `codec:"w"` // operations that wait for a token
	Wanted   int    `codec:"m"` // tokens wanted besides, for operations to come
}

// AllowanceReply answers AllowanceArgs. The host may use its tokens for TTL, which
// it counts from before it sent the request.
type AllowanceReply struct {
	controlrpc.Answer
	TTL    time.Duration `codec:"t"`
	Ledger uint64        `codec:"g"` // identifies the ledger of this leader
	// Resync reports that the ledger needs a request with Full. The request had no
	// effect, and the tokens of the host are as they were.
	Resync bool `codec:"r"`
	// Renewed reports that the ledger knows all tokens that the request named. If it
	// is false, only the tokens of this reply are valid.
	Renewed   bool             `codec:"n"`
	Customers []AllowanceGrant `codec:"c"`
}

// AllowanceGrant is the answer for one customer.
type AllowanceGrant struct {
	Customer string `codec:"c"`
	Tokens   int    `codec:"t"`
	// Retry is set if operations that waited got no token because the allowance is
	// used up: it is the time until there is one. Otherwise they may ask again.
	Retry time.Duration `codec:"r"`
	// Recall asks the host to return the tokens that no operation waits for.
	Recall bool `codec:"b"`
}
