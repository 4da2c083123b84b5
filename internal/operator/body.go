package operator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/internal/jsonstrict"
	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// maxBodyBytes bounds the body of a request. The largest is a configuration:
// 10,000 groups of about 200 bytes.
const maxBodyBytes = 8 << 20

// handleCall returns the handler of a call to control whose arguments are the
// JSON body of the request. It answers with 404 if call is nil.
func handleCall[A, R any](call func(context.Context, *A) (*R, error)) http.HandlerFunc {
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

// readJSON decodes the body of r, which must be a single JSON value without
// unknown keys, into v; see package jsonstrict. If that fails, it writes the error answer
// and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		err = jsonstrict.UnmarshalKnown(body, v)
	}
	if err != nil {
		writeError(w, errkind.Wrap(errkind.BadRequest, err, "cannot parse the request body"))
	}
	return err == nil
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
