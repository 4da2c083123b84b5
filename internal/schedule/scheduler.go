// Package schedule hands out the slots of one backend server to statements of
// several traffic ranks: strict order of the ranks with guaranteed minimum
// shares, bounded queues, and refusal at once of what could not start in time.
//
// # Usage
//
//	s := schedule.New(schedule.Options{Slots: 3, Ranks: ranks})
//	slot, err := s.Acquire(ctx, "urgent", deadline) // an error: not run
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

// serviceWeight is the weight of one observation in the smoothed service time.
const serviceWeight = 8

// Scheduler hands out the slots of one server.
//
// A free slot never stays idle while a cycle waits. A rank that is below its
// floor goes first, otherwise the ranks go in strict order; within a rank the
// order is first come, first served. Methods are safe for concurrent use.
type Scheduler struct {
	now    func() time.Time
	window time.Duration

	mu        sync.Mutex
	slots     int
	busy      int
	ranks     []*rankQueue
	last      time.Time // slot time is charged up to here
	bucket    int
	bucketEnd time.Time
	service   time.Duration // smoothed, over all ranks; 0 before the first cycle has ended
	assumed   time.Duration // stands for service until then
	closed    error
}

// New returns a scheduler with free slots.
func New(opts Options) *Scheduler {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Window <= 0 {
		opts.Window = time.Second
	}
	s := &Scheduler{now: opts.Now, window: opts.Window, assumed: opts.Service}
	s.last = s.now()
	s.bucketEnd = s.last.Add(s.window / windowBuckets)
	s.Configure(opts.Slots, opts.Ranks)
	return s
}

// Configure replaces the slots and the ranks. Waiting cycles of a rank that
// is gone are refused as overloaded. Running cycles keep their slots.
func (s *Scheduler) Configure(slots int, ranks []RankSpec) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	old := s.ranks
	s.ranks = nil
	for _, spec := range ranks {
		r := find(old, spec.Name)
		if r == nil {
			r = new(rankQueue)
		}
		r.spec = spec
		s.ranks = append(s.ranks, r)
	}
	for _, r := range old {
		if find(s.ranks, r.spec.Name) == nil {
			refuseAll(r, errkind.New(errkind.Overloaded, "traffic rank %q was removed", r.spec.Name))
		}
	}
	s.slots = max(1, slots)
	s.dispatch()
}

// Acquire waits for a slot. An error means that the cycle got none and must
// not run: Overloaded at once if the queue is full or the cycle could not
// start before the deadline, DeadlineExceeded if the deadline passed while it
// waited, and otherwise the cause of the end of ctx or Cancelled. An unknown
// rank is served as the last one.
func (s *Scheduler) Acquire(ctx context.Context, rank string, deadline time.Time) (Slot, error) {
	s.mu.Lock()
	r, w, err := s.enter(rank, deadline)
	s.mu.Unlock()
	if err != nil || w == nil {
		return Slot{rank: r, start: s.now()}, err
	}
	select {
	case err := <-w.ready:
		return Slot{rank: r, start: s.now()}, err
	case <-ctx.Done():
	}
	return Slot{}, s.abandon(ctx, r, w)
}

// enter takes a free slot, or queues the cycle and returns its waiter.
func (s *Scheduler) enter(rank string, deadline time.Time) (*rankQueue, *waiter, error) {
	if s.closed != nil {
		return nil, nil, s.closed
	}
	s.advance()
	r := find(s.ranks, rank)
	if r == nil {
		r = s.ranks[len(s.ranks)-1]
	}
	left := deadline.Sub(s.last)
	switch {
	case left <= 0:
		return nil, nil, errkind.New(errkind.DeadlineExceeded, "the deadline has passed")
	case s.busy < s.slots:
		// Waiting cycles would have taken the slot, so none waits.
		s.grant(r)
		return r, nil, nil
	case r.length >= r.spec.QueueLimit:
		return nil, nil, errkind.New(errkind.Overloaded, "rank %q: the queue is full", r.spec.Name)
	}
	if wait := s.estimate(r); wait > left {
		return nil, nil, errkind.New(errkind.Overloaded, "rank %q: expected wait of %v exceeds the deadline", r.spec.Name, wait)
	}
	w := &waiter{deadline: deadline, ready: make(chan error, 1)}
	r.push(w)
	return r, w, nil
}

