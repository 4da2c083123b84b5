package operator

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/rs/zerolog"
)

const (
	// callTimeout bounds a request to control; an election takes about 1 s.
	callTimeout = 8 * time.Second
	// headerTimeout bounds a client that sends its request slowly.
	headerTimeout = 5 * time.Second
	// bodyTimeout bounds the time to read a whole request.
	bodyTimeout = 30 * time.Second
	// idleTimeout bounds a connection without requests.
	idleTimeout = 2 * time.Minute
)

// Server serves Handlers over HTTP.
type Server struct {
	http http.Server
	h    Handlers
	log  zerolog.Logger
}

// NewServer returns a server that is not started.
func NewServer(h Handlers, log zerolog.Logger) *Server {
	s := &Server{h: h, log: log}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/ready", s.ready)
	mux.HandleFunc("GET /v1/health", s.health)
	mux.HandleFunc("GET /v1/dump", s.dump)
	mux.HandleFunc("GET /v1/metrics", s.metrics)
	mux.HandleFunc("GET /v1/state", s.state)
	mux.HandleFunc("POST /v1/announce", s.announce)
	mux.HandleFunc("POST /v1/apply", change(h.Apply))
	mux.HandleFunc("POST /v1/drain", change(h.Drain))
	mux.HandleFunc("POST /v1/failover", change(h.Failover))
	mux.HandleFunc("GET /metrics", s.metricsText)
	for pattern, handler := range h.Routes {
		mux.HandleFunc(pattern, handler)
	}
	s.http = http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout, IdleTimeout: idleTimeout}
	return s
}

// Serve serves until Shutdown.
func (s *Server) Serve(ln net.Listener) error {
	err := s.http.Serve(ln)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return Error.Wrap(err)
}

// Shutdown answers the requests in progress and stops.
func (s *Server) Shutdown(ctx context.Context) error { return Error.Wrap(s.http.Shutdown(ctx)) }

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if s.h.Ready == nil || !s.h.Ready() {
		writeJSON(w, http.StatusServiceUnavailable, readiness{Ready: false})
		return
	}
	writeJSON(w, http.StatusOK, readiness{Ready: true})
}

func (s *Server) health(w http.ResponseWriter, r *http.Request) {
	if s.h.Health == nil {
		http.NotFound(w, r)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	answer, err := s.h.Health(ctx, r.FormValue("kind"), r.FormValue("selector"))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, answer)
}

func (s *Server) dump(w http.ResponseWriter, r *http.Request) {
	if s.h.Dump == nil {
		http.NotFound(w, r)
		return
	}
	writeJSON(w, http.StatusOK, s.h.Dump())
}

func (s *Server) metrics(w http.ResponseWriter, r *http.Request) {
	if s.h.Registry == nil {
		http.NotFound(w, r)
		return
	}
	writeJSON(w, http.StatusOK, s.h.Registry)
}

// metricsText serves one line for each value of each metric.
func (s *Server) metricsText(w http.ResponseWriter, r *http.Request) {
	if s.h.Registry == nil {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	all := s.h.Registry.GetAll()
	for _, name := range slices.Sorted(maps.Keys(all)) {
		for _, field := range slices.Sorted(maps.Keys(all[name])) {
			fmt.Fprintf(w, "%s.%s %v\n", name, field, all[name][field])
		}
	}
}

func (s *Server) state(w http.ResponseWriter, r *http.Request) {
	if s.h.Get == nil {
		http.NotFound(w, r)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	reply, err := s.h.Get(ctx, new(controlrpc.GetArgs))
	if errkind.Of(err) == errkind.OutcomeUnknown {
		// A read changes nothing, so a lost answer leaves nothing in doubt.
		err = errkind.Wrap(errkind.NotLeader, err, "reading the state")
	}
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, reply)
}

func (s *Server) announce(w http.ResponseWriter, r *http.Request) {
	if s.h.Announce == nil {
		http.NotFound(w, r)
		return
	}
	var server controlrpc.Server
	if !readJSON(w, r, &server) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	reply, err := s.h.Announce(ctx, &controlrpc.AnnounceArgs{Server: server})
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, AnnounceAnswer{Answer: reply.Answer})
}
