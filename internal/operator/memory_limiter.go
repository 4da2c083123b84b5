package operator

import (
	"io"
	"net/http"

	"github.com/arbutusring/arbutusring/internal/limit"
	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// bodyCopies is how often a body is held: as it is read, with room for growth, as parsed,
// and while it is parsed once more if names are hidden (see package jsonstrict).
const bodyCopies = 4

// memoryLimiter counts the bodies of requests until they are answered. A request whose
// body finds no room is answered with status 503, whatever its handler answers to the
// failed read.
type memoryLimiter struct {
	next   http.Handler
	budget *limit.Budget // nil for no limit
	count  func(name string)
}

func (m memoryLimiter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Body == nil || r.Body == http.NoBody {
		m.next.ServeHTTP(w, r)
		return
	}
	body := &limitedBody{ReadCloser: r.Body, budget: m.budget}
	defer func() {
		m.budget.Give(body.held)
		if body.refused {
			m.count("operators.refused.memory")
		}
	}()
	r.Body = body
	m.next.ServeHTTP(&bodyResponse{ResponseWriter: w, body: body}, r)
}

// limitedBody takes the bytes of a body from the budget as they arrive.
type limitedBody struct {
	io.ReadCloser
	budget  *limit.Budget
	held    int64
	refused bool
}

func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	cost := int64(bodyCopies * n)
	if b.refused = b.refused || !b.budget.Take(cost, b.held); b.refused {
		return 0, errkind.New(errkind.Overloaded, "the memory for requests is used up")
	}
	b.held += cost
	return n, err
}

// bodyResponse replaces the status of a request whose body was refused.
type bodyResponse struct {
	http.ResponseWriter
	body *limitedBody
}

func (w *bodyResponse) WriteHeader(status int) {
	if w.body.refused {
		w.Header().Set("Connection", "close")
		status = http.StatusServiceUnavailable
	}
	w.ResponseWriter.WriteHeader(status)
}
