// Package schedule allocates the execution slots of one backend server to
// requests of several traffic ranks. Ranks have strict priority with guaranteed
// minimum shares and bounded queues. Requests that are not expected to start
// before their deadline are refused at once.
//
// A request is one statement, or one cycle of client messages that is answered
// as a whole.
//
// # Customers
//
// Within a rank, customers that wait share the slot time equally (start-time fair
// queueing, Goyal et al. 1996). A customer whose load exceeds its share waits, and
// is refused, without delaying the others. This answers a load in which one customer
// sends many times as much as usual. Requests without a customer count as one more
// customer, so without customers the order is first come, first served.
//
// # Usage
//
//	s := schedule.New(schedule.Options{Slots: 3, Ranks: ranks})
//	slot, err := s.Acquire(ctx, "urgent", customer, deadline) // after an error, don't run the request
//	defer s.Release(slot)
package schedule

import (
	"cmp"
	"context"
	"errors"
	"sync"
	"time"

	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// smoothingDivisor is the inverse of the weight of one observation in the
// smoothed service time.
const smoothingDivisor = 8

// Scheduler allocates the slots of one server.
//
// A free slot never stays idle while a request waits. Ranks below their floor are
// served first, the others in strict priority order. Within a rank, customers share
// the slot time equally, and the order of the requests of one customer is first
// come, first served. Methods are safe for concurrent use.
type Scheduler struct {
	now    func() time.Time
	window time.Duration

	mu                 sync.Mutex
	slots              int
	busy               int
	ranks              []*rankQueue
	byName             map[string]*rankQueue
	chargedUntil       time.Time // time up to which slot time has been charged
	bucket             int
	bucketEnd          time.Time
	serviceTime        time.Duration // smoothed over all ranks; 0 until the first request has ended
	assumedServiceTime time.Duration // used until serviceTime is known
	closeErr           error
}

// New returns a scheduler whose slots are all free.
func New(opts Options) *Scheduler {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Window <= 0 {
		opts.Window = time.Second
	}
	s := &Scheduler{now: opts.Now, window: opts.Window, assumedServiceTime: opts.AssumedServiceTime}
	s.chargedUntil = s.now()
	s.bucketEnd = s.chargedUntil.Add(s.window / windowBuckets)
	s.Configure(opts.Slots, opts.Ranks)
	return s
}

// Configure sets the number of slots and the ranks. Waiting requests of a removed
// rank are refused as Overloaded. Running requests keep their slots.
func (s *Scheduler) Configure(slots int, ranks []RankSpec) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	old := s.byName
	s.ranks, s.byName = nil, make(map[string]*rankQueue, len(ranks))
	for _, spec := range ranks {
		r := old[spec.Name]
		if r == nil {
			r = new(rankQueue)
		}
		r.spec = spec
		s.ranks, s.byName[spec.Name] = append(s.ranks, r), r
	}
	for name, r := range old {
		if s.byName[name] == nil {
			refuseAll(r, errkind.New(errkind.Overloaded, "traffic rank %q was removed", name))
		}
	}
	s.slots = max(1, slots)
	s.dispatch()
}

// Acquire waits for a slot. customer is empty for a request without one. After an
// error the request has no slot and must not run. The error is Overloaded, without
// waiting, if the request is not expected to start before the deadline. It is also
// Overloaded, possibly after a wait, if the queue is full and the request is the
// newest of the customer with the longest queue. It is DeadlineExceeded if the
// deadline passed while it waited; and otherwise the cause of the cancellation of
// ctx, or Cancelled. An unknown rank is treated as the lowest one.
func (s *Scheduler) Acquire(ctx context.Context, rank, customer string, deadline time.Time) (Slot, error) {
	s.mu.Lock()
	slot, r, w, err := s.tryAcquire(rank, customer, deadline)
	s.mu.Unlock()
	if err != nil || w == nil {
		return slot, err
	}
	select {
	case err := <-w.ready:
		return Slot{rank: r, flow: w.flow, charged: w.charged, start: s.now()}, err
	case <-ctx.Done():
	}
	return Slot{}, s.cancelWait(ctx, r, w)
}

