package control

import (
	"context"

	"github.com/arbutusring/arbutusring/internal/ownerrpc"
	"github.com/arbutusring/arbutusring/pkg/logpos"
)

// MemberStatus is the answer of a backend server to every call of Members.
type MemberStatus struct {
	ServerID string
	Term     uint64 // greatest term at which it was fenced, promoted or ordered to follow
	Primary  bool   // it accepts writes at Term
	Received logpos.Position
	Applied  logpos.Position
}

// Members calls backend servers directly. Every function must honour its
// context. Calls may be repeated at any time, so all must be idempotent.
type Members struct {
	Status func(ctx context.Context, address string) (MemberStatus, error)
	// Fence makes the server refuse writes, replication and promotion below
	// term. The answer shows the state after fencing.
	Fence func(ctx context.Context, address string, term uint64) (MemberStatus, error)
	// Promote makes the server primary of term. It fails if the server has
	// been fenced at a greater term.
	Promote func(ctx context.Context, address string, term uint64) (MemberStatus, error)
	// Follow makes the server replicate from the primary of term, and rewinds
	// its log first where it has diverged.
	Follow func(ctx context.Context, address, primary string, term uint64) (MemberStatus, error)
}

// RevokeFunc calls Owner.Revoke at the rpc address of a host.
type RevokeFunc func(ctx context.Context, address string, args *ownerrpc.RevokeArgs) (*ownerrpc.RevokeReply, error)
