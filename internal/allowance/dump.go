package allowance

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// maxDumpedCustomers bounds the customers of a dump.
const maxDumpedCustomers = 1000

// CustomerDump is the state of the allowance of one customer.
type CustomerDump struct {
	Customer string         `json:"customer"`
	Rate     float64        `json:"rate"` // configured operations a second
	Burst    float64        `json:"burst"`
	Capacity float64        `json:"capacity"`
	Bucket   float64        `json:"bucket"` // tokens
	Held     int            `json:"held"`   // tokens that hosts may hold
	InUse    float64        `json:"in_use"` // operations a second of late
	Short    bool           `json:"short"`  // an operation got no token within the last second
	Hosts    map[string]int `json:"hosts"`  // tokens by host
}

// LedgerDump is the state of a Ledger.
type LedgerDump struct {
	Ledger    uint64         `json:"ledger"`
	Settled   bool           `json:"settled"` // counts all tokens that hosts may hold
	Hosts     int            `json:"hosts"`   // that made calls of late
	Customers []CustomerDump `json:"customers"`
}

// Dump returns the state of the ledger, with the customers of the highest rates in use
// first.
func (l *Ledger) Dump(now time.Time) LedgerDump {
	settled := l.Settled(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	hosts := make(map[string]map[string]int)
	for host, h := range l.hosts {
		for customer, s := range h.stocks {
			if hosts[customer] == nil {
				hosts[customer] = make(map[string]int)
			}
			hosts[customer][host.ID] += s.held
		}
	}
	d := LedgerDump{Ledger: l.opts.ID, Settled: settled, Hosts: len(l.hosts)}
	for customer, a := range l.accounts {
		l.fill(now, a)
		d.Customers = append(d.Customers, CustomerDump{
			Customer: customer, Rate: a.limit.Rate, Burst: a.limit.Burst, Capacity: a.capacity, Bucket: a.bucket,
			Held: a.held, InUse: a.used.perSecond(now), Short: a.short(now), Hosts: hosts[customer],
		})
	}
	slices.SortFunc(d.Customers, func(a, b CustomerDump) int {
		return cmp.Or(cmp.Compare(b.InUse, a.InUse), strings.Compare(a.Customer, b.Customer))
	})
	d.Customers = d.Customers[:min(len(d.Customers), maxDumpedCustomers)]
	return d
}
