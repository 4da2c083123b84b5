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

// fault is what the fake does with a request.
type fault int

const (
	faultNone       fault = iota
	faultRefuse           // the connection is refused
	faultLoseAsk          // the request is lost
	faultLoseAnswer       // the answer is lost after the execution
	faultWrongID          // the answer carries another request's id
	faultLate             // the request arrives after the sender has given up
)

// execution is one statement that the fake ran.
type execution struct {
	id     ownerrpc.RequestID
	server string
	sql    string
}

// fakeServer is one backend server with its owner.
type fakeServer struct {
	lag      int // records that it has not applied
	full     []string
	outcomes map[ownerrpc.RequestID]*ownerrpc.ExecReply
	refused  map[ownerrpc.RequestID]bool
	txs      map[uint64][][2]string // staged writes by session number
}

// fake is a database group and its owners behind ownerrpc.Client.Call.
type fake struct {
	mu      sync.Mutex
	log     [][2]string // key and value of the committed writes; LSN n is log[:n]
	servers map[string]*fakeServer
	history []execution
	calls   map[string]int // by method
	entries int            // entries that use the fake

	// exec decides on each Owner.Exec; nil means no fault. It runs without the lock.
	exec func(ctx context.Context, args *ownerrpc.ExecArgs) (fault, *ownerrpc.ExecReply)
	// position runs before each Owner.Position reads the position.
	position func(ctx context.Context)
	// down are the addresses that refuse connections.
	down map[string]bool
	// incarnation is what owners report; "" means that of the state.
	incarnation string
}

func newFake() *fake {
	f := &fake{servers: make(map[string]*fakeServer), calls: make(map[string]int), down: make(map[string]bool)}
	for _, id := range []string{"s0", "s1", "s2"} {
		f.servers[id] = &fakeServer{
			outcomes: make(map[ownerrpc.RequestID]*ownerrpc.ExecReply),
			refused:  make(map[ownerrpc.RequestID]bool),
			txs:      make(map[uint64][][2]string),
		}
	}
	return f
}

