package proxy

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"goldcrestwick/internal/process/sched"
	"goldcrestwick/internal/request/entry"
	"goldcrestwick/internal/request/refuse"
)

const (
	// minServeTime is the least time until the end of serving for which a request whose
	// deadline is later is still sent: most of those that are sent later would be cut.
	minServeTime = 2 * time.Second
	// stopRetryAfter is the wait after which a caller may try another node, and aloneRetryAfter
	// that while no other one is ready: callers try only a few times.
	stopRetryAfter  = 200 * time.Millisecond
	aloneRetryAfter = time.Second
)

// ErrStopped is the cause of the end of a request's contexts when the node stops.
var ErrStopped = eris.New("this node stopped before the answer was whole")

// stopState is how far the stop of the node has come. The zero value is that of a node that does
// not stop.
type stopState struct {
	once sync.Once
	// unsent is done when requests that have not been sent and whose deadline is after end are
	// refused, and all when every request ends.
	unsent, all          context.Context
	refuseUnsent, endAll context.CancelFunc
	mu                   sync.Mutex
	isStopping           bool
	refuseLongFrom, end  time.Time
	// early is the number of requests that arrived before refuseLongFrom, and cut that of those
	// that were ended after they were sent.
	early, cut atomic.Int64
}

func (s *stopState) prepare() {
	s.once.Do(func() {
		s.unsent, s.refuseUnsent = context.WithCancel(context.Background())
		s.all, s.endAll = context.WithCancel(context.Background())
	})
}

// Stop makes the Proxy end its requests by the given time. From refuseLong on it refuses each
// new request with a later deadline, and from minServeTime before the end those that have not
// been sent. At the end, a request that has not run is refused as such, and one that may have
// gets an answer that says so; only a stream that has begun is cut.
func (p *Proxy) Stop(refuseLong, end time.Time) {
	s := &p.stop
	s.prepare()
	s.mu.Lock()
	s.isStopping, s.refuseLongFrom, s.end = true, refuseLong, end
	s.mu.Unlock()
	time.AfterFunc(max(time.Until(end.Add(-minServeTime)), time.Until(refuseLong)), s.refuseUnsent)
	time.AfterFunc(time.Until(end), s.endAll)
}

// EarlyRequests returns the number of requests in progress that arrived before new ones with a
// deadline after the end were refused.
func (p *Proxy) EarlyRequests() int { return int(p.stop.early.Load()) }

// CutRequests returns the number of requests that the stop has ended after they were sent: their
// callers got a part of a stream, or an answer that says that the request may have run.
func (p *Proxy) CutRequests() int { return int(p.stop.cut.Load()) }

// countCut counts a request if its result is one that the stop has brought about.
func (s *stopState) countCut(ctx context.Context, r Result) {
	if isEndedByStop(ctx) && (r.Truncated || r.Refusal != nil && r.Refusal.MayHaveRun()) {
		s.cut.Add(1)
	}
}

// begin counts a request, whose end must be reported by done.
func (s *stopState) begin() (done func()) {
	s.mu.Lock()
	isLate := s.isStopping && !time.Now().Before(s.refuseLongFrom)
	s.mu.Unlock()
	if isLate {
		return func() {}
	}
	s.early.Add(1)
	return func() { s.early.Add(-1) }
}

// refusesNew reports whether a request that arrives now is refused.
func (s *stopState) refusesNew(deadline time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isStopping && !time.Now().Before(s.refuseLongFrom) && deadline.After(s.end)
}

// bind returns a context for a request that has not been sent, which ends when it is not to be
// sent any more, and makes cancel be called when every request ends, both with ErrStopped. Release
// must be called when the request ends.
func (s *stopState) bind(ctx context.Context, deadline time.Time, cancel context.CancelCauseFunc) (unsent context.Context, release func()) {
	s.prepare()
	unsent, cancelUnsent := context.WithCancelCause(ctx)
	stopUnsent := context.AfterFunc(s.unsent, func() {
		if s.refusesNew(deadline) {
			cancelUnsent(ErrStopped)
		}
	})
	stopAll := context.AfterFunc(s.all, func() { cancel(ErrStopped) })
	return unsent, func() {
		stopUnsent()
		stopAll()
		cancelUnsent(nil)
	}
}

// requestGrant requests a grant for the next attempt. A request that cannot have run is refused
// when unsent ends because the node stops.
func (p *Proxy) requestGrant(ctx, unsent context.Context, s *requestState) (*entry.Grant, *refuse.Refusal) {
	if s.hasNotRun() {
		ctx = unsent
	}
	grant, refusal := p.RequestGrant(ctx, s.job)
	if !isEndedByStop(ctx) {
		return grant, refusal
	}
	if refusal == nil {
		grant.Complete(sched.Completion{Unused: true})
	}
	return nil, p.newStopRefusal()
}

// isEndedByStop reports whether a context of a request has ended because the node stops.
func isEndedByStop(ctx context.Context) bool { return errors.Is(context.Cause(ctx), ErrStopped) }

// hasNotRun reports whether no endpoint can have run the request.
func (s *requestState) hasNotRun() bool {
	return !s.mayHaveRun && s.failureAnswer == nil && !s.stream.headSent
}

func (p *Proxy) newStopRefusal() *refuse.Refusal {
	r := refuse.New(refuse.NodeStopping, "this node stops before the answer could be whole")
	r.RetryAfter = stopRetryAfter
	if p.IsAlone != nil && p.IsAlone() {
		r.RetryAfter = aloneRetryAfter
	}
	return r
}
