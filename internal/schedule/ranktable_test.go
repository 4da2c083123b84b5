package schedule_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/schedule"
	"github.com/matryer/is"
)

// TestRankTable guards against work and memory that grow with the size of a rank
// number or with the count of the numbers, against a changed order of the ranks, and
// against floors that leave the first rank no slot time of its own.
func TestRankTable(t *testing.T) {
	hundred := make([]int, 100)
	for i := range hundred {
		hundred[i] = 1000 * (i + 1)
	}
	for _, tc := range []struct {
		name   string
		inUse  []int
		ranks  int
		number int
		rank   string
		lowest int
	}{
		{"no rank", nil, 1, 7, "0", 0},
		{"one rank", []int{5}, 1, 5, "0", 5},
		{"repeated", []int{2, 0, 1, 0, 2}, 3, 1, "1", 1},
		{"large numbers", []int{math.MaxInt, 0, 65535}, 3, 65535, "1", 65535},
		{"largest number", []int{math.MaxInt, 0, 65535}, 3, math.MaxInt, "2", math.MaxInt},
		{"not in use", []int{0, 10, 20}, 3, 15, "1", 10},
		{"below the first", []int{10, 20}, 2, 3, "0", 10},
		{"many numbers, urgent", hundred, 16, 2000, "1", 2000},
		{"many numbers, the last", hundred, 16, 100_000, "15", 16_000},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			table := schedule.NewRankTable(tc.inUse)
			specs := table.Specs(0.1, 500)
			is.Equal(len(specs), tc.ranks)
			is.Equal(table.Name(tc.number), tc.rank)
			is.Equal(table.Lowest(tc.number), tc.lowest)
			sum := 0.0
			for _, s := range specs {
				is.Equal(s.QueueLimit, 500)
				sum += s.Floor
			}
			is.Equal(specs[0].Floor, 0.0)
			is.True(sum < 0.5+1e-9)
			is.True(slices.ContainsFunc(specs, func(s schedule.RankSpec) bool { return s.Name == tc.rank }))
		})
	}
}

// TestConfigureManyRanks guards against a change of the configuration that computes
// for longer than a change may take to be in force, because of many declared ranks.
func TestConfigureManyRanks(t *testing.T) {
	is := is.New(t)
	specs := make([]schedule.RankSpec, 50_000)
	for i := range specs {
		specs[i] = schedule.RankSpec{Name: fmt.Sprint("rank ", i), QueueLimit: 10}
	}
	s := schedule.New(schedule.Options{Slots: 3, Ranks: specs})
	begun := time.Now()
	s.Configure(3, specs)
	is.True(time.Since(begun) < 4*time.Second)
}
