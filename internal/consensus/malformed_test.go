package consensus_test

import (
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/consensus"
	"github.com/arbutusring/arbutusring/internal/wal"
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
