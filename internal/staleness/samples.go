// Package staleness determines the log position that a server must have applied
// for a read with a maximum staleness: the position of the oldest sample of the
// primary's log that is not older than the maximum.
//
// # Usage
//
//	samples.Add(staleness.Sample{At: sent, Pos: answer.Position})
//	s, ok := samples.OldestSince(now.Add(-accepted)) // require s.Pos
package staleness

import (
	"sort"
	"time"
)

// maxSampleAge is how long samples are kept. A read that accepts older data gets
// the oldest sample, which is stricter than necessary.
const maxSampleAge = time.Minute

// minSampleInterval is the minimum interval between the samples that are kept,
// except for the newest. New sessions may request the position hundreds of times
// a second.
const minSampleInterval = 25 * time.Millisecond

// Samples is the list of samples of a group, ordered by At.
type Samples struct {
	list []Sample
}

// Add inserts s in order of At. Requests may finish in another order than they
// started.
func (l *Samples) Add(s Sample) {
	if n := len(l.list); n >= 2 && s.At.After(l.list[n-1].At) && l.list[n-1].At.Sub(l.list[n-2].At) < minSampleInterval {
		l.list[n-1] = s
		return
	}
	i := sort.Search(len(l.list), func(i int) bool { return l.list[i].At.After(s.At) })
	l.list = append(l.list, Sample{})
	copy(l.list[i+1:], l.list[i:])
	l.list[i] = s
	l.trim()
}

// trim removes samples older than maxSampleAge, but keeps the newest.
func (l *Samples) trim() {
	newest := l.list[len(l.list)-1].At
	n := 0
	for n < len(l.list)-1 && newest.Sub(l.list[n].At) > maxSampleAge {
		n++
	}
	if n > len(l.list)/4 { // in batches, because removal moves the rest
		l.list = append(l.list[:0], l.list[n:]...)
	}
}

// Newest returns the sample with the latest At; false if there is none.
func (l *Samples) Newest() (Sample, bool) {
	if len(l.list) == 0 {
		return Sample{}, false
	}
	return l.list[len(l.list)-1], true
}

// OldestSince returns the oldest sample with At at t or later; false if there is
// none.
func (l *Samples) OldestSince(t time.Time) (Sample, bool) {
	i := sort.Search(len(l.list), func(i int) bool { return !l.list[i].At.Before(t) })
	if i == len(l.list) {
		return Sample{}, false
	}
	return l.list[i], true
}

// Len returns the number of samples.
func (l *Samples) Len() int { return len(l.list) }
