// Package staleness knows which position a read must see that accepts data of
// a certain age: that of the oldest sample of the primary's log within the age.
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

// maxSampleAge is how long samples are kept. A read that accepts older data
// gets the oldest sample, which is stricter than necessary.
const maxSampleAge = time.Minute

// sampleGap is the least distance of samples that are kept, apart from the
// newest. New sessions may ask for the position hundreds of times in a second.
const sampleGap = 25 * time.Millisecond

// Samples is the list of samples of a group in the order of their start.
type Samples struct {
	list []Sample
}

// Add inserts s. Requests may finish in another order than they started.
func (l *Samples) Add(s Sample) {
	if n := len(l.list); n >= 2 && s.At.After(l.list[n-1].At) && l.list[n-1].At.Sub(l.list[n-2].At) < sampleGap {
		l.list[n-1] = s
		return
	}
	i := sort.Search(len(l.list), func(i int) bool { return l.list[i].At.After(s.At) })
	l.list = append(l.list, Sample{})
	copy(l.list[i+1:], l.list[i:])
	l.list[i] = s
	l.trim()
}

// trim drops samples that are too old, but keeps the newest.
func (l *Samples) trim() {
	newest := l.list[len(l.list)-1].At
	n := 0
	for n < len(l.list)-1 && newest.Sub(l.list[n].At) > maxSampleAge {
		n++
	}
	if n > len(l.list)/4 { // not one by one, because it moves the rest
		l.list = append(l.list[:0], l.list[n:]...)
	}
}

// Newest returns the sample that started last.
func (l *Samples) Newest() (Sample, bool) {
	if len(l.list) == 0 {
		return Sample{}, false
	}
	return l.list[len(l.list)-1], true
}

// OldestSince returns the oldest sample that started at t or later.
func (l *Samples) OldestSince(t time.Time) (Sample, bool) {
	i := sort.Search(len(l.list), func(i int) bool { return !l.list[i].At.Before(t) })
	if i == len(l.list) {
		return Sample{}, false
	}
	return l.list[i], true
}

// Len returns the number of samples.
func (l *Samples) Len() int { return len(l.list) }
