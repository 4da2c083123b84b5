package measure

import (
	"context"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
)

// WriteProbe writes through one entry without a pause and remembers when
// writes were acknowledged. An attempt that fails is repeated at once, on a
// new connection if need be.
type WriteProbe struct {
	DSN string

	mu   sync.Mutex
	acks []time.Time
}

// attemptLimit bounds one attempt, so that a silent connection of the probe
// itself does not count as a gap.
const attemptLimit = 5 * time.Second

// Run writes until ctx ends.
func (p *WriteProbe) Run(ctx context.Context) {
	var conn *pgx.Conn
	for ctx.Err() == nil {
		if conn == nil || conn.IsClosed() {
			conn = p.connect(ctx)
			continue
		}
		attempt, cancel := context.WithTimeout(ctx, attemptLimit)
		_, err := conn.Exec(attempt, "INSERT INTO probe (k, v) VALUES ('k', 'v') ON CONFLICT (k) DO UPDATE SET v = excluded.v")
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

// Gap returns the time from the last acknowledgement before a fault to the
// first one of an attempt after it, once there is one.
func (p *WriteProbe) Gap(fault time.Time) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	gap, found := time.Duration(0), false
	for i := 1; i < len(p.acks); i++ {
		if p.acks[i].After(fault) {
			gap, found = max(gap, p.acks[i].Sub(p.acks[i-1])), true
		}
	}
	return gap, found
}

// Reset forgets the acknowledgements.
func (p *WriteProbe) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.acks = nil
}
