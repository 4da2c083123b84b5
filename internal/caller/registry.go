package caller

import (
	"crypto/rand"
	"crypto/subtle"
	"encoding/binary"
	"sync"
)

// registry holds every open connection by its process id. The process id and
// a random secret form the key of a CancelRequest. A CancelRequest that a load
// balancer routes to another host has no effect; cancellation is best effort
// in PostgreSQL as well.
type registry struct {
	mu      sync.Mutex
	conns   map[uint32]*conn
	lastPID uint32
}

// add registers c and sets its process id and secret.
func (r *registry) add(c *conn) {
	var secret [4]byte
	_, _ = rand.Read(secret[:]) // never fails, see crypto/rand
	c.secret = binary.BigEndian.Uint32(secret[:])
	r.mu.Lock()
	defer r.mu.Unlock()
	for {
		r.lastPID++
		if _, taken := r.conns[r.lastPID]; !taken && r.lastPID != 0 {
			break
		}
	}
	c.pid = r.lastPID
	r.conns[c.pid] = c
}

func (r *registry) remove(c *conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c.pid)
}

// find returns the connection with the given process id and secret, or nil.
func (r *registry) find(pid uint32, secret []byte) *conn {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.conns[pid]
	if c == nil {
		return nil
	}
	if subtle.ConstantTimeCompare(c.secretBytes(), secret) != 1 {
		return nil
	}
	return c
}

func (r *registry) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.conns)
}

func (r *registry) all() []*conn {
	r.mu.Lock()
	defer r.mu.Unlock()
	conns := make([]*conn, 0, len(r.conns))
	for _, c := range r.conns {
		conns = append(conns, c)
	}
	return conns
}
