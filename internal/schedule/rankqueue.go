package schedule

import (
	"math"
	"time"
)

// windowBuckets is the number of buckets of the sliding window of the floors.
const windowBuckets = 10

// rankQueue is the queue of one rank and its use of slot time. Scheduler.mu guards
// it.
type rankQueue struct {
	spec          RankSpec
	head, tail    *waiter
	length        int
	running       int
	serviceTime   time.Duration                // smoothed slot time of a request
	slotTime      [windowBuckets]time.Duration // slot time used, by bucket of the window
	totalSlotTime time.Duration                // sum of slotTime
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

// charge adds d of slot time to a bucket for each running request.
func (r *rankQueue) charge(bucket int, d time.Duration) {
	d *= time.Duration(r.running)
	r.slotTime[bucket] += d
	r.totalSlotTime += d
}

func (r *rankQueue) clear(bucket int) {
	r.totalSlotTime -= r.slotTime[bucket]
	r.slotTime[bucket] = 0
}

// belowFloor reports whether the rank has used less than its floor of the slot
// time in the window, and returns the ratio of its share to the floor. It returns
// false if the rank's running requests already fill the floor's share of the
// slots: otherwise a rank that was idle would take every slot until the window
// has filled, and delay the higher ranks meanwhile.
func (r *rankQueue) belowFloor(slots int, window time.Duration) (float64, bool) {
	if r.spec.Floor <= 0 || r.running >= max(1, int(math.Ceil(r.spec.Floor*float64(slots)))) {
		return 0, false
	}
	share := float64(r.totalSlotTime) / float64(window*time.Duration(slots))
	return share / r.spec.Floor, share < r.spec.Floor
}
