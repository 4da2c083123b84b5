package operator

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
)

const (
	// maxBody bounds a request, in bytes. The largest is a configuration:
	// 10,000 groups of about 200 bytes.
	maxBody = 8 << 20
	// callTimeout bounds a request to control; an election takes about 1 s.
	callTimeout = 8 * time.Second
	// headerTimeout bounds a client that sends its request slowly.
	headerTimeout = 5 * time.Second
)

// Handlers are what a process offers. A nil field is answered with 404.
type Handlers struct {
	Announce func(ctx context.Context, args *controlrpc.AnnounceArgs) (*controlrpc.AnnounceReply, error)
	Apply    func(ctx context.Context, args *controlrpc.ApplyArgs) (*controlrpc.ApplyReply, error)
	Get      func(ctx context.Context, args *controlrpc.GetArgs) (*controlrpc.GetReply, error)
	Drain    func(ctx context.Context, args *controlrpc.DrainArgs) (*controlrpc.DrainReply, error)
	Failover func(ctx context.Context, args *controlrpc.FailoverArgs) (*controlrpc.FailoverReply, error)
	Health   func(ctx context.Context, kind, selector string) (any, error)
	Dump     func() any
	Ready    func() bool
	Registry metrics.Registry
}

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
	s.http = http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
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

type readiness struct {
	Ready bool `json:"ready"`
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

func (s *Server) state(w http.ResponseWriter, r *http.Request) {
	if s.h.Get == nil {
		http.NotFound(w, r)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	reply, err := s.h.Get(ctx, new(controlrpc.GetArgs))
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

// change serves a request to control whose arguments are the body.
func change[A, R any](call func(context.Context, *A) (*R, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if call == nil {
			http.NotFound(w, r)
			return
		}
		args := new(A)
		if !readJSON(w, r, args) {
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
		defer cancel()
		reply, err := call(ctx, args)
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, reply)
	}
}

func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	dec.DisallowUnknownFields()
	err := dec.Decode(v)
	if err == nil && dec.Decode(new(struct{})) != io.EOF {
		err = errors.New("there is more than one JSON value")
	}
	if err != nil {
		writeError(w, errkind.Wrap(errkind.BadRequest, err, "body of the request"))
		return false
	}
	return true
}

func writeError(w http.ResponseWriter, err error) {
	status := http.StatusServiceUnavailable
	if errkind.Of(err) == errkind.BadRequest {
		status = http.StatusBadRequest
	}
	writeJSON(w, status, controlrpc.Answer{Kind: errkind.Of(err), Detail: err.Error()})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		status, data = http.StatusInternalServerError, []byte(`{"kind":"internal"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}