// state is the state of control for the fake.
func (f *fake) state(version uint64) controlrpc.State {
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

func mustPolicy(text string) *policy.Config {
	cfg, err := policy.Parse("policy.toml", "[[database_group]]\nname = \""+groupName+"\"\nmembers = 3\n"+text)
	if err != nil {
		panic(err)
	}
	return cfg
}

// change changes the fake while requests are on their way.
func (f *fake) change(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fake) client() ownerrpc.Client { return ownerrpc.Client{Call: f.call} }

func (f *fake) call(ctx context.Context, address, method string, args, reply any) error {
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
		if f.position != nil {
			f.position(ctx)
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		reply.(*ownerrpc.PositionReply).Position = logpos.Position{Term: 1, LSN: uint64(len(f.log))}
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
			s.refused[args.ID] = true
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

func (f *fake) execute(ctx context.Context, args *ownerrpc.ExecArgs, reply *ownerrpc.ExecReply) error {
	lost := errkind.New(errkind.ServerLost, "connection lost")
	what := faultNone
	if f.exec != nil {
		var given *ownerrpc.ExecReply
		if what, given = f.exec(ctx, args); given != nil {
			*reply = *given
			reply.ID = args.ID
			return nil
		}
	}
	switch what {
	case faultRefuse:
		return errkind.New(errkind.ConnectFailed, "connection refused")
	case faultLoseAsk:
		return lost
	case faultLate:
		go func() {
			time.Sleep(30 * time.Millisecond)
			f.runOnce(args)
		}()
		return lost
	}
	*reply = copyReply(f.runOnce(args))
	switch what {
	case faultLoseAnswer:
		return lost
	case faultWrongID:
		reply.ID.Number += 1000
	}
	return ctx.Err()
}

// runOnce executes a request unless its id was executed or cancelled before.
func (f *fake) runOnce(args *ownerrpc.ExecArgs) *ownerrpc.ExecReply {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[args.Server]
	if stored := s.outcomes[args.ID]; stored != nil {
		return stored
	}
	reply := &ownerrpc.ExecReply{ID: args.ID, Load: f.load(args.Server)}
	_, open := s.txs[args.ID.Session]
	switch {
	case s.refused[args.ID]:
		reply.Kind = errkind.Cancelled
	case args.InTx && !open:
		reply.Kind = errkind.TransactionLost
	case args.Write && args.Server != "s0":
		reply.Kind = errkind.NotOwner
	case !f.applied(args.Server).Covers(args.Require):
		reply.Kind = errkind.PositionNotReached
	default:
		f.run(s, args, reply)
	}
	s.outcomes[args.ID] = reply
	return reply
}

func (f *fake) applied(id string) logpos.Position {
	return logpos.Position{Term: 1, LSN: uint64(max(len(f.log)-f.servers[id].lag, 0))}
}

func (f *fake) load(id string) ownerrpc.Load {
	return ownerrpc.Load{Server: id, Applied: f.applied(id), Slots: 3, Service: time.Millisecond, Full: f.servers[id].full}
}

// called returns how often a method was called.
func (f *fake) called(method string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls[method]
}

// count returns how often a statement that contains the text was executed.
func (f *fake) count(text string) int {
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

func (f *fake) reads(server string) int {
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

// run executes the messages of a cycle after the fashion of a backend server.
func (f *fake) run(s *fakeServer, args *ownerrpc.ExecArgs, reply *ownerrpc.ExecReply) {
	var out []byte
	add := func(m interface {
		Encode(dst []byte) ([]byte, error)
	}) {
		out, _ = m.Encode(out)
	}
	var sql, bound string
	committed := len(f.log)
	for rest := args.Messages; len(rest) > 0; {
		size := 1 + int(rest[1])<<24 + int(rest[2])<<16 + int(rest[3])<<8 + int(rest[4])
		m := rest[:size]
		rest = rest[size:]
		switch m[0] {
		case 'Q':
			var q pgproto3.Query
			_ = q.Decode(m[5:])
			for _, part := range strings.Split(q.String, ";") {
				f.statement(s, args, strings.TrimSpace(part), true, add)
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
				add(description())
			} else {
				add(&pgproto3.NoData{})
			}
		case 'E':
			f.statement(s, args, bound, false, add)
		case 'C':
			add(&pgproto3.CloseComplete{})
		}
	}
	reply.TxStatus = 'I'
	if _, open := s.txs[args.ID.Session]; open {
		reply.TxStatus = 'T'
	}
	if len(f.log) > committed {
		reply.Position = logpos.Position{Term: 1, LSN: uint64(len(f.log))}
	}
	reply.Messages = append(out, 'Z', 0, 0, 0, 5, reply.TxStatus)
}

func description() *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("v"), DataTypeOID: 25, DataTypeSize: -1, TypeModifier: -1}}}
}

var quoted = regexp.MustCompile(`'([^']*)'`)

// statement knows "select v from kv where k = 'K'", "insert into kv values
// ('K', 'V')", begin, commit and rollback.
func (f *fake) statement(s *fakeServer, args *ownerrpc.ExecArgs, sql string, simple bool, add func(interface {
	Encode(dst []byte) ([]byte, error)
})) {
	sql = strings.ToLower(sql)
	f.history = append(f.history, execution{args.ID, args.Server, sql})
	values := quoted.FindAllStringSubmatch(sql, -1)
	session := args.ID.Session
	staged, open := s.txs[session]
	tag := "INSERT 0 1"
	switch word, _, _ := strings.Cut(sql, " "); word {
	case "":
		return
	case "select":
		tag = "SELECT 1"
		if simple {
			add(description())
		}
		var value []byte
		n := int(f.applied(args.Server).LSN)
		for _, kv := range append(append([][2]string(nil), f.log[:n]...), staged...) {
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
			f.log = append(f.log, kv)
		}
	case "begin":
		tag = "BEGIN"
		s.txs[session] = [][2]string{}
	case "commit":
		tag = "COMMIT"
		f.log = append(f.log, staged...)
		delete(s.txs, session)
	case "rollback":
		tag = "ROLLBACK"
		delete(s.txs, session)
	}
	add(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}
