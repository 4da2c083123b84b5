package lineframe

import "bytes"

// Splitter splits input that arrives in pieces into messages.
type Splitter struct {
	MaxBytes int // of a message with its ending

	partial []byte // of the incomplete message
}

// Next takes the first message from b and returns its text without the ending, and the
// rest of b. If the message is incomplete, ok is false and all of b is kept. The text does
// not share memory with b. After ErrTooLong the stream can't be read any further.
func (s *Splitter) Next(b []byte) (text, rest []byte, ok bool, err error) {
	end := s.end(b)
	if end < 0 {
		s.partial = append(s.partial, b...)
		if len(s.partial) >= s.MaxBytes {
			s.Drop()
			return nil, nil, false, ErrTooLong
		}
		return nil, nil, false, nil
	}
	text, rest = append(s.partial, b[:end]...), b[end:]
	s.partial = nil
	if len(text) > s.MaxBytes {
		return nil, nil, false, ErrTooLong
	}
	return text[:len(text)-len(Ending)], rest, true, nil
}

// end returns the index in b behind the first ending, whose CR may be the last kept byte;
// -1 if there is none.
func (s *Splitter) end(b []byte) int {
	for from := 0; ; {
		i := bytes.IndexByte(b[from:], '\n')
		if i < 0 {
			return -1
		}
		i += from
		if i > 0 && b[i-1] == '\r' || i == 0 && bytes.HasSuffix(s.partial, []byte{'\r'}) {
			return i + 1
		}
		from = i + 1
	}
}

// Partial returns the bytes of the incomplete message.
func (s *Splitter) Partial() []byte { return s.partial }

// Drop discards the incomplete message.
func (s *Splitter) Drop() { s.partial = nil }
