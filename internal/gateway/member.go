package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/arbutusring/arbutusring/internal/clock"
	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/internal/schedule"
	"github.com/arbutusring/arbutusring/pkg/database"
	"github.com/arbutusring/arbutusring/pkg/logpos"
)

const (
	// reservedConnections is the number of connections of each server that are
	// left to the directory.
	reservedConnections = 2
	// connectionOvercommit is the multiple of its fair share of a server's
	// connections that a host may open while other hosts leave theirs unused.
	connectionOvercommit = 2
	// slotOvercommit is the number of statements, as a multiple of a server's
	// slots, that all hosts together keep in progress there. It keeps the server
	// busy during network round trips without letting urgent statements wait
	// behind others at the server.
	slotOvercommit = 3
	// rankQueueLimit bounds the statements of one rank that wait for one server.
	// It bounds memory: admission by expected wait refuses statements well before.
	rankQueueLimit = 500
	// minRankShare is the minimum share of slot time of each rank but the first,
	// so that an overload of urgent work does not starve the others.
	minRankShare = 0.1
	// initialBackoff and maxBackoff bound the time for which a failed server gets
	// no reads that another server can run.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = time.Second
	// unresponsiveAfter is how long a server may leave all statements unanswered
	// before it is probed with a new connection. Statements usually take less than
	// 150 ms.
	unresponsiveAfter = 250 * time.Millisecond
	// initialProbeInterval and maxProbeInterval bound the interval between two
	// probes. Each occupies a slot of the server for 12 ms, which a busy server
	// can't spare.
	initialProbeInterval = 100 * time.Millisecond
	maxProbeInterval     = 400 * time.Millisecond
	// probeTimeout bounds a probe.
	probeTimeout = 400 * time.Millisecond
	// primaryDrainTime is how long a draining primary still gets statements while
	// its successor is chosen. A host must stop sending statements to a
	// draining server within 7 s.
	primaryDrainTime = 4 * time.Second
	// initialLagBackoff and maxLagBackoff bound the time for which a replica that
	// had not applied a required position is ranked below the others.
	initialLagBackoff = 20 * time.Millisecond
	maxLagBackoff     = 500 * time.Millisecond
	// smoothingDivisor is the inverse of the weight of one observation in the
	// smoothed answer time.
	smoothingDivisor = 8
	// assumedServiceTime is the assumed slot time of a statement until the first
	// one has ended. With it, when all callers reconnect at once after a power
	// failure, excess statements are refused immediately instead of at their
	// deadline. Statements usually take 20 to 50 ms including the network.
	assumedServiceTime = 25 * time.Millisecond
	// floorWindow is the window over which the minimum shares of the ranks hold.
	floorWindow = time.Second
)

// member holds the connections of this host to one backend server and what the
// host has observed of the server.
type member struct {
	server        directoryrpc.Server
	assumedRTT    time.Duration       // round-trip time assumed from the location
	regionPenalty time.Duration       // added to the cost if the server is in another region
	sched         *schedule.Scheduler // of statements on connections of this host
	relaySched    *schedule.Scheduler // of statements that are sent through connectors
	pool          *pool
	relay         func(customer string) RelayedConn // opens a logical connection; nil without Options.Relay
	self          string                            // id of this host

	mu                  sync.Mutex
	answerTime          time.Duration // smoothed time from sending a statement to its answer
	applied             logpos.Position
	lastAnswer          time.Time // time of the last answer; zero if there was none
	failingSince        time.Time // start of the current run of failures; zero if the server answers
	consecutiveFailures int
	backoffUntil        time.Time
	consecutiveLags     int
	lagBackoffUntil     time.Time
	probing             bool
	nextProbe           time.Time // no probe starts earlier
	inflight            int       // statements sent and not yet answered
	lastProgress        time.Time // last answer, or when inflight last became nonzero
	drainingSince       time.Time // when the host learned that the server is draining; zero if it is not
	connections         connections
	orders              map[string][]string // addresses of the connectors by customer, in the order of use; cleared when connections change
}

