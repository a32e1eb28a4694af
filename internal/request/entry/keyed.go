package entry

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/connection/wire"
	"goldcrestwick/internal/process/claims"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/member"
	"goldcrestwick/internal/process/trace"
	"goldcrestwick/internal/request/answer"
	"goldcrestwick/internal/request/refuse"
)

const (
	// maxRecordingBytes limits the recording of one keyed answer in memory.
	maxRecordingBytes = 32 << 20
	// maxTotalRecordingBytes limits all recordings of a node. When it is exceeded, the
	// oldest ended recordings are dropped.
	maxTotalRecordingBytes = 64 << 20
	// claimRetryInterval is the wait between two attempts to reach a key's
	// coordinator, and the wait before the first retry of a join; it doubles for
	// each further retry of the join.
	claimRetryInterval = 100 * time.Millisecond
	// claimFinishTimeout limits the time to settle or release a claim, retries
	// included.
	claimFinishTimeout = 10 * time.Minute
	// maxJoinRetries limits the retries of joining an answer at another node.
	maxJoinRetries = 3
)

// IdempotencyKeys claims idempotency keys at their coordinators and keeps the
// recordings of the answers to keyed requests. Set the exported fields before
// use.
type IdempotencyKeys struct {
	Self ident.NodeID
	// CoordinatorOf returns the coordinator of a key by this node's view.
	CoordinatorOf func(claims.Key) (member.Member, bool)
	// FindMember returns a member by its identifier.
	FindMember func(ident.NodeID) (member.Member, bool)
	// Coordinator handles the keys that this node coordinates.
	Coordinator *claims.Coordinator
	Open        link.Opener

	mu             sync.Mutex
	recordings     map[ident.RequestID]*recordedAnswer
	recordingOrder []ident.RequestID
	bytes          int
}

// recordedAnswer is the recording of the answer to a keyed request that this node
// runs or has run.
type recordedAnswer struct {
	answer.Recording
	account ident.ClientAccount
}

// serveKeyed claims the key and runs the request, or joins the run that has the
// key. Unless the body is streamed, the run continues when the caller goes away,
// so that a retry with the key gets its answer.
func (e *Entry) serveKeyed(ctx context.Context, j *Job) *refuse.Refusal {
	idempotent := j.Pool.Kind == ident.ModelRunner || j.Pool.IsIdempotent(j.Request.Method, j.Request.Path)
	claim := claims.Claim{
		Key:     claims.Key{Account: j.Account.ID, Key: j.Request.IdempotencyKey},
		Request: j.Request.ID, Node: e.Self, Token: ident.NewToken(),
		Digest: j.Request.Digest, Created: j.Request.IdempotencyKeyCreated, Idempotent: idempotent,
	}
	result := e.Keys.claim(ctx, claim, j.Request.Deadline)
	switch result.Outcome {
	case claims.Won:
		e.record(j, trace.Record{Event: trace.Claimed})
		return e.runClaimed(ctx, j, claim)
	case claims.Taken:
		e.record(j, trace.Record{Event: trace.Joined, Reason: string(result.Request)})
		return e.join(ctx, j, result)
	case claims.Settled:
		e.record(j, trace.Record{Event: trace.Joined, Reason: string(result.Request)})
		return replay(j, result)
	case claims.Reused:
		return refuse.New(refuse.IdempotencyKeyReused, "the idempotency key belongs to a different request")
	default:
		refusal := refuse.NewMayHaveRun(refuse.ClaimStoreUnavailable, "the key could not be claimed before the deadline; an earlier request with it may have run")
		refusal.RetryAfter = 5 * time.Second
		return refusal
	}
}

// runClaimed runs a request after its key was claimed. The run is independent of
// the caller's context, except for a streamed body.
func (e *Entry) runClaimed(ctx context.Context, j *Job, claim claims.Claim) *refuse.Refusal {
	release, refusal := e.admit(ctx, j)
	if refusal != nil {
		e.runInBackground(func(ctx context.Context) { e.Keys.release(ctx, claim) })
		return refusal
	}
	rec := e.Keys.startRecording(j.Request.ID, j.Account.ID)
	runCtx := context.WithoutCancel(ctx)
	if j.Request.BodyReader != nil {
		// A streamed body cannot be read after the caller goes away, so the run
		// ends with it.
		runCtx = ctx
	}
	e.active.Go(func() {
		sent, refusal := e.run(runCtx, j, rec.Sink())
		release(refusal.MayHaveRun())
		e.finishClaimed(rec, claim, sent, refusal)
	})
	return e.follow(ctx, j, rec, 0)
}

// finishClaimed ends the recording of a run and settles or releases its claim.
// The claim of a request that was sent and refused is neither settled nor
// released, since the request may have run. A run whose answer was not recorded
// to the end is settled without a stored answer.
func (e *Entry) finishClaimed(rec *recordedAnswer, claim claims.Claim, sent bool, refusal *refuse.Refusal) {
	if refusal != nil {
		rec.Fail(refusal)
	}
	if !rec.IsDone() {
		rec.Fail(refuse.NewMayHaveRun(refuse.AnswerIncomplete, "the caller went away in the middle of its body"))
	}
	switch {
	case !sent:
		e.Keys.dropRecording(claim.Request)
		e.runInBackground(func(ctx context.Context) { e.Keys.release(ctx, claim) })
	case refusal == nil:
		stored := rec.stored()
		e.runInBackground(func(ctx context.Context) { e.Keys.settle(ctx, claim, stored) })
	}
}

// runInBackground calls f in the background with a timeout of claimFinishTimeout.
func (e *Entry) runInBackground(f func(context.Context)) {
	e.active.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), claimFinishTimeout)
		defer cancel()
		f(ctx)
	})
}

