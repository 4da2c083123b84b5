package process

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/arbutusring/arbutusring/internal/allowance"
	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/internal/eventlog"
	"github.com/arbutusring/arbutusring/internal/gateway"
	"github.com/arbutusring/arbutusring/pkg/database"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/rcrowley/go-metrics"
)

// limitsOf returns the limits of the customers that have one; nil if none has.
func limitsOf(cfg *database.Config) map[string]allowance.Limit {
	var limits map[string]allowance.Limit
	for name, c := range cfg.Customers {
		if c.Rate <= 0 {
			continue
		}
		if limits == nil {
			limits = make(map[string]allowance.Limit, len(cfg.Customers))
		}
		limits[name] = allowance.Limit{Rate: c.Rate, Burst: c.Burst}
	}
	return limits
}

// allowances admits the operations of customers at a gateway.
type allowances struct {
	stock         *allowance.Stock
	call          allowance.CallFunc
	events        *eventlog.Log
	configVersion atomic.Uint64 // of the limits
	limited       atomic.Bool   // some customer has a limit

	wait    metrics.Histogram // in ns: time from an operation to its token or refusal, of operations that waited
	calls   metrics.Counter
	failed  metrics.Counter // calls that were not answered
	refused metrics.Counter
	voided  metrics.Counter // tokens that became invalid
}

func newAllowances(host directoryrpc.Host, call allowance.CallFunc, events *eventlog.Log, r metrics.Registry) *allowances {
	return &allowances{
		stock: allowance.NewStock(host, nil), call: call, events: events,
		wait:    metrics.GetOrRegisterHistogram("allowance.wait_ns", r, metrics.NewExpDecaySample(1028, 0.015)),
		calls:   metrics.GetOrRegisterCounter("allowance.calls", r),
		failed:  metrics.GetOrRegisterCounter("allowance.calls_failed", r),
		refused: metrics.GetOrRegisterCounter("allowance.refused", r),
		voided:  metrics.GetOrRegisterCounter("allowance.tokens_voided", r),
	}
}

// setConfig applies the limits of a configuration.
func (a *allowances) setConfig(cfg *database.Config) {
	limits := limitsOf(cfg)
	a.configVersion.Store(cfg.Version)
	a.limited.Store(len(limits) > 0)
	a.stock.SetLimits(limits)
}

// enforce sets whether the leader grants tokens. If it is of an earlier release, limits
// are not enforced.
func (a *allowances) enforce(granted bool) {
	if !a.limited.Load() || !a.stock.Enforce(granted) {
		return
	}
	a.events.Event("allowances_enforced").Bool("enforced", granted).Uint64("config_version", a.configVersion.Load()).
		Msg("the limits of customers are enforced, or not, because the control leader is of an earlier release")
}

// loop makes the calls until ctx ends.
func (a *allowances) loop(ctx context.Context) { a.stock.Loop(ctx, a.callLeader) }

func (a *allowances) callLeader(ctx context.Context, args *directoryrpc.AllowanceArgs) (*directoryrpc.AllowanceReply, error) {
	a.logVoided()
	a.calls.Inc(1)
	reply, err := a.call(ctx, args)
	if err != nil {
		a.failed.Inc(1)
	}
	return reply, err
}

// logVoided logs that tokens became invalid.
func (a *allowances) logVoided() {
	tokens, age := a.stock.TakeVoided()
	if tokens == 0 {
		return
	}
	a.voided.Inc(int64(tokens))
	a.events.Event("stock_void").Int("tokens", tokens).Dur("stock_age_ms", age).Uint64("config_version", a.configVersion.Load()).
		Msg("the tokens of this host were not renewed in time, or the leader does not know them")
}

// admit implements gateway.Options.Admit.
func (a *allowances) admit(ctx context.Context, customer string) (gateway.Admission, error) {
	begun := time.Now()
	token, err := a.stock.Acquire(ctx, customer)
	if d := time.Since(begun); d > time.Millisecond {
		a.wait.Update(int64(d))
	}
	var refused *allowance.Refused
	switch {
	case errors.As(err, &refused):
		a.refused.Inc(1)
		a.events.Event("over_allowance").Str("customer", customer).Str("reason", refused.Reason).Uint64("config_version", a.configVersion.Load()).
			Dur("stock_age_ms", refused.StockAge).Dur("retry_ms", refused.Retry).Msg("refused an operation over the allowance of its customer")
		return gateway.Admission{}, errkind.Wrap(errkind.OverAllowance, err, "over the allowance")
	case errors.Is(err, context.DeadlineExceeded):
		return gateway.Admission{}, errkind.Wrap(errkind.DeadlineExceeded, err, "waiting for the allowance")
	case err != nil:
		return gateway.Admission{}, errkind.Wrap(errkind.Cancelled, err, "waiting for the allowance")
	case token == nil:
		return gateway.Admission{}, nil
	}
	return gateway.Admission{Valid: token.Valid, Use: token.Use, Return: token.Refund}, nil
}