// newMember returns a member without connections.
func newMember(opts Options, s directoryrpc.Server, hooks poolHooks) *member {
	m := &member{server: s, self: opts.Host}
	m.setDraining(s.Draining)
	m.assumedRTT, m.regionPenalty = opts.Place.distance(s.DataCentre)
	m.pool = newPool(func(ctx context.Context, customer string) (Conn, error) { return opts.Connect(ctx, s, customer) }, hooks)
	if opts.Relay != nil {
		m.relay = func(customer string) RelayedConn {
			return opts.Relay(s, customer, func() []string { return m.connectors(customer) })
		}
	}
	newScheduler := func() *schedule.Scheduler {
		return schedule.New(schedule.Options{Slots: max(1, s.Slots), Ranks: rankSpecs(schedule.RankTable{}), Window: floorWindow, AssumedServiceTime: assumedServiceTime})
	}
	m.sched, m.relaySched = newScheduler(), newScheduler()
	return m
}

// ranksInUse returns the table of the ranks in a configuration.
func ranksInUse(cfg *database.Config) schedule.RankTable {
	inUse := make([]int, 0, len(cfg.Databases))
	for _, db := range cfg.Databases {
		inUse = append(inUse, db.Rank)
	}
	return schedule.NewRankTable(inUse)
}

// rankSpecs returns the scheduler ranks of a server.
func rankSpecs(t schedule.RankTable) []schedule.RankSpec {
	return t.Specs(minRankShare, rankQueueLimit)
}

// maxInFlight returns how many statements outside of open transactions one host
// may have in progress at a server. The server runs statements in order of
// arrival, so ranks only take effect on statements queued at the hosts.
func maxInFlight(slots, hosts int) int {
	fair := (slotOvercommit*slots + hosts - 1) / max(1, hosts)
	return max(1, min(slots, fair))
}

// configure applies a configuration, the number of hosts that share the
// connections of the server, and how this host reaches it. It reports whether the
// connectors or the role of this host have changed.
func (m *member) configure(specs []schedule.RankSpec, group database.Group, hosts int, c connections) (changed bool) {
	before := m.setConnections(c)
	// The connectors limit what reaches the server, in the order of ranks.
	m.relaySched.Configure(max(1, m.server.Slots), specs)
	switch c.role {
	case roleSender:
		m.sched.Configure(1, specs)
		m.pool.empty()
	case roleConnector:
		m.sched.Configure(connectorInFlight(m.server.Slots, c), specs)
		m.pool.setExactLimit(c.choice.Limit)
	default:
		m.sched.Configure(maxInFlight(m.server.Slots, hosts), specs)
		usable := max(1, group.MaxConnections-reservedConnections)
		share := max(1, usable/max(1, hosts))
		// With one connection for each host, idle ones of lost hosts, which servers keep
		// for seconds, would leave none for those that return.
		m.pool.setLimits(min(usable, connectionOvercommit*share), share, share < 2)
	}
	return !before.sameRoute(c)
}

// connectorInFlight returns how many statements outside of open transactions a
// connector may have in progress at a server, its own included. Customers are spread
// unevenly over connectors, so with customers each may use twice its part.
func connectorInFlight(slots int, c connections) int {
	n := maxInFlight(slots, len(c.choice.Hosts()))
	if c.customers {
		n = min(2*n, max(1, slots))
	}
	return min(n, c.choice.Limit)
}

// setConnections replaces how this host reaches the server and returns the previous
// value.
func (m *member) setConnections(c connections) connections {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.connections
	if c.sharing == nil || before.sharing != c.sharing || before.usable != c.usable {
		m.orders = nil
	}
	m.connections = c
	return before
}

// currentConnections returns how this host reaches the server.
func (m *member) currentConnections() connections {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.connections
}

// awaitsConnectors reports whether this host reaches the server only through
// connectors, which it does not know yet.
func (m *member) awaitsConnectors() bool {
	c := m.currentConnections()
	return c.role == roleSender && c.sharing == nil
}

// role returns the role of this host for the server.
func (m *member) role() role { return m.currentConnections().role }

