package standin

import (
	"context"
	"errors"
	"time"

	"github.com/arbutusring/arbutusring/pkg/logpos"
	"github.com/jackc/pgx/v5/pgproto3"
)

// heartbeatInterval is the interval at which the sender sends a heartbeat on an
// idle replication connection. The replica answers each one with a report.
const heartbeatInterval = 100 * time.Millisecond

// replicationTimeout is the time without data from the primary after which a
// replica reconnects. It also limits a connection attempt of a replica, and how
// long Stop waits for the replicas.
const replicationTimeout = time.Second

// maxBatchRecords limits the number of records in one message.
const maxBatchRecords = 256

// sender is the primary side of one replication connection.
type sender struct {
	srv   *Server
	conn  *conn
	hello hello
}

// runSender serves a connection after START_REPLICATION. The connection ends when
// it returns.
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
	if !n.meta.isPrimary() || n.meta.PrimaryTerm != s.hello.Term {
		m := n.meta
		n.mu.Unlock()
		c.backend.Send(errorResponse(notPrimary(m), "FATAL"))
		return errors.Join(errTerminated, c.backend.Flush())
	}
	fork := forkPoint(termHistory(n.log), s.hello.History)
	n.replicas[s.hello.ServerID] = &progress{sender: s}
	n.mu.Unlock()
	defer s.removeProgress()

	if err := c.sendCopy(helloReply{Fork: fork}); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	reportsDone := make(chan struct{})
	go func() {
		defer close(reportsDone)
		s.runReports(cancel)
	}()
	err := s.loop(ctx, fork)
	_ = c.stream.Close() // makes runReports return
	<-reportsDone
	return errors.Join(errTerminated, err)
}

// loop sends the records after LSN sent until the term of the primary or ctx
// ends.
func (s *sender) loop(ctx context.Context, sent uint64) error {
	n := s.srv.node
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		n.mu.RLock()
		termEnded := !n.meta.isPrimary() || n.meta.PrimaryTerm != s.hello.Term
		var b recordBatch
		if !termEnded && !s.srv.faults.isOn(FaultStopReplication) {
			end := min(sent+maxBatchRecords, uint64(len(n.log)))
			b.Records = n.log[sent:end]
		}
		changed := n.changed
		n.mu.RUnlock()
		if termEnded {
			return nil
		}
		if len(b.Records) > 0 {
			if err := s.conn.sendCopy(b); err != nil {
				return err
			}
			sent += uint64(len(b.Records))
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

// runReports stores the progress that the replica reports, and cancels the
// connection when receiving fails.
func (s *sender) runReports(cancel context.CancelFunc) {
	defer cancel()
	n := s.srv.node
	for {
		var r progressReport
		if err := s.conn.receiveCopy(&r); err != nil {
			return
		}
		n.mu.Lock()
		// A newer connection of the replica replaces the entry, and a change
		// of the role removes it; reports on the old connection are ignored.
		if p := n.replicas[s.hello.ServerID]; p != nil && p.sender == s {
			p.received, p.applied = r.Received, r.Applied
		}
		n.mu.Unlock()
	}
}

// removeProgress removes the progress of the replica, unless a newer connection
// has replaced it.
func (s *sender) removeProgress() {
	n := s.srv.node
	n.mu.Lock()
	defer n.mu.Unlock()
	if p := n.replicas[s.hello.ServerID]; p != nil && p.sender == s {
		delete(n.replicas, s.hello.ServerID)
	}
}

// replicaProgress is a row of arbutusring_replication.
type replicaProgress struct {
	serverID          string
	received, applied logpos.Position
}

// listReplicas returns the progress of the replicas; it fails unless the server
// is a primary. Replicas that have not reported yet are omitted.
func (n *node) listReplicas() ([]replicaProgress, error) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	if !n.meta.isPrimary() {
		return nil, notPrimary(n.meta)
	}
	var replicas []replicaProgress
	for id, p := range n.replicas {
		if p.sender.hello.Term == n.meta.PrimaryTerm && p.received != (logpos.Position{}) {
			replicas = append(replicas, replicaProgress{id, p.received, p.applied})
		}
	}
	return replicas, nil
}

// replicasCaughtUp reports whether every connected replica has received the end
// of the log. It is always true on a replica.
func (n *node) replicasCaughtUp() bool {
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
