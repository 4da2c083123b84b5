package entry_test

import (
	"context"
	"fmt"
	"regexp"
	"strings"
	"sync"
	"time"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/internal/ownerrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/logpos"
	"github.com/arbutusring/arbutusring/pkg/policy"
	"github.com/jackc/pgx/v5/pgproto3"
)

// groupName is the database group of all tests; its members are s0, the
// primary of term 1, s1 and s2, owned by the hosts h0, h1 and h2.
const groupName = "orders"

// fault is a fault that the fake injects into a request.
type fault int

const (
	faultNone             fault = iota
	faultRefuseConnection       // the connection is refused
	faultLoseRequest            // the request is lost
	faultLoseAnswer             // the answer is lost after the execution
	faultWrongID                // the answer carries another request's id
	faultDeliverLate            // the connection is lost, and the request arrives 30 ms later
)

// execution is one statement that a fake server executed.
type execution struct {
	id     ownerrpc.RequestID
	server string
	sql    string
}

// fakeServer is a fake backend server with its owner.
type fakeServer struct {
	lag       int      // number of committed writes that the server has not applied
	full      []string // ranks whose queue is reported as full
	outcomes  map[ownerrpc.RequestID]*ownerrpc.ExecReply
	cancelled map[ownerrpc.RequestID]bool // requests that must not run
	txs       map[uint64][][2]string      // uncommitted writes by session number
}

// fakeGroup is a fake database group with its owners. Its method call implements
// ownerrpc.Client.Call.
type fakeGroup struct {
	mu        sync.Mutex
	committed [][2]string // keys and values of the committed writes; LSN n stands for committed[:n]
	servers   map[string]*fakeServer
	history   []execution
	calls     map[string]int // number of calls by method
	entries   int            // number of entries that use the fake

	// execHook, if set, decides on each Owner.Exec: the fault to inject, or the
	// reply to return instead of an execution. It runs without mu.
	execHook func(ctx context.Context, args *ownerrpc.ExecArgs) (fault, *ownerrpc.ExecReply)
	// positionHook, if set, runs before each Owner.Position reads the position.
	positionHook func(ctx context.Context)
	// down holds the addresses that refuse connections.
	down map[string]bool
	// incarnation, if set, is the incarnation of restarted owners, which have
	// lost their outcomes. "" stands for the incarnation in the state.
	incarnation string
}

func newFake() *fakeGroup {
	f := &fakeGroup{servers: make(map[string]*fakeServer), calls: make(map[string]int), down: make(map[string]bool)}
	for _, id := range []string{"s0", "s1", "s2"} {
		f.servers[id] = &fakeServer{
			outcomes:  make(map[ownerrpc.RequestID]*ownerrpc.ExecReply),
			cancelled: make(map[ownerrpc.RequestID]bool),
			txs:       make(map[uint64][][2]string),
		}
	}
	return f
}

// state returns the state of control for the fake group.
func (f *fakeGroup) state(version uint64) controlrpc.State {
	st := controlrpc.State{
		Version: version,
		Groups:  map[string]controlrpc.Group{groupName: {Name: groupName, Term: 1, Phase: controlrpc.PhaseSteady, Primary: "s0", Members: []string{"s0", "s1", "s2"}}},
		Servers: map[string]controlrpc.Server{},
		Leases:  map[string]controlrpc.Lease{},
		Hosts:   map[string]controlrpc.Host{},
	}
	for i := range 3 {
		s, h := fmt.Sprintf("s%d", i), fmt.Sprintf("h%d", i)
		st.Servers[s] = controlrpc.Server{ID: s, Group: groupName}
		st.Leases[s] = controlrpc.Lease{Server: s, Host: h, Epoch: 1}
		st.Hosts[h] = controlrpc.Host{ID: h, Incarnation: "1", Address: "a" + s[1:], DataCentre: "d" + s[1:], Region: "r"}
	}
	return st
}

// parsePolicy returns a configuration with the fake group and the given text.
func parsePolicy(text string) *policy.Config {
	cfg, err := policy.Parse("policy.toml", "[[database_group]]\nname = \""+groupName+"\"\nmembers = 3\n"+text)
	if err != nil {
		panic(err)
	}
	return cfg
}

// update runs change under the lock, so that it is safe while requests are in
// progress.
func (f *fakeGroup) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakeGroup) client() ownerrpc.Client { return ownerrpc.Client{Call: f.call} }

