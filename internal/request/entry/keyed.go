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
	"goldcrestwick/internal/process/member"
	"goldcrestwick/internal/process/trace"
	"goldcrestwick/internal/request/answer"
	"goldcrestwick/internal/request/ident"
	"goldcrestwick/internal/request/refuse"
)

const (
	// maxRecording bounds one keyed answer in memory.
	maxRecording = 32 << 20
	// maxRecordings bounds all of them; the oldest ended ones go first.
	maxRecordings = 64 << 20
	claimPause    = 100 * time.Millisecond
	finishTime    = 10 * time.Minute
	joinAttempts  = 3
)

// Keys finds the home of idempotency keys and speaks to it.
type Keys struct {
	Self ident.NodeID
	// CoordinatorOf returns the home node of a key by this node's view.
	CoordinatorOf func(claims.Key) (member.Member, bool)
	// Find returns a member by its identifier.
	Find func(ident.NodeID) (member.Member, bool)
	// Coordinator is this node's own part.
	Coordinator *claims.Coordinator
	Open        link.Opener

	mu         sync.Mutex
	recordings map[ident.RequestID]*recorded
	order      []ident.RequestID
	bytes      int
}

// recorded is a keyed answer that this node runs or ran.
type recorded struct {
	answer.Recording
	account ident.ClientAccount
}

// serveKeyed claims the key and runs the request, or joins the run that has
// the key. The run goes on when the caller goes away, so that a repeat finds
// its answer.
func (e *Entry) serveKeyed(ctx context.Context, j *Job) *refuse.Refusal {
	idempotent := j.Pool.Kind == ident.ModelRunner || j.Pool.IsIdempotent(j.Request.Method, j.Request.Path)
	claim := claims.Claim{
		Key:     claims.Key{Account: j.Account.ID, Key: j.Request.Key},
		Request: j.Request.ID, Node: e.Self, Token: ident.NewToken(),
		Digest: j.Request.Digest, Created: j.Request.KeyCreated, Idempotent: idempotent,
	}
	verdict := e.Keys.claim(ctx, claim, j.Request.Deadline)
	switch verdict.Outcome {
	case claims.Won:
		e.note(j, trace.Record{Event: trace.Claimed})
		return e.runClaimed(ctx, j, claim)
	case claims.Taken:
		e.note(j, trace.Record{Event: trace.Joined, Reason: string(verdict.Request)})
		return e.join(ctx, j, verdict)
	case claims.Settled:
		e.note(j, trace.Record{Event: trace.Joined, Reason: string(verdict.Request)})
		return replay(j, verdict)
	case claims.Reused:
		return refuse.New(refuse.KeyReused, "the idempotency key belongs to a different request")
	default:
		refusal := refuse.Uncertain(refuse.StoreDown, "the key could not be claimed before the deadline; an earlier request with it may have run")
		refusal.RetryAfter = 5 * time.Second
		return refusal
	}
}

// runClaimed runs a request whose key it holds, apart from its caller.
func (e *Entry) runClaimed(ctx context.Context, j *Job, claim claims.Claim) *refuse.Refusal {
	release, refusal := e.admit(ctx, j)
	if refusal != nil {
		e.finish(func(ctx context.Context) { e.Keys.release(ctx, claim) })
		return refusal
	}
	rec := e.Keys.record(j.Request.ID, j.Account.ID)
	apart := context.WithoutCancel(ctx)
	if j.Request.Upload != nil {
		// A streamed body ends with its caller, so the run does too.
		apart = ctx
	}
	e.active.Go(func() {
		sent, refusal := e.run(apart, j, rec.Sink())
		release(refusal.MayHaveRun())
		e.endClaimed(rec, claim, sent, refusal)
	})
	return e.follow(ctx, j, rec, 0)
}

// endClaimed ends the recording and the claim of a run.
func (e *Entry) endClaimed(rec *recorded, claim claims.Claim, sent bool, refusal *refuse.Refusal) {
	if refusal != nil {
		rec.Fail(refusal)
	}
	if !rec.Ended() {
		rec.Fail(refuse.Uncertain(refuse.AnswerBroken, "the caller went away in the middle of its body"))
	}
	switch {
	case !sent:
		e.Keys.forget(claim.Request)
		e.finish(func(ctx context.Context) { e.Keys.release(ctx, claim) })
	case refusal == nil:
		stored := rec.stored()
		e.finish(func(ctx context.Context) { e.Keys.settle(ctx, claim, stored) })
	}
}

// finish does what must follow a run but nobody waits for.
func (e *Entry) finish(do func(context.Context)) {
	e.active.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), finishTime)
		defer cancel()
		do(ctx)
	})
}

