package consensus_test

import (
	"errors"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/consensus"
	"github.com/arbutusring/arbutusring/internal/wal"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var allKinds = []consensus.MessageKind{
	consensus.MessagePreVote, consensus.MessagePreVoteReply, consensus.MessageVote, consensus.MessageVoteReply,
	consensus.MessageAppend, consensus.MessageAppendReply, consensus.MessageSnapshot, consensus.MessageSnapshotReply,
	consensus.MessageTimeoutNow, consensus.MessageHello, consensus.MessageHelloReply, consensus.MessageBootstrap, "unknown",
}

// number draws small numbers and those at the ends of the range.
func number(t *rapid.T, label string) uint64 {
	return rapid.SampledFrom([]uint64{0, 1, 2, 3, 4, 5, 9, 1 << 40, 1<<63 - 1, 1 << 63, 1<<64 - 1}).Draw(t, label)
}

// drawMessage draws a message that no host sends: its fields contradict each other.
func drawMessage(t *rapid.T, members []consensus.Member) consensus.Message {
	member := func(label string) consensus.Member {
		m := rapid.SampledFrom(members).Draw(t, label)
		if rapid.IntRange(0, 5).Draw(t, label+" is changed") == 0 {
			m.Incarnation = "other"
		}
		return m
	}
	entries := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) wal.Entry {
		return wal.Entry{
			Index: number(t, "entry index"), Term: number(t, "entry term"),
			Kind: uint8(rapid.IntRange(0, 5).Draw(t, "entry kind")), Data: rapid.SliceOfN(rapid.Byte(), 0, 5).Draw(t, "entry data"),
		}
	}), 0, 4).Draw(t, "entries")
	return consensus.Message{
		Kind: rapid.SampledFrom(allKinds).Draw(t, "kind"), From: member("from"), To: members[0],
		Term: number(t, "term"), Index: number(t, "index"), LogTerm: number(t, "log term"), Entries: entries, Commit: number(t, "commit"),
		Reject: rapid.Bool().Draw(t, "reject"), Hint: number(t, "hint"), HintTerm: number(t, "hint term"), Sent: int64(number(t, "sent")),
		Transfer: rapid.Bool().Draw(t, "transfer"), Members: rapid.SliceOfN(rapid.SampledFrom(members), 0, 3).Draw(t, "members"),
		Offset: number(t, "offset"), Size: number(t, "size"), Data: rapid.SliceOfN(rapid.Byte(), 0, 5).Draw(t, "data"),
	}
}

// TestMalformedMessages guards against a message of a faulty peer that ends the
// process of a control host, by a panic or by the memory that it reserves.
func TestMalformedMessages(t *testing.T) {
	members := []consensus.Member{{ID: "a", Incarnation: "1", Address: "a:1"}, {ID: "b", Incarnation: "1", Address: "b:1"}, {ID: "c", Incarnation: "1", Address: "c:1"}}
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		m, err := consensus.NewMachine(consensus.MachineOptions{
			Self: members[0], MinElectionTimeout: 400 * time.Millisecond, HeartbeatInterval: 100 * time.Millisecond,
			Random: func(n int64) int64 { return n / 2 }, Bootstrap: members[:rapid.IntRange(0, 3).Draw(t, "bootstrap")],
		}, now)
		if err != nil {
			t.Fatal(err)
		}
		for range rapid.IntRange(1, 30).Draw(t, "messages") {
			m.Step(now, drawMessage(t, members))
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "pause")) * time.Millisecond)
			m.Tick(now)
			m.Output(now)
		}
	})
}

