package entry

import "time"

// wanted says which position requests satisfy a reader.
type wanted struct {
	after uint64    // requests with a greater seq
	since time.Time // requests that started at this time or later
}

func (w wanted) accepts(seq uint64, started time.Time) bool {
	return seq > w.after && !started.Before(w.since)
}
