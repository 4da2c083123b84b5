package control

import "github.com/arbutusring/arbutusring/internal/controlrpc"

// Command is one change of the replicated state. Exactly one field is set.
// An entry of the log is a list of commands, encoded by EncodeCommands.
type Command struct {
	Announce  *AnnounceServer `codec:"a,omitempty"`
	Remove    *RemoveServer   `codec:"b,omitempty"`
	Register  *RegisterHost   `codec:"c,omitempty"`
	Forget    *ForgetHost     `codec:"d,omitempty"`
	Revoke    *RevokeLease    `codec:"e,omitempty"`
	Assign    *AssignLease    `codec:"f,omitempty"`
	Begin     *BeginTerm      `codec:"g,omitempty"`
	Name      *NamePrimary    `codec:"h,omitempty"`
	Drain     *SetDraining    `codec:"i,omitempty"`
	Configure *Configure      `codec:"j,omitempty"`
}

// AnnounceServer stores a backend server. Revision is the log index of the
// latest change of that server that the proposer has seen, 0 if the server is
// new. The Term and LSN of Server are not stored.
type AnnounceServer struct {
	Server   controlrpc.Server `codec:"s"`
	Revision uint64            `codec:"r"`
}

// RemoveServer removes a server that is not a member of its group.
type RemoveServer struct {
	ID       string `codec:"i"`
	Revision uint64 `codec:"r"`
}

// RegisterHost stores an entry host. Revision is as in AnnounceServer.
type RegisterHost struct {
	Host     controlrpc.Host `codec:"h"`
	Revision uint64          `codec:"r"`
}

// ForgetHost removes a host that holds no lease.
type ForgetHost struct {
	ID       string `codec:"i"`
	Revision uint64 `codec:"r"`
}

// RevokeLease marks a lease as revoking. Epoch is that of the lease.
type RevokeLease struct {
	Server string `codec:"s"`
	Epoch  uint64 `codec:"e"`
}

// AssignLease assigns a server to an incarnation of a host. Epoch is that of
// the revoking lease, or 0 if the server has none. The new epoch is the log
// index, which always increases.
type AssignLease struct {
	Server      string `codec:"s"`
	Epoch       uint64 `codec:"e"`
	Host        string `codec:"h"`
	Incarnation string `codec:"n"`
}

// BeginTerm starts a change of the primary at Term, which must be greater than
// ExpectTerm. The group must be at ExpectTerm and in ExpectPhase.
type BeginTerm struct {
	Group       string           `codec:"g"`
	ExpectTerm  uint64           `codec:"t"`
	ExpectPhase controlrpc.Phase `codec:"p"`
	Term        uint64           `codec:"n"`
}

// NamePrimary ends the change of the primary at Term. Members, if not empty,
// replaces the members of the group; the proposer must have checked that a
// majority of them has received everything that the new primary had when it was
// fenced.
type NamePrimary struct {
	Group   string   `codec:"g"`
	Term    uint64   `codec:"t"`
	Server  string   `codec:"s"`
	Members []string `codec:"m,omitempty"`
}

// SetDraining takes a host or server out of service, or back in.
type SetDraining struct {
	Args controlrpc.DrainArgs `codec:"a"`
}

// Configure replaces the configuration if its version is Args.BaseVersion.
type Configure struct {
	Args controlrpc.ApplyArgs `codec:"a"`
}
