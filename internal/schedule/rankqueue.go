package schedule

import (
	"container/heap"
	"math"
	"time"
)

// windowBuckets is the number of buckets of the sliding window of the floors.
const windowBuckets = 10

// minSweptFlows is the number of flows below which idle ones are not removed.
const minSweptFlows = 32

// rankQueue is the queue of one rank and its use of slot time. Scheduler.mu guards
// it.
type rankQueue struct {
	spec          RankSpec
	flows         map[string]*flow // by customer
	sweepAt       int              // number of flows at which idle ones are removed
	waiting       flowHeap
	length        int           // waiting requests of all flows
	arrivals      uint64        // requests that have waited
	virtualTime   time.Duration // start of the latest request that was granted a slot
	running       int
	serviceTime   time.Duration                // smoothed slot time of a request
	slotTime      [windowBuckets]time.Duration // slot time used, by bucket of the window
	totalSlotTime time.Duration                // sum of slotTime
}

// flow returns the flow of a customer, which starts no earlier than now in virtual
// time: a customer that was idle has no claim to the slot time that others used.
func (r *rankQueue) flow(customer string) *flow {
	f := r.flows[customer]
	if f == nil {
		if r.flows == nil {
			r.flows, r.sweepAt = make(map[string]*flow), minSweptFlows
		}
		if len(r.flows) >= r.sweepAt {
			r.sweep()
		}
		f = &flow{heapIndex: -1}
		r.flows[customer] = f
	}
	if f.length == 0 {
		f.start = max(f.start, r.virtualTime)
	}
	return f
}

// sweep removes the flows without requests whose past use no longer matters.
func (r *rankQueue) sweep() {
	for customer, f := range r.flows {
		if f.length == 0 && f.running == 0 && f.start <= r.virtualTime {
			delete(r.flows, customer)
		}
	}
	r.sweepAt = max(minSweptFlows, 2*len(r.flows))
}

func (r *rankQueue) push(w *waiter) {
	r.arrivals++
	w.arrival = r.arrivals
	w.flow.push(w)
	r.length++
	if w.flow.length == 1 {
		heap.Push(&r.waiting, w.flow)
	}
}

func (r *rankQueue) remove(w *waiter) {
	f := w.flow
	f.remove(w)
	r.length--
	if f.length == 0 {
		heap.Remove(&r.waiting, f.heapIndex)
	} else {
		heap.Fix(&r.waiting, f.heapIndex)
	}
}

// first returns the waiting request that is served next, or nil.
func (r *rankQueue) first() *waiter {
	if len(r.waiting) == 0 {
		return nil
	}
	return r.waiting[0].head
}

// longestFlow returns the flow with most waiting requests, or nil if none wait.
func (r *rankQueue) longestFlow() *flow {
	var longest *flow
	for _, f := range r.waiting {
		if longest == nil || f.length > longest.length {
			longest = f
		}
	}
	return longest
}

// shift moves the virtual start of the next request of a flow by d.
func (r *rankQueue) shift(f *flow, d time.Duration) {
	f.start += d
	if f.heapIndex >= 0 {
		heap.Fix(&r.waiting, f.heapIndex)
	}
}

// begin counts a request of a flow that gets a slot for an expected time.
func (r *rankQueue) begin(f *flow, expected time.Duration) {
	r.virtualTime = max(r.virtualTime, f.start)
	r.running++
	f.running++
	r.shift(f, expected)
}

// end counts the end of a request that was expected to take expected and took took.
func (r *rankQueue) end(f *flow, expected, took time.Duration) {
	r.running--
	f.running--
	r.shift(f, took-expected)
}

// requestsAhead returns how many waiting requests are served before another one
// that joins the queue of f now, if each takes cost.
func (r *rankQueue) requestsAhead(f *flow, cost time.Duration) int {
	due := f.start + time.Duration(f.length)*cost
	n := f.length
	for _, other := range r.waiting {
		if other != f {
			n += other.requestsBefore(due, cost)
		}
	}
	return n
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
