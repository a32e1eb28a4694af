package entry

import (
	"context"
	"time"

	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/connection/wire"
	"goldcrestwick/internal/process/claims"
	"goldcrestwick/internal/request/answer"
	"goldcrestwick/internal/request/ident"
	"goldcrestwick/internal/request/refuse"
)

// Register adds the handlers for the other nodes' messages.
func (k *Keys) Register(mux *link.Mux) {
	link.Handle(mux, wire.KindClaim, k.serveClaim)
	link.Handle(mux, wire.KindSettle, k.serveSettle)
	link.Handle(mux, wire.KindRelease, k.serveRelease)
	link.Handle(mux, wire.KindJoin, k.serveJoin)
}

// claim asks the key's home until it has a verdict or the deadline passes. A
// repeat carries the same token, so a verdict that was lost is given again.
func (k *Keys) claim(ctx context.Context, c claims.Claim, deadline time.Time) claims.Result {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	for ctx.Err() == nil {
		home, ok := k.CoordinatorOf(c.Key)
		if ok && home.ID == k.Self {
			return k.Coordinator.Claim(ctx, c)
		}
		if ok {
			message := wire.FromClaim(c, time.Until(deadline))
			v, err := link.Call[wire.Claim, wire.ClaimResult](ctx, k.Open, home.PeerAddress, wire.KindClaim, message)
			if err == nil && claims.Outcome(v.Outcome) != claims.Unsure {
				return v.ToClaimResult()
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(claimPause):
		}
	}
	return claims.Result{}
}

func (k *Keys) serveClaim(ctx context.Context, s *link.Stream, m wire.Claim) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(m.Remaining))
	defer cancel()
	v := k.Coordinator.Claim(ctx, m.ToClaim())
	s.Send(wire.KindClaim, wire.FromClaimResult(v)) //nolint:errcheck // the claimer asks again.
}

// settle stores the outcome of a run at the key's home.
func (k *Keys) settle(ctx context.Context, c claims.Claim, stored *claims.Stored) {
	k.finish(ctx, wire.KindSettle, c, stored, func() { k.Coordinator.Settle(ctx, c.Key, c.Token, stored) })
}

// release gives the key of a request up that certainly was not run.
func (k *Keys) release(ctx context.Context, c claims.Claim) {
	k.finish(ctx, wire.KindRelease, c, nil, func() { k.Coordinator.Release(ctx, c.Key, c.Token) })
}

// finish tells the key's home the end of a claim until it has heard.
func (k *Keys) finish(ctx context.Context, kind link.Kind, c claims.Claim, stored *claims.Stored, here func()) {
	for ctx.Err() == nil {
		home, ok := k.CoordinatorOf(c.Key)
		if ok && home.ID == k.Self {
			here()
			return
		}
		if ok {
			message := wire.FromKey(c.Key, c.Token, stored)
			if _, err := link.Call[wire.Finish, wire.Done](ctx, k.Open, home.PeerAddress, kind, message); err == nil {
				return
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(claimPause):
		}
	}
}

func (k *Keys) serveSettle(ctx context.Context, s *link.Stream, m wire.Finish) {
	k.Coordinator.Settle(ctx, m.ToKey(), m.Token, m.Stored.ToStored())
	s.Send(wire.KindDone, wire.Done{}) //nolint:errcheck // the sender tells it again.
}

func (k *Keys) serveRelease(ctx context.Context, s *link.Stream, m wire.Finish) {
	k.Coordinator.Release(ctx, m.ToKey(), m.Token)
	s.Send(wire.KindDone, wire.Done{}) //nolint:errcheck // the sender tells it again.
}

// serveJoin sends the answer of a request that this node runs or ran.
func (k *Keys) serveJoin(ctx context.Context, s *link.Stream, m wire.Join) {
	rec := k.recording(ident.RequestID(m.Request), ident.ClientAccount(m.Account))
	if rec == nil {
		s.Send(wire.KindRefusal, wire.FromRefusal(goneRefusal())) //nolint:errcheck // the caller asks again.
		return
	}
	sink := answer.Sink{
		Head:  func(h answer.Head) error { return s.Send(wire.KindHead, wire.FromHead(h)) },
		Chunk: func(p answer.Chunk) error { return s.Send(wire.KindChunk, wire.FromChunk(p)) },
	}
	err := rec.Follow(ctx, m.From, sink)
	if refusal, ok := err.(*refuse.Refusal); ok { //nolint:errorlint // Follow returns it bare.
		s.Send(wire.KindRefusal, wire.FromRefusal(refusal)) //nolint:errcheck // the caller asks again.
	}
}

// record begins the recording of a keyed answer.
func (k *Keys) record(id ident.RequestID, account ident.ClientAccount) *recorded {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.recordings == nil {
		k.recordings = map[ident.RequestID]*recorded{}
	}
	k.evict()
	rec := &recorded{account: account}
	rec.Limit = maxRecording
	k.recordings[id] = rec
	k.order = append(k.order, id)
	return rec
}

// evict forgets the oldest ended recordings while all of them hold too much.
func (k *Keys) evict() {
	total := 0
	for _, rec := range k.recordings {
		total += rec.Bytes()
	}
	kept := k.order[:0]
	for _, id := range k.order {
		rec := k.recordings[id]
		if rec == nil {
			continue
		}
		if total > maxRecordings && rec.Ended() {
			total -= rec.Bytes()
			delete(k.recordings, id)
			continue
		}
		kept = append(kept, id)
	}
	k.order = kept
}

// recording returns the recording of an account's own request.
func (k *Keys) recording(id ident.RequestID, account ident.ClientAccount) *recorded {
	k.mu.Lock()
	defer k.mu.Unlock()
	rec := k.recordings[id]
	if rec == nil || rec.account != account {
		return nil
	}
	return rec
}

func (k *Keys) forget(id ident.RequestID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.recordings, id)
}