// abandon ends the wait of a cycle whose ctx has ended.
func (s *Scheduler) abandon(ctx context.Context, r *rankQueue, w *waiter) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.queued {
		r.remove(w)
	} else if err := <-w.ready; err == nil {
		s.advance()
		s.busy--
		r.running--
		s.dispatch()
	}
	if cause := context.Cause(ctx); errors.Is(cause, context.DeadlineExceeded) {
		return errkind.Wrap(errkind.DeadlineExceeded, cause, "the deadline passed in the queue")
	} else if errkind.Of(cause) != errkind.Internal {
		return cause
	}
	return errkind.New(errkind.Cancelled, "cancelled in the queue")
}

// Release gives a slot back.
func (s *Scheduler) Release(slot Slot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	took := max(0, s.last.Sub(slot.start))
	smooth(&slot.rank.service, took)
	smooth(&s.service, took)
	s.busy--
	slot.rank.running--
	s.dispatch()
}

// Close refuses all waiting and later cycles with err.
func (s *Scheduler) Close(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = err
	for _, r := range s.ranks {
		refuseAll(r, err)
	}
}

// Load returns the queue length of each rank, the ranks whose queue is full,
// and the smoothed service time.
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
	return queued, full, s.service
}

// Busy returns the number of slots in use.
func (s *Scheduler) Busy() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.busy
}

// dispatch grants free slots to waiting cycles and refuses expired ones.
func (s *Scheduler) dispatch() {
	for s.busy < s.slots {
		r := s.next()
		if r == nil {
			return
		}
		w := r.head
		r.remove(w)
		if !s.last.Before(w.deadline) {
			w.ready <- errkind.New(errkind.DeadlineExceeded, "the deadline passed in the queue")
			continue
		}
		s.grant(r)
		w.ready <- nil
	}
}

// next returns the rank whose first waiting cycle is served next.
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
		if ratio, ok := r.below(s.slots, s.window); ok && (starved == nil || ratio < least) {
			starved, least = r, ratio
		}
	}
	if starved != nil {
		return starved
	}
	return first
}

func (s *Scheduler) grant(r *rankQueue) {
	s.busy++
	r.running++
}

// estimate returns the expected wait of a cycle that joins the queue of r.
// Higher ranks count with their queues and with the share of slot time that
// they took lately, but they cannot push r below its floor.
func (s *Scheduler) estimate(r *rankQueue) time.Duration {
	slots := float64(s.slots)
	var ahead, taken float64
	for _, h := range s.ranks {
		if h == r {
			break
		}
		ahead += float64(h.length) * float64(s.serviceOf(h))
		taken += float64(h.sum) / float64(s.window)
	}
	// The first free slot comes after about service/slots, so a cycle waits
	// for one such time more than there are cycles ahead of it.
	own := float64(r.length+1) * float64(s.serviceOf(r))
	share := max(slots-taken, r.spec.Floor*slots, 0.05*slots)
	wait := ahead/slots + own/share
	if floor := r.spec.Floor * slots; floor > 0 {
		wait = min(wait, own/floor)
	}
	return time.Duration(wait)
}

// serviceOf returns the smoothed service time of a rank. A rank without any
// observation counts as the average.
func (s *Scheduler) serviceOf(r *rankQueue) time.Duration {
	return cmp.Or(r.service, s.service, s.assumed)
}

// advance charges the running cycles up to now.
func (s *Scheduler) advance() {
	now := s.now()
	width := s.window / windowBuckets
	if now.Sub(s.last) > s.window {
		// The whole window has passed: charge only its last part.
		for _, r := range s.ranks {
			r.used, r.sum = [windowBuckets]time.Duration{}, 0
		}
		s.last = now.Add(-s.window + width)
		s.bucketEnd = s.last.Add(width)
	}
	for s.last.Before(now) {
		end := now
		if s.bucketEnd.Before(now) {
			end = s.bucketEnd
		}
		for _, r := range s.ranks {
			r.charge(s.bucket, end.Sub(s.last))
		}
		s.last = end
		if end.Equal(s.bucketEnd) {
			s.bucket = (s.bucket + 1) % windowBuckets
			s.bucketEnd = end.Add(width)
			for _, r := range s.ranks {
				r.clear(s.bucket)
			}
		}
	}
}

func find(ranks []*rankQueue, name string) *rankQueue {
	for _, r := range ranks {
		if r.spec.Name == name {
			return r
		}
	}
	return nil
}

func refuseAll(r *rankQueue, err error) {
	for r.head != nil {
		w := r.head
		r.remove(w)
		w.ready <- err
	}
}

func smooth(avg *time.Duration, d time.Duration) {
	if *avg == 0 {
		*avg = d
		return
	}
	*avg += (d - *avg) / serviceWeight
}
