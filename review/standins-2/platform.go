package main

import (
	"encoding/json"
	"net"
	"net/http"
)

// platform answers the promotion calls.
type platform struct {
	group    *group
	listener net.Listener
}

func startPlatform(g *group, address string) (*platform, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &platform{group: g, listener: ln}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.PromotePath, p.promote)
	go p.run(mux)
	return p, nil
}

func (p *platform) run(h http.Handler) { _ = http.Serve(p.listener, h) }

func (p *platform) address() string { return p.listener.Addr().String() }

func (p *platform) promote(w http.ResponseWriter, r *http.Request) {
	var body struct{ Service, ID string }
	if json.NewDecoder(r.Body).Decode(&body) != nil || body.Service != serviceName {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.WriteHeader(p.group.promote(body.ID, r.Header.Get(wire.HolderHeader), r.Header.Get(wire.TokenHeader)))
}
