package entry

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

// samples is the list of samples of a group in the order of their start.
type samples struct {
	list []sample
}

// add inserts s. Requests may finish in another order than they started.
func (l *samples) add(s sample) {
	if n := len(l.list); n >= 2 && s.at.After(l.list[n-1].at) && l.list[n-1].at.Sub(l.list[n-2].at) < sampleGap {
		l.list[n-1] = s
		return
	}
	i := sort.Search(len(l.list), func(i int) bool { return l.list[i].at.After(s.at) })
	l.list = append(l.list, sample{})
	copy(l.list[i+1:], l.list[i:])
	l.list[i] = s
	l.trim()
}

// trim drops samples that are too old, but keeps the newest.
func (l *samples) trim() {
	newest := l.list[len(l.list)-1].at
	n := 0
	for n < len(l.list)-1 && newest.Sub(l.list[n].at) > maxSampleAge {
		n++
	}
	if n > len(l.list)/4 { // not one by one, because it moves the rest
		l.list = append(l.list[:0], l.list[n:]...)
	}
}

// newest returns the sample that started last.
func (l *samples) newest() (sample, bool) {
	if len(l.list) == 0 {
		return sample{}, false
	}
	return l.list[len(l.list)-1], true
}

// oldestSince returns the oldest sample that started at t or later.
func (l *samples) oldestSince(t time.Time) (sample, bool) {
	i := sort.Search(len(l.list), func(i int) bool { return !l.list[i].at.Before(t) })
	if i == len(l.list) {
		return sample{}, false
	}
	return l.list[i], true
}
