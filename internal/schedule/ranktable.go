package schedule

import (
	"slices"
	"strconv"
)

const (
	// maxTableRanks bounds the ranks of a RankTable. Every statement costs time, and
	// every server memory, in proportion to them.
	maxTableRanks = 16
	// maxTableFloorSum bounds the sum of the floors of a RankTable: the rest of the
	// slot time is given out in strict order of the ranks.
	maxTableFloorSum = 0.5
)

// RankTable maps rank numbers of any size and count to the ranks of a Scheduler: one
// for each number in use, in ascending order. If there are more than 16, those from
// the 16th on share the last rank. The zero value has one rank. A RankTable is
// immutable.
type RankTable struct {
	numbers []int // lowest number of each rank, in ascending order
}

// NewRankTable returns the table for the rank numbers in use, which may repeat.
func NewRankTable(inUse []int) RankTable {
	numbers := slices.Clone(inUse)
	slices.Sort(numbers)
	numbers = slices.Compact(numbers)
	return RankTable{numbers: slices.Clone(numbers[:min(len(numbers), maxTableRanks)])}
}

// Specs returns the ranks for Scheduler.Configure. Each rank but the first has the
// given floor, or an equal part of one half if that is less.
func (t RankTable) Specs(floor float64, queueLimit int) []RankSpec {
	specs := make([]RankSpec, max(1, len(t.numbers)))
	for i := range specs {
		specs[i] = RankSpec{Name: strconv.Itoa(i), QueueLimit: queueLimit}
		if i > 0 {
			specs[i].Floor = min(floor, maxTableFloorSum/float64(len(specs)-1))
		}
	}
	return specs
}

// Name returns the name, in Specs, of the rank of a number. A number that is not in
// use belongs to the next more urgent rank.
func (t RankTable) Name(number int) string { return strconv.Itoa(t.index(number)) }

// Lowest returns the lowest number of the rank of a number.
func (t RankTable) Lowest(number int) int {
	if len(t.numbers) == 0 {
		return 0
	}
	return t.numbers[t.index(number)]
}

func (t RankTable) index(number int) int {
	i, found := slices.BinarySearch(t.numbers, number)
	if !found {
		i--
	}
	return max(0, i)
}