// stored returns a service's whole answer when it is short enough to keep. A
// model's answer stays in this node's memory alone.
func (r *recorded) stored() *claims.Stored {
	if r.Bytes() > claims.MaxStoredBytes {
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
		Chunk: func(p answer.Chunk) error {
			if s != nil {
				s.Body = append(s.Body, p.Data...)
			}
			return nil
		},
	}
	if r.Follow(context.Background(), 0, sink) != nil {
		return nil
	}
	return s
}

func (e *Entry) follow(ctx context.Context, j *Job, rec *recorded, from int) *refuse.Refusal {
	err := rec.Follow(ctx, from, j.Sink)
	var refusal *refuse.Refusal
	switch {
	case err == nil:
		return nil
	case errors.As(err, &refusal):
		copied := *refusal
		return &copied
	default:
		e.note(j, trace.Record{Event: trace.CallerGone})
		return refuse.Uncertain(refuse.CallerGone, "the caller went away")
	}
}

// replay answers with a stored outcome.
func replay(j *Job, v claims.Result) *refuse.Refusal {
	if j.Run != nil {
		j.Run(v.Request)
	}
	header := http.Header{}
	if v.Stored.ContentType != "" {
		header.Set("Content-Type", v.Stored.ContentType)
	}
	if j.Sink.Head(answer.Head{Status: v.Stored.Status, Header: header, Request: v.Request}) == nil {
		j.Sink.Chunk(answer.Chunk{Data: v.Stored.Body, Last: true}) //nolint:errcheck // the caller may be gone.
	}
	return nil
}

// join follows the answer of the request that has the key, at the node that
// runs it. It costs no second run.
func (e *Entry) join(ctx context.Context, j *Job, v claims.Result) *refuse.Refusal {
	if j.Run != nil {
		j.Run(v.Request)
	}
	next := 0
	counted := j.Sink
	piece := j.Sink.Chunk
	counted.Chunk = func(p answer.Chunk) error {
		next = p.Number + 1
		return piece(p)
	}
	for attempt := 0; ; attempt++ {
		if v.Node == e.Self {
			if rec := e.Keys.recording(v.Request, j.Account.ID); rec != nil {
				return e.follow(ctx, j, rec, next)
			}
			return goneRefusal()
		}
		node, ok := e.Keys.Find(v.Node)
		if !ok {
			return refuse.Uncertain(refuse.EarlierRun, "an earlier request with this key was taken by a node that is gone; it may have run")
		}
		refusal, err := e.joinAt(ctx, j, v.Request, node, next, counted)
		if err == nil {
			return refusal
		}
		if ctx.Err() != nil || attempt >= joinAttempts {
			return refuse.Uncertain(refuse.EarlierRun, "the node that runs an earlier request with this key cannot be reached")
		}
		time.Sleep(claimPause << attempt)
	}
}

func goneRefusal() *refuse.Refusal {
	return refuse.Uncertain(refuse.OutcomeGone, "an earlier request with this key may have run; its answer is no longer held")
}

// joinAt follows an answer at another node. An error means that the stream
// broke and can be taken up again.
func (e *Entry) joinAt(ctx context.Context, j *Job, id ident.RequestID, node member.Member, from int, sink answer.Sink) (*refuse.Refusal, error) {
	stream, err := e.Open(ctx, node.PeerAddress)
	if err != nil {
		return nil, err
	}
	defer stream.Close()                                      //nolint:errcheck // the exchange is over.
	stop := context.AfterFunc(ctx, func() { stream.Close() }) //nolint:errcheck // unblocks Receive.
	defer stop()
	call := wire.Join{Request: string(id), Account: string(j.Account.ID), From: from}
	if err := stream.Send(wire.KindJoin, call); err != nil {
		return nil, err
	}
	for {
		kind, body, err := stream.Receive()
		if err != nil {
			return nil, err
		}
		refusal, done, err := passOn(kind, body, from == 0, sink)
		if done || err != nil {
			return refusal, err
		}
	}
}

// passOn gives one message of a joined answer to a sink.
func passOn(kind link.Kind, body []byte, first bool, sink answer.Sink) (refusal *refuse.Refusal, done bool, err error) {
	switch kind {
	case wire.KindHead:
		head, err := link.Decode[wire.Head](body)
		if err != nil || !first {
			return nil, false, err
		}
		return nil, false, sink.Head(head.ToHead())
	case wire.KindChunk:
		piece, err := link.Decode[wire.Chunk](body)
		if err != nil {
			return nil, false, err
		}
		return nil, piece.Last, sink.Chunk(piece.ToChunk())
	default:
		m, err := link.Decode[wire.Refusal](body)
		if err != nil {
			return nil, false, err
		}
		return m.ToRefusal(), true, nil
	}
}
