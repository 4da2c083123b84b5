package schedule

import "time"

// flow is the queue of one customer in a rank. Scheduler.mu guards it.
//
// Virtual time is the slot time that every waiting customer has been given. start
// is the virtual time at which the next request of the customer is due. The slot
// time of a request is not known when it is granted, so start moves by the expected
// time then, and is corrected when the slot is released.
type flow struct {
	head, tail *waiter
	length     int
	running    int
	start      time.Duration
	grantedAt  time.Time     // when a waiting request last got a slot; zero if none has waited since
	interval   time.Duration // smoothed time between two such grants
	heapIndex  int           // in rankQueue.waiting; -1 if no request waits
}

func (f *flow) push(w *waiter) {
	w.prev = f.tail
	if f.tail == nil {
		f.head = w
	} else {
		f.tail.next = w
	}
	f.tail = w
	w.queued = true
	f.length++
}

func (f *flow) remove(w *waiter) {
	if w.prev == nil {
		f.head = w.next
	} else {
		w.prev.next = w.next
	}
	if w.next == nil {
		f.tail = w.prev
	} else {
		w.next.prev = w.prev
	}
	w.prev, w.next, w.queued = nil, nil, false
	f.length--
}

// recordGrant records that a waiting request got a slot.
func (f *flow) recordGrant(now time.Time) {
	if !f.grantedAt.IsZero() {
		smooth(&f.interval, now.Sub(f.grantedAt))
	}
	f.grantedAt = now
	if f.length == 0 {
		f.grantedAt = time.Time{}
	}
}

// requestsBefore returns how many of the waiting requests are due at virtual time
// due or earlier, if each takes cost.
func (f *flow) requestsBefore(due, cost time.Duration) int {
	if due < f.start {
		return 0
	}
	return min(f.length, int((due-f.start)/cost)+1)
}