// tryAcquire takes a free slot and returns a nil waiter, or queues the request
// and returns its waiter. The caller holds mu.
func (s *Scheduler) tryAcquire(rank, customer string, deadline time.Time) (Slot, *rankQueue, *waiter, error) {
	if s.closeErr != nil {
		return Slot{}, nil, nil, s.closeErr
	}
	s.advance()
	r := s.byName[rank]
	if r == nil {
		r = s.ranks[len(s.ranks)-1]
	}
	remaining := deadline.Sub(s.chargedUntil)
	if remaining <= 0 {
		return Slot{}, nil, nil, errkind.New(errkind.DeadlineExceeded, "the deadline has passed")
	}
	f := r.flow(customer)
	if s.busy < s.slots {
		// A waiting request would have been given the slot, so none waits.
		return Slot{rank: r, flow: f, charged: s.grant(r, f), start: s.now()}, r, nil, nil
	}
	full := r.length >= r.spec.QueueLimit
	longest := r.longestFlow()
	if full && (longest == nil || f.length+1 >= longest.length) {
		return Slot{}, nil, nil, errQueueFull(r)
	}
	if wait := s.estimateWait(r, f); wait > remaining {
		return Slot{}, nil, nil, errkind.New(errkind.Overloaded, "rank %q: expected wait of %v exceeds the deadline", r.spec.Name, wait)
	}
	if full {
		newest := longest.tail
		r.remove(newest)
		newest.ready <- errQueueFull(r)
	}
	w := &waiter{flow: f, deadline: deadline, ready: make(chan error, 1)}
	r.push(w)
	return Slot{}, r, w, nil
}

func errQueueFull(r *rankQueue) error {
	return errkind.New(errkind.Overloaded, "rank %q: the queue is full", r.spec.Name)
}

// cancelWait removes a request whose ctx has ended, or frees the slot that it was
// granted in the meantime. It returns the error for the caller.
func (s *Scheduler) cancelWait(ctx context.Context, r *rankQueue, w *waiter) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.queued {
		r.remove(w)
	} else if err := <-w.ready; err == nil {
		s.advance()
		s.busy--
		r.end(w.flow, w.charged, 0)
		s.dispatch()
	}
	if cause := context.Cause(ctx); errors.Is(cause, context.DeadlineExceeded) {
		return errkind.Wrap(errkind.DeadlineExceeded, cause, "the deadline passed in the queue")
	} else if errkind.Of(cause) != errkind.Internal {
		return cause
	}
	return errkind.New(errkind.Cancelled, "cancelled in the queue")
}

// Release frees a slot.
func (s *Scheduler) Release(slot Slot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	took := max(0, s.chargedUntil.Sub(slot.start))
	smooth(&slot.rank.serviceTime, took)
	smooth(&s.serviceTime, took)
	s.busy--
	slot.rank.end(slot.flow, slot.charged, took)
	s.dispatch()
}

// Close refuses all waiting and later requests with err.
func (s *Scheduler) Close(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeErr = err
	for _, r := range s.ranks {
		refuseAll(r, err)
	}
}

// Load returns the queue length of each rank with waiting requests, the ranks
// whose queue is full, and the smoothed service time.
func (s *Scheduler) Load() (queued map[string]int, full []string, service time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.ranks {
		if r.length == 0 {
			continue
		}
		if queued == nil {
			queued = make(map[string]int, len(s.ranks))
		}
		queued[r.spec.Name] = r.length
		if r.length >= r.spec.QueueLimit {
			full = append(full, r.spec.Name)
		}
	}
	return queued, full, s.serviceTime
}

// Busy returns the number of slots in use.
func (s *Scheduler) Busy() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.busy
}

// dispatch grants free slots to waiting requests and refuses those whose deadline
// has passed.
func (s *Scheduler) dispatch() {
	for s.busy < s.slots {
		r := s.next()
		if r == nil {
			return
		}
		w := r.first()
		r.remove(w)
		if !s.chargedUntil.Before(w.deadline) {
			w.ready <- errkind.New(errkind.DeadlineExceeded, "the deadline passed in the queue")
			continue
		}
		w.charged = s.grant(r, w.flow)
		w.flow.recordGrant(s.chargedUntil)
		w.ready <- nil
	}
}

