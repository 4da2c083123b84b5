package owner

import (
	"slices"
	"strings"
	"time"

	"github.com/arbutusring/arbutusring/internal/ownerrpc"
)

// State is the state of an Owner as dumped for operators.
type State struct {
	Host         string                  `json:"host"`
	Draining     bool                    `json:"draining"`
	Running      int                     `json:"running"`
	Outcomes     int                     `json:"outcomes"`
	OutcomeBytes int                     `json:"outcome_bytes"`
	Suspects     []string                `json:"suspects"`
	Servers      []ownerrpc.ServerStatus `json:"servers"`
	Transactions []TransactionState      `json:"transactions"`
}

// Dump returns the State of the owner.
func (o *Owner) Dump() any {
	st := State{Host: o.opts.Host, Suspects: o.Suspects(), Servers: o.Statuses()}
	o.mu.Lock()
	st.Draining, st.Running = o.draining, o.runningCycles
	o.mu.Unlock()
	st.Outcomes, st.OutcomeBytes = o.outcomes.size()
	for _, s := range o.listServers() {
		st.Transactions = append(st.Transactions, s.dump()...)
	}
	return st
}

func (s *server) dump() []TransactionState {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []TransactionState
	for key, tx := range s.txs {
		all = append(all, TransactionState{
			Server: s.id, Entry: key.entry, Session: key.session, Rank: tx.rank,
			Primary: tx.primary, Term: tx.term, Busy: tx.busy, Idle: time.Since(tx.lastUsed),
		})
	}
	return all
}

// Statuses returns the status of every owned server, sorted by server id.
func (o *Owner) Statuses() []ownerrpc.ServerStatus {
	held := o.leases.listed()
	var all []ownerrpc.ServerStatus
	for _, s := range o.listServers() {
		all = append(all, s.status(held[s.id]))
	}
	slices.SortFunc(all, func(a, b ownerrpc.ServerStatus) int { return strings.Compare(a.Server, b.Server) })
	return all
}
