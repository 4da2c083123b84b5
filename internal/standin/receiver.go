package standin

import (
	"context"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// reconnectDelay is the delay between two connections to the primary.
const reconnectDelay = 50 * time.Millisecond

// receiver is the replica side of replication.
type receiver struct {
	srv *Server
}

// loop replicates from the primary that the server currently follows, until ctx
// ends.
func (r *receiver) loop(ctx context.Context) {
	n := r.srv.node
	for ctx.Err() == nil {
		n.mu.RLock()
		m, changed := n.meta, n.changed
		n.mu.RUnlock()
		if m.Upstream == "" {
			select {
			case <-ctx.Done():
			case <-changed:
			}
			continue
		}
		if err := r.replicate(ctx, m); err != nil && ctx.Err() == nil {
			r.srv.opts.Log.Warn().Err(err).Str("primary", m.Upstream).Uint64("term", m.UpstreamTerm).Msg("replication from the primary ended")
		}
		select {
		case <-ctx.Done():
		case <-time.After(reconnectDelay):
		}
	}
}

// replicate receives and stores records over one connection until it fails or
// the server follows another primary.
func (r *receiver) replicate(ctx context.Context, m meta) error {
	dialer := net.Dialer{Timeout: replicationTimeout}
	nc, err := dialer.DialContext(ctx, "tcp", m.Upstream)
	if err != nil {
		return err
	}
	defer nc.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = nc.Close() })
	defer stop()
	go r.runUpstreamWatch(ctx, cancel, m)

	fe := pgproto3.NewFrontend(&deadlineReader{nc}, nc)
	fe.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": "replication", "replication": "true", "application_name": m.ID},
	})
	if err := awaitMessage[*pgproto3.ReadyForQuery](fe); err != nil {
		return err
	}
	fe.Send(&pgproto3.Query{String: "START_REPLICATION"})
	if err := awaitMessage[*pgproto3.CopyBothResponse](fe); err != nil {
		return err
	}
	n := r.srv.node
	n.mu.RLock()
	h := hello{ServerID: m.ID, Term: m.UpstreamTerm, History: termHistory(n.log)}
	n.mu.RUnlock()
	if err := sendCopy(fe, h); err != nil {
		return err
	}
	var reply helloReply
	if err := receiveCopy(fe, &reply); err != nil {
		return err
	}
	if err := n.rewind(m.UpstreamTerm, reply.Fork); err != nil {
		return err
	}
	return r.receiveBatches(ctx, fe, m.UpstreamTerm)
}

// receiveBatches stores the records that the primary sends and reports progress
// before the first and after each message.
func (r *receiver) receiveBatches(ctx context.Context, fe *pgproto3.Frontend, term uint64) error {
	n := r.srv.node
	for {
		received, applied, ok := n.ownProgress(term)
		if !ok {
			return errUpstreamChanged
		}
		if !r.srv.faults.isOn(FaultStopReplication) {
			if err := sendCopy(fe, progressReport{Received: received, Applied: applied}); err != nil {
				return err
			}
		}
		var b recordBatch
		if err := receiveCopy(fe, &b); err != nil {
			return err
		}
		if err := r.srv.faults.awaitOff(ctx, FaultFreeze); err != nil {
			return err
		}
		for len(b.Records) > 0 {
			if err := r.awaitReplicationDelay(ctx, b.Records[0]); err != nil {
				return err
			}
			due := 1
			for due < len(b.Records) && r.remainingDelay(b.Records[due]) <= 0 {
				due++
			}
			if err := n.receive(term, b.Records[:due]); err != nil {
				return err
			}
			b.Records = b.Records[due:]
		}
	}
}

// remainingDelay returns the time until rec is as old as the replication delay.
// Primary and replica run on the same machine, so they share a clock.
func (r *receiver) remainingDelay(rec record) time.Duration {
	return time.Until(time.Unix(0, rec.Time).Add(r.srv.faults.delay(FaultReplicationDelay)))
}

// awaitReplicationDelay waits until rec is as old as the replication delay and
// FaultStopReplication is off.
func (r *receiver) awaitReplicationDelay(ctx context.Context, rec record) error {
	if d := r.remainingDelay(rec); d > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(d):
		}
	}
	return r.srv.faults.awaitOff(ctx, FaultStopReplication)
}

// runUpstreamWatch cancels the connection when the metadata changes, for example
// because the server follows another primary.
func (r *receiver) runUpstreamWatch(ctx context.Context, cancel context.CancelFunc, m meta) {
	defer cancel()
	n := r.srv.node
	for {
		n.mu.RLock()
		unchanged, changed := n.meta == m, n.changed
		n.mu.RUnlock()
		if !unchanged {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// deadlineReader fails when nothing is received for replicationTimeout.
type deadlineReader struct {
	nc net.Conn
}

func (d *deadlineReader) Read(p []byte) (int, error) {
	if err := d.nc.SetReadDeadline(time.Now().Add(replicationTimeout)); err != nil {
		return 0, err
	}
	return d.nc.Read(p)
}

// awaitMessage flushes fe and reads until a message of type M arrives.
func awaitMessage[M pgproto3.BackendMessage](fe *pgproto3.Frontend) error {
	if err := fe.Flush(); err != nil {
		return err
	}
	for {
		msg, err := fe.Receive()
		if err != nil {
			return err
		}
		if e, ok := msg.(*pgproto3.ErrorResponse); ok {
			return Error.New("primary refused the connection: %s %s", e.Code, e.Message)
		}
		if _, ok := msg.(M); ok {
			return nil
		}
	}
}

// sendCopy sends a replication message.
func sendCopy(fe *pgproto3.Frontend, v any) error {
	data, err := marshal(v)
	if err != nil {
		return err
	}
	fe.Send(&pgproto3.CopyData{Data: data})
	return fe.Flush()
}

// receiveCopy receives a replication message.
func receiveCopy(fe *pgproto3.Frontend, v any) error {
	msg, err := fe.Receive()
	if err != nil {
		return err
	}
	switch msg := msg.(type) {
	case *pgproto3.CopyData:
		return unmarshal(msg.Data, v)
	case *pgproto3.ErrorResponse:
		return Error.New("primary refused replication: %s %s", msg.Code, msg.Message)
	}
	return Error.New("unexpected message %T", msg)
}