// TestMalformedSnapshot guards against a snapshot that is installed although a chunk of it
// is longer than what is left, it has no members, or its halves are of two snapshots.
func TestMalformedSnapshot(t *testing.T) {
	members := []consensus.Member{{ID: "a", Incarnation: "1", Address: "a:1"}, {ID: "b", Incarnation: "1", Address: "b:1"}}
	chunk := func(offset, size uint64, data string, members []consensus.Member) consensus.Message {
		return consensus.Message{
			Kind: consensus.MessageSnapshot, From: consensus.Member{ID: "b", Incarnation: "1"}, To: consensus.Member{ID: "a", Incarnation: "1"},
			Term: 2, Index: 5, LogTerm: 2, Offset: offset, Size: size, Data: []byte(data), Members: members,
		}
	}
	for name, test := range map[string]struct {
		chunks    []consensus.Message
		installed string
	}{
		"whole":                {[]consensus.Message{chunk(0, 4, "ab", members), chunk(2, 4, "cd", members)}, "abcd"},
		"chunk twice":          {[]consensus.Message{chunk(0, 4, "ab", members), chunk(0, 4, "ab", members), chunk(2, 4, "cd", members)}, "abcd"},
		"too long":             {[]consensus.Message{chunk(0, 4, "abcde", members)}, ""},
		"second chunk long":    {[]consensus.Message{chunk(0, 4, "ab", members), chunk(2, 4, "cde", members)}, ""},
		"no members":           {[]consensus.Message{chunk(0, 4, "abcd", nil)}, ""},
		"member without id":    {[]consensus.Message{chunk(0, 4, "abcd", []consensus.Member{{Incarnation: "1"}})}, ""},
		"halves of two":        {[]consensus.Message{chunk(0, 6, "ab", members), chunk(2, 4, "cd", members)}, ""},
		"other one from start": {[]consensus.Message{chunk(0, 6, "ab", members), chunk(0, 4, "cd", members), chunk(2, 4, "ef", members)}, "cdef"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			m, err := consensus.NewMachine(consensus.MachineOptions{
				Self: members[0], MinElectionTimeout: 400 * time.Millisecond, HeartbeatInterval: 100 * time.Millisecond,
				Random: func(n int64) int64 { return n / 2 },
			}, now)
			is.NoErr(err)
			installed := ""
			for _, c := range test.chunks {
				m.Step(now, c)
				if s := m.Output(now).Install; s != nil {
					installed = string(s.Data)
				}
			}
			is.Equal(installed, test.installed)
		})
	}
}

// TestMalformedMembership guards against a membership of which only the beginning is read,
// and against nothing that is taken for a membership without voters.
func TestMalformedMembership(t *testing.T) {
	for name, data := range map[string]string{
		"bytes after it":    "\x91\x81\xa1i\xa1a\x00",
		"nil":               "\xc0",
		"empty":             "\x90",
		"member without id": "\x91\x81\xa1n\xa11",
		"cut":               "\x92\x81\xa1i\xa1a",
	} {
		t.Run(name, func(t *testing.T) {
			_, err := consensus.NewMachine(consensus.MachineOptions{
				Self: consensus.Member{ID: "a", Incarnation: "1"}, MinElectionTimeout: 400 * time.Millisecond, HeartbeatInterval: 100 * time.Millisecond,
				Random: func(n int64) int64 { return n / 2 }, Snapshot: &wal.Snapshot{Index: 5, Term: 2, Members: []byte(data)},
			}, time.Unix(1000, 0))
			is.New(t).True(err != nil)
		})
	}
}

// TestSnapshotThatCannotBeRestored guards against a snapshot that is stored before it is
// known to be one, so that the host never starts again.
func TestSnapshotThatCannotBeRestored(t *testing.T) {
	is := is.New(t)
	opts := consensus.Options{
		ID: "a", Address: "a:1", Dir: t.TempDir(), Join: true,
		Send: func(consensus.Member, consensus.Message) {}, Apply: func(uint64, []byte) []byte { return nil },
		Snapshot: func() []byte { return []byte("good") },
		Restore: func(data []byte) error {
			if string(data) != "good" {
				return errors.New("malformed")
			}
			return nil
		},
	}
	n, err := consensus.Start(opts)
	is.NoErr(err)
	leader := consensus.Member{ID: "b", Incarnation: "1", Address: "b:1"}
	n.Step(consensus.Message{
		Kind: consensus.MessageSnapshot, From: leader, To: n.Self(), Term: 2, Index: 5, LogTerm: 2, Size: 3,
		Data: []byte("bad"), Members: []consensus.Member{leader, n.Self()},
	})
	select {
	case <-n.Done():
	case <-time.After(5 * time.Second):
		t.Fatal("the host goes on without the state of the snapshot")
	}
	is.True(n.Err() != nil)
	n, err = consensus.Start(opts)
	is.NoErr(err)
	is.NoErr(n.Stop(t.Context()))
}