// next returns the rank whose first waiting request is served next: the one
// furthest below its floor, otherwise the highest one; nil if none waits.
func (s *Scheduler) next() *rankQueue {
	var first, starved *rankQueue
	var least float64
	for _, r := range s.ranks {
		if r.length == 0 {
			continue
		}
		if first == nil {
			first = r
		}
		if ratio, ok := r.belowFloor(s.slots, s.window); ok && (starved == nil || ratio < least) {
			starved, least = r, ratio
		}
	}
	if starved != nil {
		return starved
	}
	return first
}

// unknownServiceTime is the slot time that a customer is charged for a request
// before any has ended. It is corrected when the request ends.
const unknownServiceTime = time.Millisecond

// grant gives a slot to a request of f and returns the slot time that it charges.
func (s *Scheduler) grant(r *rankQueue, f *flow) time.Duration {
	s.busy++
	cost := s.chargedServiceTime(r)
	r.begin(f, cost)
	return cost
}

func (s *Scheduler) chargedServiceTime(r *rankQueue) time.Duration {
	return cmp.Or(s.expectedServiceTime(r), unknownServiceTime)
}

// estimateWait returns the expected wait of a request that joins the queue of f in
// r. Of r it includes the requests that are served before, also later ones of other
// customers, at the pace of late. It includes the queues of higher ranks, and
// assumes that these continue to use their share of slot time in the window, but
// leave r at least its floor and 5% of the slots, so that the estimate stays finite.
func (s *Scheduler) estimateWait(r *rankQueue, f *flow) time.Duration {
	slots := float64(s.slots)
	var workAhead, higherShare float64
	for _, higher := range s.ranks {
		if higher == r {
			break
		}
		workAhead += float64(higher.length) * float64(s.expectedServiceTime(higher))
		higherShare += float64(higher.totalSlotTime) / float64(s.window)
	}
	// The first slot becomes free after about serviceTime/slots, so a request
	// waits for one such time more than there are requests ahead of it.
	ownWork := float64(r.requestsAhead(f, s.chargedServiceTime(r))+1) * float64(s.expectedServiceTime(r))
	share := max(slots-higherShare, r.spec.Floor*slots, 0.05*slots)
	wait := workAhead/slots + ownWork/share
	if floor := r.spec.Floor * slots; floor > 0 {
		wait = min(wait, ownWork/floor)
	}
	if len(r.flows) > 1 && f.length > 0 {
		// Later requests of other customers may be due earlier than this one. A
		// customer above its share waits as long as its requests did of late.
		wait = max(wait, float64(f.length+1)*float64(f.interval))
	}
	return time.Duration(wait)
}

// expectedServiceTime returns the smoothed service time of a rank, or the average
// of all ranks if the rank has no observation yet.
func (s *Scheduler) expectedServiceTime(r *rankQueue) time.Duration {
	return cmp.Or(r.serviceTime, s.serviceTime, s.assumedServiceTime)
}

// advance charges the slot time of the running requests up to now.
func (s *Scheduler) advance() {
	now := s.now()
	width := s.window / windowBuckets
	if now.Sub(s.chargedUntil) > s.window {
		// All slot time charged so far lies before the window, so the running
		// requests are charged from the start of the window only.
		for _, r := range s.ranks {
			r.slotTime, r.totalSlotTime = [windowBuckets]time.Duration{}, 0
		}
		s.chargedUntil = now.Add(-s.window + width)
		s.bucketEnd = s.chargedUntil.Add(width)
	}
	for s.chargedUntil.Before(now) {
		end := now
		if s.bucketEnd.Before(now) {
			end = s.bucketEnd
		}
		for _, r := range s.ranks {
			r.charge(s.bucket, end.Sub(s.chargedUntil))
		}
		s.chargedUntil = end
		if end.Equal(s.bucketEnd) {
			s.bucket = (s.bucket + 1) % windowBuckets
			s.bucketEnd = end.Add(width)
			for _, r := range s.ranks {
				r.clear(s.bucket)
			}
		}
	}
}

func refuseAll(r *rankQueue, err error) {
	for r.length > 0 {
		w := r.first()
		r.remove(w)
		w.ready <- err
	}
}

func smooth(avg *time.Duration, d time.Duration) {
	if *avg == 0 {
		*avg = d
		return
	}
	*avg += (d - *avg) / smoothingDivisor
}
