package faulttest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/arbutusring/arbutusring/internal/consensus"
	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/internal/operator"
	"github.com/arbutusring/arbutusring/internal/ownerrpc"
	"github.com/arbutusring/arbutusring/internal/peer"
	"github.com/arbutusring/arbutusring/internal/process"
	"github.com/arbutusring/arbutusring/internal/standin"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/settings"
	"github.com/rs/zerolog"
	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("faulttest")

// Group is the name of the database group of an installation.
const Group = "orders"

// DefaultPolicy is the configuration of an installation unless
// Options.Policy is set.
const DefaultPolicy = `
[[database_group]]
name = "orders"
members = 3

[[traffic_rank]]
name = "urgent"
order = 0
floor = 0.2

[[traffic_rank]]
name = "normal"
order = 1
floor = 0.1
default = true

[[traffic_rank]]
name = "bulk"
order = 2
floor = 0.05

[[policy]]
name = "all"
deadline = "3s"
`

// Options configures an installation.
type Options struct {
	Folder   string // parent of the data folders of control and stand-ins
	Controls int    // default 3
	Entries  int    // default 3
	Policy   string // default DefaultPolicy
	Standin  standin.Options
	Logger   zerolog.Logger

	// RegionLatency is the one-way latency between regions. Each data centre
	// is in a region of its own.
	RegionLatency time.Duration
}

// Installation is a whole system whose processes run as goroutines and
// communicate over loopback TCP. Its methods are safe for concurrent use.
type Installation struct {
	Network *Network
	opts    Options
	ip      string

	reserved []net.Listener // hold the chosen addresses until all have been chosen

	controlPeerAddrs     []string
	controlOperatorAddrs []string
	entryPeerAddrs       []string
	entryOperatorAddrs   []string
	entryCallerAddrs     []string
	serverAddrs          []string

	mu       sync.Mutex // guards the processes below; a nil process is stopped
	controls []*process.Control
	entries  []*process.Entry
	servers  []*standin.Server
}

// Start starts all processes, applies the policy and waits until the
// installation serves statements; see WaitServing.
func Start(ctx context.Context, opts Options) (*Installation, error) {
	if opts.Controls == 0 {
		opts.Controls = 3
	}
	if opts.Entries == 0 {
		opts.Entries = 3
	}
	if opts.Policy == "" {
		opts.Policy = DefaultPolicy
	}
	in := &Installation{
		Network: NewNetwork(), opts: opts, ip: loopbackIP(),
		controls: make([]*process.Control, opts.Controls),
		entries:  make([]*process.Entry, opts.Entries),
		servers:  make([]*standin.Server, 3),
	}
	if opts.RegionLatency > 0 {
		in.Network.Latency = in.hostLatency
	}
	err := in.reserve()
	in.releaseReserved()
	if err != nil {
		return nil, err
	}
	if err := in.startAll(ctx); err != nil {
		in.Close()
		return nil, err
	}
	return in, nil
}

func (in *Installation) startAll(ctx context.Context) error {
	for i := range in.controls {
		if err := in.StartControl(i); err != nil {
			return err
		}
	}
	for i := range in.entries {
		if err := in.StartEntry(i); err != nil {
			return err
		}
	}
	for i := range in.servers {
		if err := in.StartServer(i); err != nil {
			return err
		}
	}
	if err := in.Apply(ctx, "first", in.opts.Policy); err != nil {
		return err
	}
	return in.WaitServing(ctx)
}

// reserve chooses and reserves all addresses up front, so that a restarted
// process keeps its addresses.
func (in *Installation) reserve() error {
	for i := range in.controls {
		if err := in.reserveAddresses(&in.controlPeerAddrs, &in.controlOperatorAddrs); err != nil {
			return err
		}
		in.Network.Register(in.controlPeerAddrs[i], controlID(i))
	}
	for i := range in.entries {
		if err := in.reserveAddresses(&in.entryPeerAddrs, &in.entryOperatorAddrs, &in.entryCallerAddrs); err != nil {
			return err
		}
		in.Network.Register(in.entryPeerAddrs[i], entryID(i))
	}
	for range in.servers {
		if err := in.reserveAddresses(&in.serverAddrs); err != nil {
			return err
		}
	}
	return nil
}

