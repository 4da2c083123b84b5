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

func decodeMembers(b []byte) (members, error) {
	var ms []Member
	err := codec.NewDecoderBytes(b, new(codec.MsgpackHandle)).Decode(&ms)
	return ms, Error.Wrap(err)
}
