package allowance

import (
	"context"
	"time"

	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// CallFunc sends a call to the ledger in force. After an error its reply, if one
// arrives, must be ignored.
type CallFunc func(ctx context.Context, args *directoryrpc.AllowanceArgs) (*directoryrpc.AllowanceReply, error)

const (
	// callTimeout bounds a call with its retries at other control hosts.
	callTimeout = time.Second
	// failedCallDelay keeps failing calls from spinning.
	failedCallDelay = 50 * time.Millisecond
	// lastCallTimeout bounds the call that returns the tokens. If it fails, the leader
	// takes them as used.
	lastCallTimeout = 300 * time.Millisecond
)

// Loop makes the calls of the stock until ctx ends. Then it returns the free tokens.
func (s *Stock) Loop(ctx context.Context, call CallFunc) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		due, ok := s.nextCall()
		left := due.Sub(s.now())
		if ok && left <= 0 {
			if !s.call(ctx, call, s.request(false)) {
				timer.Reset(failedCallDelay)
				select {
				case <-timer.C:
				case <-ctx.Done():
				}
			}
			continue
		}
		var expired <-chan time.Time
		if ok {
			timer.Reset(left)
			expired = timer.C
		}
		select {
		case <-s.wake:
		case <-expired:
		case <-ctx.Done():
		}
	}
	if len(s.Held()) > 0 {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lastCallTimeout)
		defer cancel()
		s.call(ctx, call, s.request(true))
	}
}

// call makes one call and reports whether it was answered.
func (s *Stock) call(ctx context.Context, call CallFunc, args *directoryrpc.AllowanceArgs) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := call(ctx, args)
	if err != nil || reply.Kind != errkind.OK {
		s.fail(args)
		return false
	}
	s.apply(args, reply)
	return true
}
