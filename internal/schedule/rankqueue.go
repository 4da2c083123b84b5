package schedule

import (
	"math"
	"time"
)

// windowBuckets is the resolution of the sliding window of the floors.
const windowBuckets = 10

// rankQueue is the queue and the account of one rank. Scheduler.mu guards it.
type rankQueue struct {
	spec       RankSpec
	head, tail *waiter
	length     int
	running    int
	service    time.Duration                // smoothed slot time of a cycle
	used       [windowBuckets]time.Duration // slot time, by bucket of the window
	sum        time.Duration                // of used
}

func (r *rankQueue) push(w *waiter) {
	w.prev = r.tail
	if r.tail == nil {
		r.head = w
	} else {
		r.tail.next = w
	}
	r.tail = w
	w.queued = true
	r.length++
}

func (r *rankQueue) remove(w *waiter) {
	if w.prev == nil {
		r.head = w.next
	} else {
		w.prev.next = w.next
	}
	if w.next == nil {
		r.tail = w.prev
	} else {
		w.next.prev = w.prev
	}
	w.prev, w.next, w.queued = nil, nil, false
	r.length--
}

// charge adds slot time to a bucket.
func (r *rankQueue) charge(bucket int, d time.Duration) {
	d *= time.Duration(r.running)
	r.used[bucket] += d
	r.sum += d
}

func (r *rankQueue) clear(bucket int) {
	r.sum -= r.used[bucket]
	r.used[bucket] = 0
}

// below reports whether the rank has had less than its floor, given the slot
// time of the whole window. Its running cycles are bounded by the floor's
// share of the slots: otherwise a rank that was idle would take every slot
// until the window has filled, and delay the urgent rank meanwhile.
func (r *rankQueue) below(slots int, window time.Duration) (float64, bool) {
	if r.spec.Floor <= 0 || r.running >= max(1, int(math.Ceil(r.spec.Floor*float64(slots)))) {
		return 0, false
	}
	share := float64(r.sum) / float64(window*time.Duration(slots))
	return share / r.spec.Floor, share < r.spec.Floor
}
