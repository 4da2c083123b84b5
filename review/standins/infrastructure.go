package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// infrastructureMachine is the machine of the platform's own service.
const infrastructureMachine = "infra"

// infrastructure is a stand-in for the platform's promotion service.
type infrastructure struct {
	wire   *wireNames
	net    *network
	rec    *record
	groups []*group

	mu    sync.Mutex
	calls []promotionCall
}

// promotionCall is a call as the service has seen it.
type promotionCall struct {
	at            time.Time
	holder, token string
	service, id   string
}

// machineListener accepts connections whose bytes the network may hold back.
type machineListener struct {
	net.Listener
	net *network
}

func (l *machineListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &machineConn{Conn: c, net: l.net, machine: l.net.caller(c)}, nil
}

// machineConn holds back bytes while the machines are cut off from each other.
type machineConn struct {
	net.Conn
	net     *network
	machine string
}

func (c *machineConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.net.await(c.machine, infrastructureMachine, longCut) {
		return 0, net.ErrClosed
	}
	return n, err
}

// run serves until the process ends.
func (i *infrastructure) run(ln net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+i.wire.Paths["promote"], i.promote)
	if err := http.Serve(&machineListener{ln, i.net}, mux); err != nil {
		i.rec.say("the platform's service ended: %v", err)
	}
}

func (i *infrastructure) promote(w http.ResponseWriter, r *http.Request) {
	var body struct{ Service, ID string }
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c := promotionCall{at: time.Now(), holder: r.Header.Get(i.wire.Headers["holder"]), token: r.Header.Get(i.wire.Headers["token"]), service: body.Service, id: body.ID}
	i.mu.Lock()
	i.calls = append(i.calls, c)
	i.mu.Unlock()
	running := false
	for _, g := range i.groups {
		running = running || g.service == body.Service && g.promote(body.ID)
	}
	i.rec.say("infrastructure got a promotion of %s from %s with token %s; it runs: %v", c.id, c.holder, c.token, running)
	if !running {
		http.Error(w, "not running", http.StatusConflict)
		return
	}
	_, _ = w.Write([]byte("{}"))
}
