package standin

import (
	"context"
	"errors"
	"time"

	"github.com/arbutusring/arbutusring/pkg/logpos"
	"github.com/jackc/pgx/v5/pgproto3"
)

// heartbeatInterval is the time between signs of life on a replication
// connection, in both directions.
const heartbeatInterval = 100 * time.Millisecond

// replicationTimeout is the silence after which a replica opens a new
// connection.
const replicationTimeout = time.Second

// maxBatch bounds the records of one message.
const maxBatch = 256

// sender is the primary's side of one replication connection.
type sender struct {
	srv   *Server
	conn  *conn
	hello hello
}

// runSender serves a connection on which START_REPLICATION was received. The
// connection ends with it.
func (c *conn) runSender() error {
	c.backend.Send(&pgproto3.CopyBothResponse{})
	if err := c.backend.Flush(); err != nil {
		return err
	}
	s := &sender{srv: c.srv, conn: c}
	if err := c.receiveCopy(&s.hello); err != nil {
		return err
	}
	n := c.srv.node
	n.mu.Lock()
	if !n.meta.primary() || n.meta.PrimaryTerm != s.hello.Term {
		m := n.meta
		n.mu.Unlock()
		c.backend.Send(errorResponse(notPrimary(m), "FATAL"))
		return errors.Join(errTerminated, c.backend.Flush())
	}
	fork := forkPoint(history(n.log), s.hello.History)
	n.replicas[s.hello.Server] = &progress{sender: s}
	n.mu.Unlock()
	defer s.remove()

	if err := c.sendCopy(welcome{Fork: fork}); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.runReports(cancel)
	}()
	err := s.loop(ctx, fork)
	_ = c.stream.Close() // ends runReports
	<-ended
	return errors.Join(errTerminated, err)
}

// loop sends the records after next until the term is over or ctx ends.
func (s *sender) loop(ctx context.Context, next uint64) error {
	n := s.srv.node
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		n.mu.RLock()
		over := !n.meta.primary() || n.meta.PrimaryTerm != s.hello.Term
		var b batch
		if !over && !s.srv.faults.on(FaultStopReplication) {
			end := min(next+maxBatch, uint64(len(n.log)))
			b.Records = n.log[next:end]
		}
		changed := n.changed
		n.mu.RUnlock()
		if over {
			return nil
		}
		if len(b.Records) > 0 {
			if err := s.conn.sendCopy(b); err != nil {
				return err
			}
			next += uint64(len(b.Records))
			continue
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-heartbeat.C:
			if err := s.conn.sendCopy(b); err != nil {
				return err
			}
		}
	}
}

// runReports stores the reports of the replica and ends the connection when
// they end.
func (s *sender) runReports(cancel context.CancelFunc) {
	defer cancel()
	n := s.srv.node
	for {
		var r report
		if err := s.conn.receiveCopy(&r); err != nil {
			return
		}
		n.mu.Lock()
		// A newer connection of the replica, or a change of the role,
		// replaces the entry; older reports are ignored then.
		if p := n.replicas[s.hello.Server]; p != nil && p.sender == s {
			p.received, p.applied = r.Received, r.Applied
		}
		n.mu.Unlock()
	}
}

// remove forgets the replica's progress.
func (s *sender) remove() {
	n := s.srv.node
	n.mu.Lock()
	defer n.mu.Unlock()
	if p := n.replicas[s.hello.Server]; p != nil && p.sender == s {
		delete(n.replicas, s.hello.Server)
	}
}

// replicaProgress is a row of arbutusring_replication.
type replicaProgress struct {
	server            string
	received, applied logpos.Position
}

// replication returns the progress of the replicas of a primary. Replicas
// that have not reported yet are left out.
func (n *node) replication() ([]replicaProgress, error) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	if !n.meta.primary() {
		return nil, notPrimary(n.meta)
	}
	var list []replicaProgress
	for id, p := range n.replicas {
		if p.sender.hello.Term == n.meta.PrimaryTerm && p.received != (logpos.Position{}) {
			list = append(list, replicaProgress{id, p.received, p.applied})
		}
	}
	return list, nil
}

// replicasCurrent reports whether every connected replica has received the
// end of the log. It is true on a replica.
func (n *node) replicasCurrent() bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	end := n.positionAt(len(n.log))
	for _, p := range n.replicas {
		if p.received != end {
			return false
		}
	}
	return true
}
