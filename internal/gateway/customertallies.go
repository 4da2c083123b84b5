package gateway

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/rcrowley/go-metrics"
)

// maxCustomerMetrics is the number of customers with metrics of their own.
const maxCustomerMetrics = 20

// customerCounts counts what was done for one customer.
type customerCounts struct {
	Statements    int64 `json:"statements"`
	Refused       int64 `json:"refused"`        // by this host; none of them ran
	OverAllowance int64 `json:"over_allowance"` // of Refused
	Opened        int64 `json:"connections_opened"`
	Exchanged     int64 `json:"connections_exchanged"` // opened in place of one of another customer
}

// add adds other to c.
func (c *customerCounts) add(other customerCounts) {
	c.Statements += other.Statements
	c.Refused += other.Refused
	c.OverAllowance += other.OverAllowance
	c.Opened += other.Opened
	c.Exchanged += other.Exchanged
}

// customerTally is the counts of one customer, and how busy it was of late.
type customerTally struct {
	customerCounts
	ranked int64   // Statements at the last ranking
	recent float64 // statements, those of earlier rankings weighing less
}

// customerTallies counts by customer. Only the busiest customers have metrics, so that
// the number of metrics doesn't grow with that of the customers.
type customerTallies struct {
	registry metrics.Registry

	mu         sync.Mutex
	byCustomer map[string]*customerTally
	gone       customerCounts  // of customers that are no longer configured
	exported   map[string]bool // customers with metrics
}

func newCustomerTallies(r metrics.Registry) *customerTallies {
	return &customerTallies{registry: r, byCustomer: make(map[string]*customerTally), exported: make(map[string]bool)}
}

// count applies f to the counts of a customer. It does nothing for the empty name.
func (t *customerTallies) count(customer string, f func(c *customerCounts)) {
	if customer == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	tally := t.byCustomer[customer]
	if tally == nil {
		tally = new(customerTally)
		t.byCustomer[customer] = tally
	}
	f(&tally.customerCounts)
}

// countResult counts a statement by the kind of its result. atServer is set if the
// result came from a server.
func (t *customerTallies) countResult(customer string, kind errkind.Kind, atServer bool) {
	t.count(customer, func(c *customerCounts) {
		c.Statements++
		if kind != errkind.OK && kind.Info().Outcome == errkind.NotRun && !atServer {
			c.Refused++
		}
		if kind == errkind.OverAllowance {
			c.OverAllowance++
		}
	})
}

// retain forgets the customers that are not configured; their counts go on under
// "other".
func (t *customerTallies) retain(configured func(customer string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for customer, tally := range t.byCustomer {
		if !configured(customer) {
			t.gone.add(tally.customerCounts)
			delete(t.byCustomer, customer)
		}
	}
}

// recentWeight is the weight of the earlier rankings in how busy a customer is. It
// keeps the order stable over bursts of some seconds.
const recentWeight = 0.9

// rank updates how busy the customers were of late. It is called at regular intervals.
func (t *customerTallies) rank() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, tally := range t.byCustomer {
		tally.recent = recentWeight*tally.recent + float64(tally.Statements-tally.ranked)
		tally.ranked = tally.Statements
	}
}

// busiestFirst returns the customers in the order of the last ranking.
func (t *customerTallies) busiestFirst() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	names := slices.Collect(maps.Keys(t.byCustomer))
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(t.byCustomer[b].recent, t.byCustomer[a].recent), cmp.Compare(a, b))
	})
	return names
}

// counts returns the counts of the busiest customers, in the order of names, and the
// sum of all others.
func (t *customerTallies) counts(names []string) (busiest []CustomerDump, other customerCounts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	other = t.gone
	for _, name := range names {
		switch tally := t.byCustomer[name]; {
		case tally == nil: // forgotten since; gone may include it
		case len(busiest) < maxCustomerMetrics:
			busiest = append(busiest, CustomerDump{Customer: name, customerCounts: tally.customerCounts})
		default:
			other.add(tally.customerCounts)
		}
	}
	return busiest, other
}

// export updates the metrics. Without customers there are none.
func (t *customerTallies) export() {
	t.rank()
	names := t.busiestFirst()
	busiest, other := t.counts(names)
	if len(names) == 0 && other == (customerCounts{}) {
		return
	}
	shown := make(map[string]bool, len(busiest))
	for _, c := range busiest {
		shown[c.Customer] = true
		t.update("gateway.customer."+c.Customer+".", c.customerCounts)
	}
	t.update("gateway.customers.other.", other)
	for customer := range t.exported {
		if !shown[customer] {
			t.unregister("gateway.customer." + customer + ".")
		}
	}
	t.exported = shown
}

// gauges returns the counts by the names of their metrics.
func (c customerCounts) gauges() map[string]int64 {
	return map[string]int64{
		"statements": c.Statements, "refused": c.Refused, "over_allowance": c.OverAllowance,
		"connections_opened": c.Opened, "connections_exchanged": c.Exchanged,
	}
}

func (t *customerTallies) update(prefix string, c customerCounts) {
	for name, value := range c.gauges() {
		metrics.GetOrRegisterGauge(prefix+name, t.registry).Update(value)
	}
}

func (t *customerTallies) unregister(prefix string) {
	for name := range (customerCounts{}).gauges() {
		t.registry.Unregister(prefix + name)
	}
}
