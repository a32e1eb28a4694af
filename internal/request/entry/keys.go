package entry

import (
	"context"
	"time"

	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/connection/wire"
	"goldcrestwick/internal/process/claims"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/request/answer"
	"goldcrestwick/internal/request/refuse"
)

// Register adds the handlers for the other nodes' messages.
func (k *IdempotencyKeys) Register(mux *link.Mux) {
	link.Handle(mux, wire.KindClaim, k.serveClaim)
	link.Handle(mux, wire.KindSettle, k.serveSettle)
	link.Handle(mux, wire.KindRelease, k.serveRelease)
	link.Handle(mux, wire.KindJoin, k.serveJoin)
}

// claim sends a claim to the key's coordinator until it gets a result or the
// deadline passes; in the latter case it returns the zero Result, whose outcome is
// claims.Unknown. Retries carry the same token, so that a claim that was won gets
// the same result again if the message with it was lost.
func (k *IdempotencyKeys) claim(ctx context.Context, c claims.Claim, deadline time.Time) claims.Result {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	for ctx.Err() == nil {
		coordinator, ok := k.CoordinatorOf(c.Key)
		if ok && coordinator.ID == k.Self {
			return k.Coordinator.Claim(ctx, c)
		}
		if ok {
			message := wire.FromClaim(c, time.Until(deadline))
			result, err := link.Call[wire.Claim, wire.ClaimResult](ctx, k.Open, coordinator.PeerAddress, wire.KindClaim, message)
			if err == nil && claims.Outcome(result.Outcome) != claims.Unknown {
				return result.ToClaimResult()
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(claimRetryInterval):
		}
	}
	return claims.Result{}
}

func (k *IdempotencyKeys) serveClaim(ctx context.Context, s *link.Stream, m wire.Claim) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(m.Remaining))
	defer cancel()
	result := k.Coordinator.Claim(ctx, m.ToClaim())
	s.Send(wire.KindClaim, wire.FromClaimResult(result)) //nolint:errcheck // the claimant retries.
}

// settle settles the key of a request that ran, at the key's coordinator. Stored is
// its answer, nil if the answer is not stored.
func (k *IdempotencyKeys) settle(ctx context.Context, c claims.Claim, stored *claims.Stored) {
	k.finishClaim(ctx, wire.KindSettle, c, stored, func() { k.Coordinator.Settle(ctx, c.Key, c.Token, stored) })
}

// release releases the key of a request that has certainly not run, at the key's
// coordinator.
func (k *IdempotencyKeys) release(ctx context.Context, c claims.Claim) {
	k.finishClaim(ctx, wire.KindRelease, c, nil, func() { k.Coordinator.Release(ctx, c.Key, c.Token) })
}

// finishClaim settles or releases a claim at the key's coordinator, as kind says, and
// retries until a message is acknowledged or ctx is done. Another coordinator
// acknowledges when its own attempt ends, whether or not it succeeded. If this node is the coordinator, it calls local instead
// of sending a message.
func (k *IdempotencyKeys) finishClaim(ctx context.Context, kind link.Kind, c claims.Claim, stored *claims.Stored, local func()) {
	for ctx.Err() == nil {
		coordinator, ok := k.CoordinatorOf(c.Key)
		if ok && coordinator.ID == k.Self {
			local()
			return
		}
		if ok {
			message := wire.NewClaimEnd(c.Key, c.Token, stored)
			if _, err := link.Call[wire.ClaimEnd, wire.Empty](ctx, k.Open, coordinator.PeerAddress, kind, message); err == nil {
				return
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(claimRetryInterval):
		}
	}
}

func (k *IdempotencyKeys) serveSettle(ctx context.Context, s *link.Stream, m wire.ClaimEnd) {
	k.Coordinator.Settle(ctx, m.ClaimKey(), m.Token, m.Stored.ToStored())
	s.Send(wire.KindAck, wire.Empty{}) //nolint:errcheck // the sender retries.
}

func (k *IdempotencyKeys) serveRelease(ctx context.Context, s *link.Stream, m wire.ClaimEnd) {
	k.Coordinator.Release(ctx, m.ClaimKey(), m.Token)
	s.Send(wire.KindAck, wire.Empty{}) //nolint:errcheck // the sender retries.
}

// serveJoin sends the answer of a keyed request that this node runs or has run,
// beginning with its head and then the chunk with the index m.FirstChunk.
func (k *IdempotencyKeys) serveJoin(ctx context.Context, s *link.Stream, m wire.Join) {
	rec := k.recording(ident.RequestID(m.Request), ident.ClientAccount(m.Account))
	if rec == nil {
		s.Send(wire.KindRefusal, wire.FromRefusal(answerGoneRefusal())) //nolint:errcheck // the joining node retries.
		return
	}
	sink := answer.Sink{
		Head:  func(h answer.Head) error { return s.Send(wire.KindHead, wire.FromHead(h)) },
		Chunk: func(c answer.Chunk) error { return s.Send(wire.KindChunk, wire.FromChunk(c)) },
	}
	err := rec.Follow(ctx, m.FirstChunk, sink)
	if refusal, ok := err.(*refuse.Refusal); ok { //nolint:errorlint // Follow returns it unwrapped.
		s.Send(wire.KindRefusal, wire.FromRefusal(refusal)) //nolint:errcheck // the joining node retries.
	}
}

// startRecording adds a recording for the answer to a keyed request.
func (k *IdempotencyKeys) startRecording(id ident.RequestID, account ident.ClientAccount) *recordedAnswer {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.recordings == nil {
		k.recordings = map[ident.RequestID]*recordedAnswer{}
	}
	k.evict()
	rec := &recordedAnswer{account: account}
	rec.MaxBytes = maxRecordingBytes
	k.recordings[id] = rec
	k.recordingOrder = append(k.recordingOrder, id)
	return rec
}

// evict drops the oldest ended recordings while all recordings together exceed
// maxTotalRecordingBytes, and the identifiers of dropped recordings. The caller holds k.mu.
func (k *IdempotencyKeys) evict() {
	total := 0
	for _, rec := range k.recordings {
		total += rec.Size()
	}
	kept := k.recordingOrder[:0]
	for _, id := range k.recordingOrder {
		rec := k.recordings[id]
		if rec == nil {
			continue
		}
		if total > maxTotalRecordingBytes && rec.IsDone() {
			total -= rec.Size()
			delete(k.recordings, id)
			continue
		}
		kept = append(kept, id)
	}
	k.recordingOrder = kept
}

// recording returns the recording of a request, or nil if there is none or the
// request belongs to another account.
func (k *IdempotencyKeys) recording(id ident.RequestID, account ident.ClientAccount) *recordedAnswer {
	k.mu.Lock()
	defer k.mu.Unlock()
	rec := k.recordings[id]
	if rec == nil || rec.account != account {
		return nil
	}
	return rec
}

func (k *IdempotencyKeys) dropRecording(id ident.RequestID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.recordings, id)
}
