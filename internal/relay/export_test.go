package relay

import (
	"bytes"
	"net"

	"github.com/arbutusring/arbutusring/internal/peer"
	"github.com/arbutusring/arbutusring/internal/statement"
	"github.com/arbutusring/arbutusring/pkg/errkind"
)

func encode(kind byte, message any) []byte {
	var out []byte
	if err := withFrame(kind, message, func(frame []byte) error {
		out = bytes.Clone(frame)
		return nil
	}); err != nil {
		panic(err)
	}
	return out
}

// EncodeHello returns the first frame of a stream.
func EncodeHello(host string) []byte { return encode(kindHello, &hello{Version: version, Host: host}) }

// EncodeCall returns a call to the server s with start 7.
func EncodeCall(id, conn uint32, kind statement.Kind) []byte {
	return EncodeCallSent(id, conn, kind, 0, 5000)
}

// EncodeCallSent is EncodeCall with the time at which it was sent and the time that it
// allows, in ms.
func EncodeCallSent(id, conn uint32, kind statement.Kind, sent, remaining int64) []byte {
	return encode(kindCall, &call{ID: id, Conn: conn, Target: &target{Server: "s", Born: 7}, Sent: sent, Remaining: remaining, Kind: kind, Caller: "x", Text: "t"})
}

// ReadAnswer returns the kind of the error in the next answer on a connection.
func ReadAnswer(conn net.Conn) (errkind.Kind, error) {
	s := peer.NewStream(conn, peer.StreamOptions{MaxFrameBytes: maxAnswerBytes})
	frame, err := s.Receive()
	if err != nil {
		return "", err
	}
	_, body := splitFrame(frame)
	var a answer
	if err := decodeBody(body, &a); err != nil {
		return "", err
	}
	if a.Err != "" {
		return a.Err, nil
	}
	return a.FailKind, nil
}

// RoundTrip decodes a call and encodes it again; nil if it is malformed.
func RoundTrip(frame []byte) (first, second []byte) {
	if len(frame) == 0 {
		return nil, nil
	}
	kind, body := splitFrame(frame)
	var m any
	switch kind {
	case kindHello:
		m = new(hello)
	case kindCall:
		m = new(call)
	case kindCancel:
		m = new(cancel)
	case kindProbe:
		m = new(probe)
	case kindAnswer:
		m = new(answer)
	default:
		return nil, nil
	}
	if decodeBody(body, m) != nil {
		return nil, nil
	}
	first = encode(kind, m)
	if err := decodeBody(first[:len(first)-1], m); err != nil {
		panic(err)
	}
	return first, encode(kind, m)
}

// SetLastCall sets the id of the last call on all streams.
func (c *Client) SetLastCall(id uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.peers {
		h.stream.mu.Lock()
		h.stream.lastCall = id
		h.stream.mu.Unlock()
	}
}