// reserveAddresses reserves a free address of the installation's IP for each
// list and appends it.
func (in *Installation) reserveAddresses(lists ...*[]string) error {
	for _, list := range lists {
		ln, err := listenBelowEphemeral(in.ip)
		if err != nil {
			return err
		}
		*list = append(*list, ln.Addr().String())
		in.reserved = append(in.reserved, ln)
	}
	return nil
}

// releaseReserved closes the listeners of the reserved addresses. They are
// kept open until all addresses have been chosen, so that these differ.
func (in *Installation) releaseReserved() {
	for _, ln := range in.reserved {
		_ = ln.Close()
	}
	in.reserved = nil
}

// listenBelowEphemeral listens on a random port below the ephemeral range.
// An outgoing connection could otherwise take the port of a stopped process
// before the process starts again.
func listenBelowEphemeral(ip string) (net.Listener, error) {
	const first, count, attempts = 2000, 13000, 100
	var err error
	for range attempts {
		var ln net.Listener
		if ln, err = net.Listen("tcp", fmt.Sprintf("%s:%d", ip, first+rand.IntN(count))); err == nil {
			return ln, nil
		}
	}
	return nil, Error.Wrap(err)
}

// loopbackIP returns a random address of the loopback network, so that
// concurrent installations don't compete for ports.
func loopbackIP() string {
	return fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
}

// hostLatency returns the one-way latency between two hosts. The last digit of
// a host id, modulo 3, is the number of its region; this holds for at most ten
// hosts of a role.
func (in *Installation) hostLatency(from, to string) time.Duration {
	if from == "" || to == "" || from[len(from)-1]%3 == to[len(to)-1]%3 {
		return 0
	}
	return in.opts.RegionLatency
}

func controlID(i int) string { return fmt.Sprintf("control-%d", i) }
func entryID(i int) string   { return fmt.Sprintf("entry-%d", i) }
func serverID(i int) string  { return fmt.Sprintf("server-%d", i) }

// ControlID returns the host id of a control process.
func ControlID(i int) string { return controlID(i) }

// EntryID returns the host id of an entry.
func EntryID(i int) string { return entryID(i) }

// ServerID returns the id of a backend server.
func ServerID(i int) string { return serverID(i) }

// StartControl starts a control process on its data folder.
func (in *Installation) StartControl(i int) error {
	folder := in.controlFolder(i)
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return Error.Wrap(err)
	}
	members := make(map[string]string)
	for j, a := range in.controlPeerAddrs {
		members[controlID(j)] = a
	}
	cfg := settings.Settings{
		Host:   settings.Host{ID: controlID(i), DataCentre: fmt.Sprintf("dc-%d", i%3), Region: fmt.Sprintf("region-%d", i%3)},
		Listen: settings.Listen{Peers: in.controlPeerAddrs[i], Operators: in.controlOperatorAddrs[i]},
		Control: settings.Control{
			Addresses: in.controlPeerAddrs, DataFolder: folder, Bootstrap: true, Members: members,
		},
	}
	p, err := retryStart(func() (*process.Control, error) {
		return process.StartControl(process.ControlOptions{
			Settings: cfg, Logger: in.logger(controlID(i)), Dial: in.Network.Dialer(controlID(i)),
		})
	})
	if err != nil {
		return err
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	in.controls[i] = p
	return nil
}

// logger returns the logger of a host.
func (in *Installation) logger(host string) zerolog.Logger {
	return in.opts.Logger.With().Str("host", host).Logger()
}

func (in *Installation) controlFolder(i int) string {
	return filepath.Join(in.opts.Folder, controlID(i))
}