func (f *fakeGroup) call(ctx context.Context, address, method string, args, reply any) error {
	f.mu.Lock()
	f.calls[method]++
	down := f.down[address]
	f.mu.Unlock()
	if down {
		return errkind.New(errkind.ConnectFailed, "%s refuses connections", address)
	}
	switch method {
	case "Owner.Exec":
		return f.execute(ctx, args.(*ownerrpc.ExecArgs), reply.(*ownerrpc.ExecReply))
	case "Owner.Position":
		if f.positionHook != nil {
			f.positionHook(ctx)
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		reply.(*ownerrpc.PositionReply).Position = logpos.Position{Term: 1, LSN: uint64(len(f.committed))}
		return ctx.Err()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	incarnation := f.incarnation
	if incarnation == "" {
		incarnation = "1"
	}
	switch args := args.(type) {
	case *ownerrpc.OutcomeArgs:
		r := reply.(*ownerrpc.OutcomeReply)
		r.Incarnation = incarnation
		if stored := f.servers[args.Server].outcomes[args.ID]; stored != nil && f.incarnation == "" {
			r.Found, r.Reply = true, copyReply(stored)
		}
	case *ownerrpc.CancelArgs:
		r := reply.(*ownerrpc.CancelReply)
		r.Incarnation = incarnation
		if s := f.servers[args.Server]; s.outcomes[args.ID] == nil || f.incarnation != "" {
			s.cancelled[args.ID] = true
			r.Confirmed = true
		}
	case *ownerrpc.ReleaseArgs:
		delete(f.servers[args.Server].txs, args.Session)
	case *ownerrpc.StatusArgs:
		r := reply.(*ownerrpc.StatusReply)
		id := "s" + address[1:]
		load := f.load(id)
		r.Servers = []ownerrpc.ServerStatus{{Server: id, Reachable: true, Applied: load.Applied, Load: load}}
	}
	return nil
}

func copyReply(r *ownerrpc.ExecReply) ownerrpc.ExecReply {
	c := *r
	c.Messages = append([]byte(nil), r.Messages...)
	return c
}

func (f *fakeGroup) execute(ctx context.Context, args *ownerrpc.ExecArgs, reply *ownerrpc.ExecReply) error {
	lost := errkind.New(errkind.ServerLost, "connection lost")
	injected := faultNone
	if f.execHook != nil {
		var override *ownerrpc.ExecReply
		if injected, override = f.execHook(ctx, args); override != nil {
			*reply = *override
			reply.ID = args.ID
			return nil
		}
	}
	switch injected {
	case faultRefuseConnection:
		return errkind.New(errkind.ConnectFailed, "connection refused")
	case faultLoseRequest:
		return lost
	case faultDeliverLate:
		go func() {
			time.Sleep(30 * time.Millisecond)
			f.executeOnce(args)
		}()
		return lost
	}
	*reply = copyReply(f.executeOnce(args))
	switch injected {
	case faultLoseAnswer:
		return lost
	case faultWrongID:
		reply.ID.Number += 1000
	}
	return ctx.Err()
}

// executeOnce executes a request unless its id was executed or cancelled before.
func (f *fakeGroup) executeOnce(args *ownerrpc.ExecArgs) *ownerrpc.ExecReply {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[args.Server]
	if stored := s.outcomes[args.ID]; stored != nil {
		return stored
	}
	reply := &ownerrpc.ExecReply{ID: args.ID, Load: f.load(args.Server)}
	_, open := s.txs[args.ID.Session]
	switch {
	case s.cancelled[args.ID]:
		reply.Kind = errkind.Cancelled
	case args.InTx && !open:
		reply.Kind = errkind.TransactionLost
	case args.Write && args.Server != "s0":
		reply.Kind = errkind.NotOwner
	case !f.applied(args.Server).AtLeast(args.RequiredPosition):
		reply.Kind = errkind.PositionNotReached
	default:
		f.executeMessages(s, args, reply)
	}
	s.outcomes[args.ID] = reply
	return reply
}

func (f *fakeGroup) applied(id string) logpos.Position {
	return logpos.Position{Term: 1, LSN: uint64(max(len(f.committed)-f.servers[id].lag, 0))}
}

func (f *fakeGroup) load(id string) ownerrpc.Load {
	return ownerrpc.Load{Server: id, Applied: f.applied(id), Slots: 3, Service: time.Millisecond, Full: f.servers[id].full}
}

// callCount returns the number of calls of a method.
func (f *fakeGroup) callCount(method string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls[method]
}

// executionCount returns the number of executed statements that contain the text.
func (f *fakeGroup) executionCount(text string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, e := range f.history {
		if strings.Contains(e.sql, text) {
			n++
		}
	}
	return n
}

// readCount returns the number of reads that a server executed.
func (f *fakeGroup) readCount(server string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, e := range f.history {
		if e.server == server && strings.HasPrefix(e.sql, "select") {
			n++
		}
	}
	return n
}

// executeMessages executes the messages of a cycle like a backend server. The
// caller holds f.mu.
func (f *fakeGroup) executeMessages(s *fakeServer, args *ownerrpc.ExecArgs, reply *ownerrpc.ExecReply) {
	var out []byte
	add := func(m interface {
		Encode(dst []byte) ([]byte, error)
	}) {
		out, _ = m.Encode(out)
	}
	var sql, bound string
	committed := len(f.committed)
	for rest := args.Messages; len(rest) > 0; {
		size := 1 + int(rest[1])<<24 + int(rest[2])<<16 + int(rest[3])<<8 + int(rest[4])
		m := rest[:size]
		rest = rest[size:]
		switch m[0] {
		case 'Q':
			var q pgproto3.Query
			_ = q.Decode(m[5:])
			for _, part := range strings.Split(q.String, ";") {
				f.executeStatement(s, args, strings.TrimSpace(part), true, add)
			}
		case 'P':
			var p pgproto3.Parse
			_ = p.Decode(m[5:])
			if p.Name != "" {
				panic("named statement reached the server")
			}
			if strings.Contains(p.Query, "bad_syntax") {
				add(&pgproto3.ErrorResponse{Severity: "ERROR", Code: "42601", Message: "syntax error"})
				rest = nil
				break
			}
			sql = p.Query
			add(&pgproto3.ParseComplete{})
		case 'B':
			var b pgproto3.Bind
			_ = b.Decode(m[5:])
			bound = sql
			for i := len(b.Parameters); i > 0; i-- {
				bound = strings.ReplaceAll(bound, fmt.Sprintf("$%d", i), "'"+string(b.Parameters[i-1])+"'")
			}
			add(&pgproto3.BindComplete{})
		case 'D':
			if m[5] == 'S' {
				oids := make([]uint32, strings.Count(sql, "$"))
				for i := range oids {
					oids[i] = 25
				}
				add(&pgproto3.ParameterDescription{ParameterOIDs: oids})
			}
			if strings.HasPrefix(sql, "select") {
				add(rowDescription())
			} else {
				add(&pgproto3.NoData{})
			}
		case 'E':
			f.executeStatement(s, args, bound, false, add)
		case 'C':
			add(&pgproto3.CloseComplete{})
		}
	}
	reply.TxStatus = 'I'
	if _, open := s.txs[args.ID.Session]; open {
		reply.TxStatus = 'T'
	}
	if len(f.committed) > committed {
		reply.Position = logpos.Position{Term: 1, LSN: uint64(len(f.committed))}
	}
	reply.Messages = append(out, 'Z', 0, 0, 0, 5, reply.TxStatus)
}

func rowDescription() *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("v"), DataTypeOID: 25, DataTypeSize: -1, TypeModifier: -1}}}
}

