package correlation

import (
	"hash/maphash"
	"slices"
)

// MaxAnswers is the number of answers after which a connection must not be used for
// another transaction or statement: so many receipts are remembered, in 8 bytes each, and a
// copy of an older answer would not be recognized.
const MaxAnswers = 1024

// receipts is a set of the last receipts of one connection, as hashes.
type receipts struct {
	seed   maphash.Seed
	hashes []uint64 // oldest at next once it is full
	next   int
}

func newReceipts() receipts { return receipts{seed: maphash.MakeSeed()} }

// contains reports whether the receipt was added.
func (s *receipts) contains(receipt string) bool {
	return slices.Contains(s.hashes, maphash.String(s.seed, receipt))
}

// add adds a receipt, in place of the oldest one if there are too many.
func (s *receipts) add(receipt string) {
	h := maphash.String(s.seed, receipt)
	if len(s.hashes) < MaxAnswers {
		s.hashes = append(s.hashes, h)
		return
	}
	s.hashes[s.next] = h
	s.next = (s.next + 1) % MaxAnswers
}