// connectors returns the addresses of the connectors in the order in which they are
// tried for a customer.
func (m *member) connectors(customer string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.orderOf(customer)
}

// orderOf is connectors; the caller holds mu.
func (m *member) orderOf(customer string) []string {
	if order, ok := m.orders[customer]; ok {
		return order
	}
	if m.orders == nil {
		m.orders = make(map[string][]string)
	}
	m.orders[customer] = m.connections.order(m.self, customer, m.server.ID)
	return m.orders[customer]
}

// relays reports whether statements of a customer are sent through a connector. A
// connector uses its own connections, but those of each customer are at few
// connectors: otherwise most statements would need a connection to be opened.
func (m *member) relays(customer string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.connections
	switch c.role {
	case roleSender:
		return true
	case roleConnector:
		return customer != "" && m.orderOf(customer)[0] != c.sharing.list[m.self].PeerAddress
	}
	return false
}

// scheduler returns the scheduler of statements that are relayed or not.
func (m *member) scheduler(relayed bool) *schedule.Scheduler {
	if relayed {
		return m.relaySched
	}
	return m.sched
}

// release frees the slot of a statement that used a connection.
func (m *member) release(slot schedule.Slot, pc *pooledConn) {
	m.scheduler(pc.relayed != nil).Release(slot)
}

// connection returns a connection for a statement that is relayed or not.
func (m *member) connection(ctx context.Context, relayed bool, rank int, customer string, sess sessionState) (*pooledConn, error) {
	if !relayed {
		return m.pool.get(ctx, rank, customer, sess)
	}
	pc, err := m.pool.logical(m.relay(customer), customer)
	if err == nil {
		pc.rank = rank
	}
	return pc, err
}

// setDraining records whether the server is draining.
func (m *member) setDraining(draining bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case !draining:
		m.drainingSince = time.Time{}
	case m.drainingSince.IsZero():
		m.drainingSince = clock.Now()
	}
}

// drainingFor returns how long the server has been known to be draining; 0 if
// it is not.
func (m *member) drainingFor() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.drainingSince.IsZero() {
		return 0
	}
	return max(clock.Now().Sub(m.drainingSince), 1)
}

// startStatement records that a statement is about to be sent.
func (m *member) startStatement() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.inflight == 0 {
		m.lastProgress = clock.Now()
	}
	m.inflight++
}

// endStatement records that a statement was answered or abandoned.
func (m *member) endStatement(answered bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inflight--
	if answered {
		m.lastProgress = clock.Now()
	}
}

// expectedAnswerTime returns the smoothed time from sending a statement to its
// answer; 0 before the first answer.
func (m *member) expectedAnswerTime() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.answerTime
}

// readClass ranks a server for reads; lower classes are preferred.
type readClass uint8

const (
	classHealthy readClass = iota
	classLagging           // recently lacked a required position
	classBackoff           // recently failed
)

// classify returns the read class of the server and the cost of a read there: its
// expected time, including the wait in the queue, plus the region penalty.
func (m *member) classify(now time.Time) (readClass, time.Duration) {
	queued, _, slotTime := m.scheduler(m.role() == roleSender).Load()
	waiting := 0
	for _, n := range queued {
		waiting += n
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	cost := max(m.answerTime, m.assumedRTT) + m.regionPenalty
	cost += slotTime * time.Duration(waiting) / time.Duration(max(1, m.server.Slots))
	switch {
	case now.Before(m.backoffUntil):
		return classBackoff, cost
	case now.Before(m.lagBackoffUntil):
		return classLagging, cost
	}
	return classHealthy, cost
}

// endProbe permits the next probe.
func (m *member) endProbe() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.probing = false
}

// probeRelayed is probe for a sender: it asks a connector.
func (m *member) probeRelayed(ctx context.Context) (responds bool) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(probeTimeout)
	}
	conn := m.relay("")
	err := conn.Probe(deadline)
	_ = conn.Close() // nothing is in progress on it
	m.endProbe()
	if err == nil {
		m.recordReachable()
		return true
	}
	_, unresponsive := m.recordFailure(err)
	return !unresponsive
}
