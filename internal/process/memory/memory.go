// Package memory bounds the bytes that a node holds for callers that read their answers, or
// send their requests, slowly.
//
// A Budget counts the bytes held for each request and for all of them. A Conn is a caller's
// connection that buffers an answer within a budget while the caller does not read, so that
// the answer is read from its endpoint without waiting for the caller. A caller that keeps
// up is written to directly.
//
// # Usage
//
//	b := &memory.Budget{StallTime: memory.AnswerStallTime}
//	b.SetLimit(16 << 20)
//	server := &http.Server{Handler: h, ConnContext: memory.ConnContext}
//	server.Serve(&memory.Listener{Listener: l, Budget: b})
//
//	// in the handler:
//	c := memory.FromContext(r.Context()) // may be nil
//	c.Begin(r.Context(), memory.Owner{Request: id, Tier: tier})
//	w.Write(answer)
//	err := c.Finish() // waits until the caller has taken what is buffered
//
//	bodies := &memory.Budget{StallTime: memory.BodyStallTime}
//	share := bodies.NewShare(owner, func() { controller.SetReadDeadline(time.Now()) })
//	body, err := share.ReadAll(ctx, r.Body, r.ContentLength)
//	defer share.End()
package memory

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"goldcrestwick/internal/process/ident"
)

const (
	// scanInterval is the time between two searches for stalled requests while others
	// wait for bytes.
	scanInterval = time.Second
	// releaseDivisor is the limit divided by the number of bytes that one search frees, so
	// that no more callers are given up than are needed.
	releaseDivisor = 8
	// maxWoken bounds the waiting requests that are looked at when bytes are released,
	// which happens for every few kilobytes that any slow caller reads.
	maxWoken = 4
	// topTierShift and maxTierShift are how often the free bytes are halved for what a
	// request of the highest tier, and one of the lowest, may hold. With a half, one caller
	// alone gets a third of the budget; with all of them, the first would get a half and the
	// tenth nothing.
	topTierShift, maxTierShift = 1, 4
	// bodyReserveDivisor is the limit divided by the bytes that bodies of one tier leave to
	// those of the tier above, so that lower tiers cannot cause the refusal of a higher one.
	bodyReserveDivisor = 16
)

// ErrGivenUp is the error of a request that was given up, since nothing moved for the
// budget's stall time and others needed the bytes that it held.
var ErrGivenUp = eris.New("nothing moved for long while others needed the memory")

// Owner is the request for which bytes are held.
type Owner struct {
	Request ident.RequestID
	Tier    ident.Tier
}

// Budget bounds the bytes held for all requests. Set the exported fields before use; it is
// safe for concurrent use. The zero value has a limit of 0, and nothing is held under it.
//
// A request may hold half as many bytes as are free, and one of a lower tier half as many as
// one of the tier above it, down to a sixteenth (the dynamic thresholds of Choudhury and Hahne for shared packet buffers). As the
// budget fills, the requests that hold most are paused first, those of lower tiers before
// those of higher ones, and requests that hold none yet find some bytes free.
type Budget struct {
	// StallTime is how long nothing may move of a request that holds bytes before it is
	// given up if others need them.
	StallTime time.Duration
	// GivenUp is called with each request that is given up, the bytes that it held and the
	// time for which nothing moved; it may be nil.
	GivenUp func(o Owner, held int64, idle time.Duration)

	mu      sync.Mutex
	limit   int64
	held    int64
	holders map[*Share]struct{}
	// waiting holds the requests that need bytes, in the order in which they are looked at.
	waiting []*Share
	// scan is not nil while a search for stalled requests is scheduled.
	scan            *time.Timer
	pauses, givenUp int64
}

// Share is what one request holds of a budget. A nil Share holds nothing.
type Share struct {
	budget *Budget
	owner  Owner
	// abandon ends the request when it is given up.
	abandon func()
	// wake receives a value when bytes may be free, or something else has changed.
	wake chan struct{}
	// isBody is set if the share is for a body. See Budget.fits.
	isBody bool

	// The fields below are guarded by Budget.mu.
	held int64
	// movedAt is when bytes last moved: when the first was held or the last released.
	movedAt time.Time
	// need is the number of bytes that the request waits for since waitingSince, 0 if it
	// does not wait.
	need         int64
	waitingSince time.Time
	isGivenUp    bool
	// isComplete is set when a body has arrived, so that its request is not given up.
	isComplete bool
}

// Stats describes what is held at a moment, and counts pauses and requests given up since
// the start.
type Stats struct {
	Limit, Held int64
	Holders     int
	Waiting     int
	Pauses      int64
	GivenUp     int64
}

// SetLimit sets the bytes that may be held; 0 turns the budget off for requests that begin
// from now on.
func (b *Budget) SetLimit(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = max(bytes, 0)
	b.wakeWaiting()
}

// IsOn reports whether the budget has a limit. A nil budget has none.
func (b *Budget) IsOn() bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limit > 0
}

// Stats returns the present figures.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Stats{
		Limit: b.limit, Held: b.held, Holders: len(b.holders), Waiting: len(b.waiting), Pauses: b.pauses, GivenUp: b.givenUp,
	}
}

// newShare returns the share of an answer.
func (b *Budget) newShare(o Owner, abandon func()) *Share {
	return &Share{budget: b, owner: o, abandon: abandon, wake: make(chan struct{}, 1)}
}

