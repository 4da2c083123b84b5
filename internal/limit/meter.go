package limit

import (
	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// answerCopies is how often the bytes of an answer are held while it is passed on: in
// the buffer of a line, as received, encoded, and in the send buffer.
const answerCopies = 4

// Meter counts the answer that is being read for one session. It is not safe for
// concurrent use; a nil Meter has no limit.
type Meter struct {
	Budget *Budget
	Max    int // bytes of one answer; 0 for no limit

	bytes, held int64
}

// Read counts n received bytes. The error has kind errkind.AnswerTooLarge or, if the
// budget is used up, errkind.Overloaded.
func (m *Meter) Read(n int) error {
	if m == nil {
		return nil
	}
	m.bytes += int64(n)
	if m.Max > 0 && m.bytes > int64(m.Max) {
		return errkind.New(errkind.AnswerTooLarge, "the answer exceeds %d bytes", m.Max)
	}
	cost := answerCopies * int64(n)
	if !m.Budget.Take(cost, m.held) {
		return errkind.New(errkind.Overloaded, "the memory for callers is used up by other requests")
	}
	m.held += cost
	return nil
}

// Release returns the bytes of the answer.
func (m *Meter) Release() {
	if m != nil {
		m.Budget.Give(m.held)
		m.bytes, m.held = 0, 0
	}
}
