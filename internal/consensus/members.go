package consensus

import (
	"slices"

	"github.com/ugorji/go/codec"
)

// members is a membership, sorted by key.
type members []Member

func (ms members) find(key string) (Member, bool) {
	for _, m := range ms {
		if m.key() == key {
			return m, true
		}
	}
	return Member{}, false
}

func (ms members) isVoter(key string) bool {
	m, ok := ms.find(key)
	return ok && !m.Learner
}

func (ms members) voterCount() int {
	n := 0
	for _, m := range ms {
		if !m.Learner {
			n++
		}
	}
	return n
}

// quorum returns the number of voters that form a majority.
func (ms members) quorum() int { return ms.voterCount()/2 + 1 }

// with returns a copy that contains m and no other member with the same key.
func (ms members) with(m Member) members {
	out := append(ms.without(m.key()), m)
	slices.SortFunc(out, compareMembers)
	return out
}

// without returns a copy that lacks the member with the key.
func (ms members) without(key string) members {
	out := make(members, 0, len(ms)+1)
	for _, m := range ms {
		if m.key() != key {
			out = append(out, m)
		}
	}
	return out
}

func (ms members) encode() []byte {
	var b []byte
	codec.NewEncoderBytes(&b, new(codec.MsgpackHandle)).MustEncode([]Member(ms))
	return b
}

// decodeMembers decodes a membership. It must be one whole value with at least one member:
// without voters, this host alone would be a majority.
func decodeMembers(b []byte) (members, error) {
	var ms []Member
	d := codec.NewDecoderBytes(b, new(codec.MsgpackHandle))
	if err := d.Decode(&ms); err != nil {
		return nil, Error.Wrap(err)
	}
	if n := len(b) - d.NumBytesRead(); n != 0 {
		return nil, Error.New("%d bytes follow a membership", n)
	}
	return ms, members(ms).check()
}

func (ms members) check() error {
	if len(ms) == 0 {
		return Error.New("a membership without members")
	}
	for _, m := range ms {
		if m.ID == "" {
			return Error.New("a member without an id")
		}
	}
	return nil
}