// fits reports whether a request may hold n more bytes. A body may take all free bytes,
// since a request is of no use without the rest of its body, and exceed the limit if it is
// the only one.
func (b *Budget) fits(s *Share, n int64) bool {
	free := b.limit - b.held
	if s.isBody {
		reserved := b.limit / bodyReserveDivisor * int64(min(s.owner.Tier, maxTierShift))
		return n <= free-reserved || b.held == s.held
	}
	return s.held+n <= free>>min(s.owner.Tier+topTierShift, maxTierShift)
}

// tryTake takes n bytes. If they are not free, it returns false, and wake receives a value
// when they may be.
func (s *Share) tryTake(n int64) bool {
	b := s.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.fits(s, n) {
		b.removeWaiting(s)
		if s.held == 0 {
			s.movedAt = time.Now()
			if b.holders == nil {
				b.holders = map[*Share]struct{}{}
			}
			b.holders[s] = struct{}{}
		}
		s.held += n
		b.held += n
		return true
	}
	if s.need == 0 {
		b.waiting = append(b.waiting, s)
		b.pauses++
		s.waitingSince = time.Now()
	}
	s.need = n
	if b.scan == nil {
		b.scan = time.AfterFunc(scanInterval, b.abandonStalled)
	}
	return false
}

// moved records that the caller has sent something.
func (s *Share) moved() {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.movedAt = time.Now()
}

// release returns n bytes.
func (s *Share) release(n int64) {
	b := s.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.release(s, n)
}

func (b *Budget) release(s *Share, n int64) {
	if n == 0 {
		return
	}
	s.held -= n
	b.held -= n
	s.movedAt = time.Now()
	if s.held == 0 {
		delete(b.holders, s)
	}
	b.wakeWaiting()
}

// stopWaiting ends the waiting for bytes.
func (s *Share) stopWaiting() {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.budget.removeWaiting(s)
}

// End returns all bytes of a request. It may be called again, but the share must not be used
// for anything else afterwards.
func (s *Share) End() {
	if s == nil {
		return
	}
	b := s.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.removeWaiting(s)
	b.release(s, s.held)
}

func (b *Budget) removeWaiting(s *Share) {
	if s.need == 0 {
		return
	}
	s.need = 0
	if i := slices.Index(b.waiting, s); i >= 0 {
		b.waiting = slices.Delete(b.waiting, i, i+1)
	}
}

// signal wakes the request if it waits.
func (s *Share) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// wakeWaiting wakes some of the waiting requests if the bytes that they need are free, and
// moves the others to the end.
func (b *Budget) wakeWaiting() {
	for range min(len(b.waiting), maxWoken) {
		s := b.waiting[0]
		b.waiting = b.waiting[1:]
		if !b.fits(s, s.need) {
			b.waiting = append(b.waiting, s)
			continue
		}
		s.need = 0
		s.signal()
	}
}

// idleTime returns for how long nothing has moved of a request that holds or needs bytes.
func (s *Share) idleTime(now time.Time) time.Duration {
	if s.held == 0 {
		return now.Sub(s.waitingSince)
	}
	return now.Sub(s.movedAt)
}

// abandonStalled gives up stalled requests if others need bytes, those of the lowest tier
// first and of these the ones that hold most, until enough is free.
func (b *Budget) abandonStalled() {
	now := time.Now()
	b.mu.Lock()
	if len(b.waiting) == 0 {
		b.scan = nil
		b.mu.Unlock()
		return
	}
	b.scan.Reset(scanInterval)
	chosen := b.chooseStalled(now)
	held, idle := make([]int64, len(chosen)), make([]time.Duration, len(chosen))
	for i, s := range chosen {
		s.isGivenUp = true
		held[i], idle[i] = s.held, s.idleTime(now)
	}
	b.givenUp += int64(len(chosen))
	b.mu.Unlock()
	for i, s := range chosen {
		if b.GivenUp != nil {
			b.GivenUp(s.owner, held[i], idle[i])
		}
		s.abandon()
	}
}

// chooseStalled returns the requests to give up. It returns none if all that need bytes are
// stalled themselves, or if the stalled ones hold less than is free: then they are not the
// reason for which others wait.
func (b *Budget) chooseStalled(now time.Time) []*Share {
	isStalled := func(s *Share) bool { return s.idleTime(now) >= b.StallTime }
	if !slices.ContainsFunc(b.waiting, func(s *Share) bool { return !isStalled(s) }) {
		return nil
	}
	var stalled []*Share
	total := int64(0)
	for s := range b.holders {
		if isStalled(s) && !s.isGivenUp && !s.isComplete {
			stalled = append(stalled, s)
			total += s.held
		}
	}
	if total < b.limit-b.held {
		return nil
	}
	slices.SortFunc(stalled, func(s, t *Share) int {
		return cmp.Or(-cmp.Compare(s.owner.Tier, t.owner.Tier), -cmp.Compare(s.held, t.held), cmp.Compare(s.owner.Request, t.owner.Request))
	})
	freed := int64(0)
	for i, s := range stalled {
		if freed >= b.limit/releaseDivisor {
			return stalled[:i]
		}
		freed += s.held
	}
	return stalled
}
