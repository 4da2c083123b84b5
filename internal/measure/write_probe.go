package measure

import (
	"context"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
)

// WriteProbe writes continuously through one entry and records the times at which
// writes were acknowledged. A failed attempt is repeated after 1 ms, on a new
// connection if the old one was closed.
type WriteProbe struct {
	DSN string

	mu   sync.Mutex
	acks []time.Time
}

// attemptTimeout bounds one attempt, so that an unresponsive connection of the
// probe itself is not measured as a gap.
const attemptTimeout = 5 * time.Second

// Run writes until ctx is done.
func (p *WriteProbe) Run(ctx context.Context) {
	var conn *pgx.Conn
	for ctx.Err() == nil {
		if conn == nil || conn.IsClosed() {
			conn = p.connect(ctx)
			continue
		}
		attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
		_, err := conn.Exec(attemptCtx, "INSERT INTO probe (k, v) VALUES ('k', 'v') ON CONFLICT (k) DO UPDATE SET v = excluded.v")
		cancel()
		if err == nil {
			p.ack()
		} else {
			time.Sleep(time.Millisecond)
		}
	}
	if conn != nil {
		_ = conn.Close(context.Background())
	}
}

func (p *WriteProbe) connect(ctx context.Context) *pgx.Conn {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	conn, err := pgx.Connect(ctx, p.DSN)
	if err != nil {
		time.Sleep(5 * time.Millisecond)
		return nil
	}
	return conn
}

func (p *WriteProbe) ack() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.acks = append(p.acks, time.Now())
}

// Gap returns the longest time between two successive acknowledgements, of which
// the second came after faultTime. It reports whether there is one.
func (p *WriteProbe) Gap(faultTime time.Time) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	gap, found := time.Duration(0), false
	for i := 1; i < len(p.acks); i++ {
		if p.acks[i].After(faultTime) {
			gap, found = max(gap, p.acks[i].Sub(p.acks[i-1])), true
		}
	}
	return gap, found
}

// Reset discards the recorded acknowledgements.
func (p *WriteProbe) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.acks = nil
}