// StartEntry starts an entry process.
func (in *Installation) StartEntry(i int) error {
	cfg, err := settings.Parse("faulttest", fmt.Sprintf(`
host = { id = %q, data_centre = "dc-%d", region = "region-%d" }
listen = { callers = %q, peers = %q, operators = %q }
control = { addresses = ["%s"] }
`, entryID(i), i%3, i%3, in.entryCallerAddrs[i], in.entryPeerAddrs[i], in.entryOperatorAddrs[i],
		strings.Join(in.controlPeerAddrs, `", "`)), settings.RoleEntry)
	if err != nil {
		return err
	}
	p, err := retryStart(func() (*process.Entry, error) {
		return process.StartEntry(process.EntryOptions{
			Settings: cfg, Logger: in.logger(entryID(i)), Dial: in.Network.Dialer(entryID(i)),
		})
	})
	if err != nil {
		return err
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	in.entries[i] = p
	return nil
}

// StartServer starts a stand-in database server on its data folder.
func (in *Installation) StartServer(i int) error {
	opts := in.opts.Standin
	opts.ID, opts.Group, opts.DataCentre = serverID(i), Group, fmt.Sprintf("dc-%d", i%3)
	opts.Listen, opts.DataFolder = in.serverAddrs[i], filepath.Join(in.opts.Folder, serverID(i))
	opts.AnnounceTo = in.entryOperatorAddrs
	srv, err := retryStart(func() (*standin.Server, error) {
		s, err := standin.New(opts)
		if err != nil {
			return nil, err
		}
		return s, s.Start()
	})
	if err != nil {
		return err
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	in.servers[i] = srv
	return nil
}

// retryStart retries a failed start: the address may still be in use by a
// socket of the stopped process.
func retryStart[P any](start func() (P, error)) (P, error) {
	var p P
	var err error
	for range 50 {
		if p, err = start(); err == nil {
			return p, nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return p, err
}

// KillControl ends a control process as a crash does. If disk is set, it also
// removes the data folder.
func (in *Installation) KillControl(i int, disk bool) error {
	in.mu.Lock()
	p := in.controls[i]
	in.controls[i] = nil
	in.mu.Unlock()
	if p != nil {
		p.Abort()
	}
	if disk {
		return Error.Wrap(os.RemoveAll(in.controlFolder(i)))
	}
	return nil
}

// KillEntry ends an entry process as a crash does.
func (in *Installation) KillEntry(i int) {
	if p := in.removeEntry(i); p != nil {
		p.Abort()
	}
}

// StopEntry stops an entry process gracefully.
func (in *Installation) StopEntry(ctx context.Context, i int) error {
	if p := in.removeEntry(i); p != nil {
		return p.Stop(ctx)
	}
	return nil
}

// removeEntry marks an entry as stopped and returns its process, or nil.
func (in *Installation) removeEntry(i int) *process.Entry {
	in.mu.Lock()
	defer in.mu.Unlock()
	p := in.entries[i]
	in.entries[i] = nil
	return p
}

// KillServer ends a backend server as a crash does.
func (in *Installation) KillServer(i int) {
	in.mu.Lock()
	s := in.servers[i]
	in.servers[i] = nil
	in.mu.Unlock()
	if s != nil {
		s.Abort()
	}
}

// Server returns a backend server, or nil if it is stopped.
func (in *Installation) Server(i int) *standin.Server {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.servers[i]
}

// Running reports whether a process runs. The kind is "entry", "control" or
// "server".
func (in *Installation) Running(kind string, i int) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	switch kind {
	case "entry":
		return in.entries[i] != nil
	case "control":
		return in.controls[i] != nil
	default:
		return in.servers[i] != nil
	}
}

// Repair heals the network and starts all stopped processes.
func (in *Installation) Repair() error {
	in.Network.Heal()
	var group errs.Group
	for i := range in.controls {
		if !in.Running("control", i) {
			group.Add(in.StartControl(i))
		}
	}
	for i := range in.entries {
		if !in.Running("entry", i) {
			group.Add(in.StartEntry(i))
		}
	}
	for i := range in.servers {
		if !in.Running("server", i) {
			group.Add(in.StartServer(i))
		}
	}
	return group.Err()
}

// State returns the replicated state from the first entry that answers.
func (in *Installation) State(ctx context.Context) (*controlrpc.GetReply, error) {
	var err error
	for _, address := range in.entryOperatorAddrs {
		var reply *controlrpc.GetReply
		reply, err = operator.Client{Address: address}.State(ctx)
		if err == nil && reply.Kind == errkind.OK {
			return reply, nil
		}
	}
	return nil, err
}

// Primary returns the number of the primary, or false if none is known.
func (in *Installation) Primary(ctx context.Context) (int, bool) {
	reply, err := in.State(ctx)
	if err != nil {
		return 0, false
	}
	for i := range in.servers {
		if reply.State.Groups[Group].Primary == serverID(i) {
			return i, true
		}
	}
	return 0, false
}

// Apply applies a configuration, retrying until it is accepted or ctx is done.
func (in *Installation) Apply(ctx context.Context, changeID, text string) error {
	for {
		reply, err := operator.Client{Address: in.controlOperatorAddrs[0]}.Apply(ctx, &controlrpc.ApplyArgs{
			ChangeID: changeID, Operator: "faulttest", Text: text,
		})
		if err == nil && reply.Kind == errkind.OK {
			return nil
		}
		if ctx.Err() != nil {
			return Error.New("the configuration was not accepted: %v", err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// WaitServing waits until the group has a primary, every server has an owner
// and every entry has the newest state.
func (in *Installation) WaitServing(ctx context.Context) error {
	for {
		reply, err := in.State(ctx)
		if err == nil && in.isServing(reply) {
			return nil
		}
		if ctx.Err() != nil {
			return Error.New("the installation did not start to serve: %v, %+v", err, reply)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (in *Installation) isServing(reply *controlrpc.GetReply) bool {
	if reply.State.Groups[Group].Phase != controlrpc.PhaseSteady || len(reply.State.Leases) < len(in.servers) {
		return false
	}
	live := 0
	for _, heartbeat := range reply.Heartbeats {
		if heartbeat.Live && heartbeat.StateVersion >= reply.State.Version {
			live++
		}
	}
	return live >= len(in.entries)
}

// Owner returns the number of the entry that owns a server, or false if none
// is known.
func (in *Installation) Owner(ctx context.Context, server int) (int, bool) {
	reply, err := in.State(ctx)
	if err != nil {
		return 0, false
	}
	for i := range in.entries {
		if reply.State.Leases[serverID(server)].Host == entryID(i) {
			return i, true
		}
	}
	return 0, false
}

// Statuses returns the statuses of the servers as their owners report them.
// Entries that don't answer are left out.
func (in *Installation) Statuses(ctx context.Context) []ownerrpc.ServerStatus {
	pool := peer.NewPool(peer.PoolOptions{})
	defer pool.Close()
	owners := ownerrpc.Client{Call: pool.Call}
	var all []ownerrpc.ServerStatus
	for _, address := range in.entryPeerAddrs {
		if reply, err := owners.Status(ctx, address, new(ownerrpc.StatusArgs)); err == nil {
			all = append(all, reply.Servers...)
		}
	}
	return all
}

// StopControl stops a control process gracefully.
func (in *Installation) StopControl(ctx context.Context, i int) error {
	in.mu.Lock()
	p := in.controls[i]
	in.controls[i] = nil
	in.mu.Unlock()
	if p == nil {
		return nil
	}
	return p.Stop(ctx)
}

// StopServer stops a backend server gracefully: it announces its departure.
func (in *Installation) StopServer(ctx context.Context, i int) error {
	in.mu.Lock()
	s := in.servers[i]
	in.servers[i] = nil
	in.mu.Unlock()
	if s == nil {
		return nil
	}
	return s.Stop(ctx)
}

// ControlStatuses returns the consensus status of every running control
// process by its number.
func (in *Installation) ControlStatuses() map[int]consensus.Status {
	in.mu.Lock()
	defer in.mu.Unlock()
	all := make(map[int]consensus.Status)
	for i, p := range in.controls {
		if p != nil {
			all[i] = p.Dump().Log
		}
	}
	return all
}

// Leader returns the number of the control process that is the leader with a
// valid read lease, or false if there is none.
func (in *Installation) Leader() (int, bool) {
	for i, st := range in.ControlStatuses() {
		if st.Role == consensus.Leader && st.LeaseValid {
			return i, true
		}
	}
	return 0, false
}

// Entry returns an entry process, or nil if it is stopped.
func (in *Installation) Entry(i int) *process.Entry {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.entries[i]
}

// ControlOperator returns the operator address of a control process.
func (in *Installation) ControlOperator(i int) string { return in.controlOperatorAddrs[i] }

// EntryOperator returns the operator address of an entry.
func (in *Installation) EntryOperator(i int) string { return in.entryOperatorAddrs[i] }

// CallerDSN returns the DSN by which callers reach an entry.
func (in *Installation) CallerDSN(i int) string {
	return "postgres://caller@" + in.entryCallerAddrs[i] + "/" + Group + "?sslmode=disable"
}

// ServerDSN returns the DSN of a backend server, which bypasses the proxy.
func (in *Installation) ServerDSN(i int) string {
	return "postgres://caller@" + in.serverAddrs[i] + "/" + Group + "?sslmode=disable"
}

// Close ends all processes at once, as crashes do.
func (in *Installation) Close() {
	for i := range in.entries {
		in.KillEntry(i)
	}
	for i := range in.servers {
		in.KillServer(i)
	}
	for i := range in.controls {
		_ = in.KillControl(i, false)
	}
}
