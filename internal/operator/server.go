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
	// callTimeout bounds a call to control; it leaves time for an election, which
	// takes about 1 s.
	callTimeout = 8 * time.Second
	// headerReadTimeout bounds the time to read the headers of a request, so that
	// slow clients don't hold connections.
	headerReadTimeout = 5 * time.Second
	// requestReadTimeout bounds the time to read a whole request.
	requestReadTimeout = 30 * time.Second
	// idleTimeout bounds how long a connection stays open without requests.
	idleTimeout = 2 * time.Minute
	// requestWriteTimeout bounds the time from the headers of a request to the end of
	// its answer, so that clients that don't read hold no memory.
	requestWriteTimeout = time.Minute
	// maxHeaderBytes bounds the headers of a request.
	maxHeaderBytes = 64 << 10
)

// Server serves Handlers over HTTP.
type Server struct {
	http http.Server
	h    Handlers
	log  zerolog.Logger

	conns connLimiter
}

// NewServer returns a server for h. Serve starts it.
func NewServer(h Handlers, log zerolog.Logger) *Server {
	s := &Server{h: h, log: log}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/ready", s.ready)
	mux.HandleFunc("GET /v1/health", s.health)
	mux.HandleFunc("GET /v1/dump", s.dump)
	mux.HandleFunc("GET /v1/metrics", s.metrics)
	mux.HandleFunc("GET /v1/state", s.state)
	mux.HandleFunc("POST /v1/announce", s.announce)
	mux.HandleFunc("POST /v1/apply", handleCall(h.Apply))
	mux.HandleFunc("POST /v1/drain", handleCall(h.Drain))
	mux.HandleFunc("POST /v1/failover", handleCall(h.Failover))
	mux.HandleFunc("GET /metrics", s.metricsText)
	for pattern, handler := range h.Routes {
		mux.HandleFunc(pattern, handler)
	}
	s.conns.limit, s.conns.count = h.MaxConnections, counterOf(h.Registry)
	memory := memoryLimiter{next: mux, budget: h.Memory, count: s.conns.count}
	s.http = http.Server{Handler: memory, ConnState: s.conns.changed, WriteTimeout: requestWriteTimeout, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: headerReadTimeout, ReadTimeout: requestReadTimeout, IdleTimeout: idleTimeout}
	return s
}

// Serve answers requests on ln until Shutdown is called.
func (s *Server) Serve(ln net.Listener) error {
	err := s.http.Serve(&limitedListener{Listener: ln, conns: &s.conns})
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return Error.Wrap(err)
}

// Shutdown stops the server after it has answered the requests in progress.
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
	query, err := parseQuestion(r.URL.RawQuery)
	if err != nil {
		writeError(w, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	answer, err := s.h.Health(ctx, query.Get("kind"), query.Get("selector"))
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

// metricsText serves the metrics as text, with one line for each value.
func (s *Server) metricsText(w http.ResponseWriter, r *http.Request) {
	if s.h.Registry == nil {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	values := s.h.Registry.GetAll()
	for _, name := range slices.Sorted(maps.Keys(values)) {
		for _, field := range slices.Sorted(maps.Keys(values[name])) {
			fmt.Fprintf(w, "%s.%s %v\n", name, field, values[name][field])
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
		// A read changes nothing, so a lost answer leaves no outcome in doubt.
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
	if err := checkAnnouncement(&server); err != nil {
		writeError(w, err)
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