// stored returns a service's complete answer, or nil if it is incomplete or longer
// than claims.MaxStoredBytes. It returns nil for a model's answer, whose head has
// no header; it is kept only in the memory of this node.
func (r *recordedAnswer) stored() *claims.Stored {
	if r.Size() > claims.MaxStoredBytes {
		return nil
	}
	var s *claims.Stored
	sink := answer.Sink{
		Head: func(h answer.Head) error {
			if h.Header != nil {
				s = &claims.Stored{Status: h.Status, ContentType: h.Header.Get("Content-Type")}
			}
			return nil
		},
		Chunk: func(c answer.Chunk) error {
			if s != nil {
				s.Body = append(s.Body, c.Data...)
			}
			return nil
		},
	}
	if r.Follow(context.Background(), 0, sink) != nil {
		return nil
	}
	return s
}

// follow sends a recorded answer to the job's sink, beginning with the chunk with
// the index from.
func (e *Entry) follow(ctx context.Context, j *Job, rec *recordedAnswer, from int) *refuse.Refusal {
	err := rec.Follow(ctx, from, j.Sink)
	var refusal *refuse.Refusal
	switch {
	case err == nil:
		return nil
	case errors.As(err, &refusal):
		copied := *refusal
		return &copied
	default:
		e.record(j, trace.Record{Event: trace.CallerGone})
		return refuse.NewMayHaveRun(refuse.CallerGone, "the caller went away")
	}
}

// replay sends the stored answer of a settled claim to the job's sink.
func replay(j *Job, result claims.Result) *refuse.Refusal {
	if j.OnRun != nil {
		j.OnRun(result.Request)
	}
	header := http.Header{}
	if result.Stored.ContentType != "" {
		header.Set("Content-Type", result.Stored.ContentType)
	}
	if j.Sink.Head(answer.Head{Status: result.Stored.Status, Header: header, Request: result.Request}) == nil {
		j.Sink.Chunk(answer.Chunk{Data: result.Stored.Body, Last: true}) //nolint:errcheck // the caller may be gone.
	}
	return nil
}

// join follows the answer of the request that has the key, at the node that runs
// it, without a second run.
func (e *Entry) join(ctx context.Context, j *Job, result claims.Result) *refuse.Refusal {
	if j.OnRun != nil {
		j.OnRun(result.Request)
	}
	next := 0
	sink := j.Sink
	forward := j.Sink.Chunk
	sink.Chunk = func(c answer.Chunk) error {
		next = c.Index + 1
		return forward(c)
	}
	for attempt := 0; ; attempt++ {
		if result.Node == e.Self {
			if rec := e.Keys.recording(result.Request, j.Account.ID); rec != nil {
				return e.follow(ctx, j, rec, next)
			}
			return answerGoneRefusal()
		}
		node, ok := e.Keys.FindMember(result.Node)
		if !ok {
			return refuse.NewMayHaveRun(refuse.EarlierRunUnknown, "an earlier request with this key was taken by a node that is gone; it may have run")
		}
		refusal, err := e.joinAt(ctx, j, result.Request, node, next, sink)
		if err == nil {
			return refusal
		}
		if ctx.Err() != nil || attempt >= maxJoinRetries {
			return refuse.NewMayHaveRun(refuse.EarlierRunUnknown, "the node that runs an earlier request with this key cannot be reached")
		}
		time.Sleep(claimRetryInterval << attempt)
	}
}

func answerGoneRefusal() *refuse.Refusal {
	return refuse.NewMayHaveRun(refuse.OutcomeNoLongerHeld, "an earlier request with this key may have run; its answer is no longer held")
}

// joinAt follows an answer at another node, beginning with the chunk with the index
// from. An error means that the stream or the sink failed; the caller may retry
// from the chunk after the last one received.
func (e *Entry) joinAt(ctx context.Context, j *Job, id ident.RequestID, node member.Member, from int, sink answer.Sink) (*refuse.Refusal, error) {
	stream, err := e.Open(ctx, node.PeerAddress)
	if err != nil {
		return nil, err
	}
	defer stream.Close()                                      //nolint:errcheck // the exchange is over.
	stop := context.AfterFunc(ctx, func() { stream.Close() }) //nolint:errcheck // unblocks Receive.
	defer stop()
	message := wire.Join{Request: string(id), Account: string(j.Account.ID), FirstChunk: from}
	if err := stream.Send(wire.KindJoin, message); err != nil {
		return nil, err
	}
	for {
		kind, body, err := stream.Receive()
		if err != nil {
			return nil, err
		}
		refusal, done, err := forwardMessage(kind, body, from == 0, sink)
		if done || err != nil {
			return refusal, err
		}
	}
}

// forwardMessage passes one message of a joined answer to a sink. The head is
// skipped unless sendHead is set. Done is true after the last chunk or a refusal.
func forwardMessage(kind link.Kind, body []byte, sendHead bool, sink answer.Sink) (refusal *refuse.Refusal, done bool, err error) {
	switch kind {
	case wire.KindHead:
		head, err := link.Decode[wire.Head](body)
		if err != nil || !sendHead {
			return nil, false, err
		}
		return nil, false, sink.Head(head.ToHead())
	case wire.KindChunk:
		chunk, err := link.Decode[wire.Chunk](body)
		if err != nil {
			return nil, false, err
		}
		return nil, chunk.Last, sink.Chunk(chunk.ToChunk())
	default:
		refused, err := link.Decode[wire.Refusal](body)
		if err != nil {
			return nil, false, err
		}
		return refused.ToRefusal(), true, nil
	}
}
