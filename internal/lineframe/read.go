package lineframe

import (
	"bufio"
	"bytes"
)

// Read reads the next message of at most maxBytes bytes with its ending, and returns its
// text.
func Read(r *bufio.Reader, maxBytes int) (string, error) {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		if err != nil && err != bufio.ErrBufferFull {
			return "", err
		}
		line = append(line, part...)
		if len(line) > maxBytes {
			return "", ErrTooLong
		}
		if bytes.HasSuffix(line, []byte(Ending)) {
			return string(line[:len(line)-len(Ending)]), nil
		}
	}
}
