package directory

import (
	"sync"
	"time"

	"github.com/arbutusring/arbutusring/internal/allowance"
	"github.com/arbutusring/arbutusring/internal/clock"
	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/rcrowley/go-metrics"
)

// allowances is the ledger of one leadership. It grants tokens only once the
// replicated log holds that it does, for the next leader.
type allowances struct {
	ledger *allowance.Ledger
	term   uint64
	calls  metrics.Counter

	mu            sync.Mutex
	recorded      SetAllowanceLedger // as stored by this leadership; zero before
	retryAt       time.Time          // after a failed proposal
	configVersion uint64             // of the limits of the ledger
}

func newAllowances(opts Options, earlier SetAllowanceLedger, term uint64) *allowances {
	state := allowance.EarlierUnsettled
	switch {
	case earlier.Term == 0:
		state = allowance.EarlierNone
	case earlier.Settled:
		state = allowance.EarlierSettled
	}
	return &allowances{
		ledger: allowance.NewLedger(allowance.LedgerOptions{
			ID: term, Params: opts.Allowance, TTL: opts.TTL, Hold: opts.TTL + time.Duration(float64(opts.TTL)*opts.ClockDrift),
			Earlier: state, Now: clock.Now(),
		}),
		term:  term,
		calls: metrics.GetOrRegisterCounter("directory.allowance_calls", opts.Registry),
	}
}

// setLimits applies the limits of a configuration.
func (a *allowances) setLimits(configVersion uint64, limits map[string]allowance.Limit) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.configVersion != configVersion {
		a.configVersion = configVersion
		a.ledger.SetLimits(clock.Now(), limits)
	}
}

// due returns what is to be stored in the log now, and false if nothing is.
func (a *allowances) due() (SetAllowanceLedger, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	next := SetAllowanceLedger{Term: a.term, Settled: a.recorded.Term != 0 && (a.recorded.Settled || a.ledger.Settled(clock.Now()))}
	return next, next != a.recorded && !clock.Now().Before(a.retryAt)
}

// proposeRetryDelay is the time between a failed proposal and the next one.
const proposeRetryDelay = 200 * time.Millisecond

// record records the outcome of a proposal.
func (a *allowances) record(proposed SetAllowanceLedger, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		a.retryAt = clock.Now().Add(proposeRetryDelay)
		return
	}
	a.recorded = proposed
}

// ready reports whether the ledger may grant tokens.
func (a *allowances) ready() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.recorded.Term != 0
}

// process applies a call of a host.
func (a *allowances) process(args *directoryrpc.AllowanceArgs) directoryrpc.AllowanceReply {
	a.calls.Inc(1)
	return *a.ledger.Process(clock.Now(), args)
}

// maxLoggedHosts bounds the hosts of one log line.
const maxLoggedHosts = 10

// checkAllowances applies the limits of the state to the ledger, and stores the state
// of the ledger in the log.
func (l *leadership) checkAllowances(s directoryrpc.State) {
	limits := l.opts.Limits(s)
	l.allowances.setLimits(s.ConfigVersion, limits)
	if reclaimed := l.allowances.ledger.TakeReclaimed(clock.Now()); len(reclaimed) > 0 {
		tokens := 0
		var hosts []string
		for _, r := range reclaimed {
			tokens += r.Tokens
			hosts = append(hosts, r.Host)
		}
		l.opts.Events.Event("stocks_reclaimed").Int("tokens", tokens).Strs("hosts", hosts[:min(len(hosts), maxLoggedHosts)]).
			Msg("tokens of hosts that fell silent are taken as used")
	}
	if len(limits) == 0 && !l.allowances.ready() {
		return // without limits the log holds no entries about them
	}
	next, due := l.allowances.due()
	if !due {
		return
	}
	err := l.propose(Command{AllowanceLedger: &next})
	l.allowances.record(next, err)
	l.opts.Events.Event("allowance_ledger").Uint64("ledger", next.Term).Bool("settled", next.Settled).Int("customers", len(limits)).
		Err(err).Msg("the state of the ledger of allowances was stored")
}