var quotedText = regexp.MustCompile(`'([^']*)'`)

// executeStatement executes "select v from kv where k = 'K'", "insert into kv
// values ('K', 'V')", begin, commit or rollback. Other statements do nothing and
// succeed. The caller holds f.mu.
func (f *fakeGroup) executeStatement(s *fakeServer, args *ownerrpc.ExecArgs, sql string, simple bool, add func(interface {
	Encode(dst []byte) ([]byte, error)
})) {
	sql = strings.ToLower(sql)
	f.history = append(f.history, execution{args.ID, args.Server, sql})
	values := quotedText.FindAllStringSubmatch(sql, -1)
	session := args.ID.Session
	staged, open := s.txs[session]
	tag := "INSERT 0 1"
	switch word, _, _ := strings.Cut(sql, " "); word {
	case "":
		return
	case "select":
		tag = "SELECT 1"
		if simple {
			add(rowDescription())
		}
		var value []byte
		n := int(f.applied(args.Server).LSN)
		for _, kv := range append(append([][2]string(nil), f.committed[:n]...), staged...) {
			if len(values) > 0 && kv[0] == values[0][1] {
				value = []byte(kv[1])
			}
		}
		add(&pgproto3.DataRow{Values: [][]byte{value}})
	case "insert":
		kv := [2]string{values[0][1], values[1][1]}
		if open {
			s.txs[session] = append(staged, kv)
		} else {
			f.committed = append(f.committed, kv)
		}
	case "begin":
		tag = "BEGIN"
		s.txs[session] = [][2]string{}
	case "commit":
		tag = "COMMIT"
		f.committed = append(f.committed, staged...)
		delete(s.txs, session)
	case "rollback":
		tag = "ROLLBACK"
		delete(s.txs, session)
	}
	add(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}
