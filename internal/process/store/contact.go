package store

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// ErrSilent is returned by Feed for a call that was given up because the store, after it had
// left another call unanswered, has answered a later one.
var ErrSilent = eris.New("the store answers later calls")

// contact records when the store answers. Calls that are sent while the store is silent are not
// answered after its return either, and nothing but other calls shows that.
type contact struct {
	mu      sync.Mutex
	pending map[*pendingCall]struct{}
	// failedSent is when the latest of the failed calls was sent, and answeringSince when
	// the store first answered a call that was sent later.
	failedSent, answeringSince time.Time
	// silentAt is when a call was last found unanswered; it is zero after the next answer to
	// a call that was sent later.
	silentAt time.Time
}

// pendingCall is a call that has no answer yet.
type pendingCall struct {
	sent time.Time
	// laterAnswer is when the store first answered a call that was sent later than this one.
	laterAnswer time.Time
	// giveUp ends the call; it is nil for calls that wait for their own time-out.
	giveUp func()
}

// observe makes a call and records its outcome.
func (c *contact) observe(ctx context.Context, call func() error) error {
	p := c.begin(nil)
	err := call()
	c.end(ctx, p, err)
	return err
}

// observeWait is observe for a call that waits at the store for a change. It ends with ErrSilent
// when other calls show that it will not be answered.
func (c *contact) observeWait(ctx context.Context, call func(ctx context.Context) error) error {
	callCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	p := c.begin(func() { cancel(ErrSilent) })
	err := call(callCtx)
	if err != nil && context.Cause(callCtx) == ErrSilent { //nolint:errorlint // it is set unwrapped.
		err = ErrSilent
	}
	c.end(ctx, p, err)
	return err
}

func (c *contact) begin(giveUp func()) *pendingCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := &pendingCall{sent: time.Now(), giveUp: giveUp}
	if c.pending == nil {
		c.pending = map[*pendingCall]struct{}{}
	}
	c.pending[p] = struct{}{}
	return p
}

// end records the outcome of a call that was made with ctx.
func (c *contact) end(ctx context.Context, p *pendingCall, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, p)
	now := time.Now()
	switch {
	case err == nil || eris.Is(err, ErrHistoryGone) || eris.Is(err, ErrFull):
		c.recordAnswer(p, now)
	case eris.Is(ctx.Err(), context.Canceled):
		// The caller gave up, which says nothing about the store.
	default:
		if p.sent.After(c.failedSent) {
			c.failedSent, c.answeringSince = p.sent, p.laterAnswer
		}
		if eris.Is(err, context.DeadlineExceeded) {
			c.silentAt = now
		}
	}
}

// recordAnswer records that a call was answered. The caller holds c.mu.
func (c *contact) recordAnswer(p *pendingCall, now time.Time) {
	if c.answeringSince.IsZero() && p.sent.After(c.failedSent) {
		c.answeringSince = now
	}
	isBack := !c.silentAt.IsZero() && p.sent.After(c.silentAt)
	for q := range c.pending {
		if q.laterAnswer.IsZero() && q.sent.Before(p.sent) {
			q.laterAnswer = now
		}
		if isBack && q.giveUp != nil && q.sent.Before(c.silentAt) {
			q.giveUp()
		}
	}
	if isBack {
		c.silentAt = time.Time{}
	}
}

// AnsweringSince returns since when the store has answered all calls of this client, as far as
// their outcome is known; the zero time means that it does not.
func (c *Client) AnsweringSince() time.Time {
	c.contact.mu.Lock()
	defer c.contact.mu.Unlock()
	return c.contact.answeringSince
}
