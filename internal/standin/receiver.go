package standin

import (
	"context"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// reconnectDelay is the pause between two attempts to reach the primary.
const reconnectDelay = 50 * time.Millisecond

// receiver is the replica's side of replication.
type receiver struct {
	srv *Server
}

// loop replicates from whichever primary the server follows, until ctx ends.
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
			r.srv.opts.Log.Warn().Err(err).Str("primary", m.Upstream).Uint64("term", m.UpstreamTerm).Msg("replication ended")
		}
		select {
		case <-ctx.Done():
		case <-time.After(reconnectDelay):
		}
	}
}

// replicate receives records over one connection.
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
	go r.runWatch(ctx, cancel, m)

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
	h := hello{Server: m.ID, Term: m.UpstreamTerm, History: history(n.log)}
	n.mu.RUnlock()
	if err := sendCopy(fe, h); err != nil {
		return err
	}
	var w welcome
	if err := receiveCopy(fe, &w); err != nil {
		return err
	}
	if err := n.rewind(m.UpstreamTerm, w.Fork); err != nil {
		return err
	}
	return r.loopBatches(ctx, fe, m.UpstreamTerm)
}

// loopBatches stores what the primary sends and reports progress after each
// message.
func (r *receiver) loopBatches(ctx context.Context, fe *pgproto3.Frontend, term uint64) error {
	n := r.srv.node
	for {
		received, applied, ok := n.progressOf(term)
		if !ok {
			return errUpstreamOver
		}
		if !r.srv.faults.on(FaultStopReplication) {
			if err := sendCopy(fe, report{Received: received, Applied: applied}); err != nil {
				return err
			}
		}
		var b batch
		if err := receiveCopy(fe, &b); err != nil {
			return err
		}
		if err := r.srv.faults.awaitOff(ctx, FaultFreeze); err != nil {
			return err
		}
		for len(b.Records) > 0 {
			if err := r.awaitAge(ctx, b.Records[0]); err != nil {
				return err
			}
			ripe := 1
			for ripe < len(b.Records) && r.missingAge(b.Records[ripe]) <= 0 {
				ripe++
			}
			if err := n.receive(term, b.Records[:ripe]); err != nil {
				return err
			}
			b.Records = b.Records[ripe:]
		}
	}
}

// missingAge returns the time that is left until rec has the age of the
// replication delay. Primary and replica run on one machine, so their clocks
// agree.
func (r *receiver) missingAge(rec record) time.Duration {
	return time.Until(time.Unix(0, rec.Time).Add(r.srv.faults.delay(FaultReplicationDelay)))
}

// awaitAge waits for the replication delay and for the end of a stop of
// replication.
func (r *receiver) awaitAge(ctx context.Context, rec record) error {
	if d := r.missingAge(rec); d > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(d):
		}
	}
	return r.srv.faults.awaitOff(ctx, FaultStopReplication)
}

// runWatch ends the connection when the server follows another primary.
func (r *receiver) runWatch(ctx context.Context, cancel context.CancelFunc, m meta) {
	defer cancel()
	n := r.srv.node
	for {
		n.mu.RLock()
		same, changed := n.meta == m, n.changed
		n.mu.RUnlock()
		if !same {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// deadlineReader fails when the primary is silent for replicationTimeout.
type deadlineReader struct {
	nc net.Conn
}

func (d *deadlineReader) Read(p []byte) (int, error) {
	if err := d.nc.SetReadDeadline(time.Now().Add(replicationTimeout)); err != nil {
		return 0, err
	}
	return d.nc.Read(p)
}

// awaitMessage flushes and reads until a message of type M arrives.
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
			return Error.New("primary refused: %s %s", e.Code, e.Message)
		}
		if _, ok := msg.(M); ok {
			return nil
		}
	}
}

func sendCopy(fe *pgproto3.Frontend, v any) error {
	data, err := marshal(v)
	if err != nil {
		return err
	}
	fe.Send(&pgproto3.CopyData{Data: data})
	return fe.Flush()
}

func receiveCopy(fe *pgproto3.Frontend, v any) error {
	msg, err := fe.Receive()
	if err != nil {
		return err
	}
	switch msg := msg.(type) {
	case *pgproto3.CopyData:
		return unmarshal(msg.Data, v)
	case *pgproto3.ErrorResponse:
		return Error.New("primary refused: %s %s", msg.Code, msg.Message)
	}
	return Error.New("unexpected message %T", msg)
}
