package detour

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/connection/reply"
	"goldcrestwick/internal/connection/wire"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/member"
	"goldcrestwick/internal/request/proxy"
	"goldcrestwick/internal/request/refuse"
)

// Client has other nodes serve requests. Set the exported fields before use; it is safe for
// concurrent use.
type Client struct {
	Open link.Opener
	// PeerAddress is this node's peer address, from which the others can fetch its settings.
	PeerAddress string
	// Peers returns the nodes that may have a path to the endpoints, the preferred ones
	// first.
	Peers func() []member.Member
	// TakeRetry takes a retry from the budget of a pool, and returns false if it is used up.
	TakeRetry func(ident.PoolID) bool
	Log       *log.Logger
}

// outcome is how an attempt with one node ended.
type outcome uint8

const (
	// done: the node has reported a result.
	done outcome = iota
	// untouched: the node has done nothing for the request.
	untouched
	// lost: the node is gone, and the request may have run.
	lost
)

// Serve has other nodes serve a request, one after the other while they do nothing for it,
// reach no endpoint or, if it may be repeated, are lost. It writes the answer to w unless the
// result has a refusal. It returns false if no node has done anything for the request, or if no
// endpoint has got it by the end of unsent, a context within ctx: it then withdraws the request. The
// attempts that nodes report are added to those of r.
func (c *Client) Serve(ctx, unsent context.Context, r *proxy.Request, w http.ResponseWriter) (proxy.Result, bool) {
	peers := c.Peers()
	mayHaveRun, isExhausted := false, false
	var refused *proxy.Result
	peers = peers[:min(len(peers), maxPeers)]
	for i, peer := range peers {
		e := &exchange{request: r, w: w, from: c.PeerAddress, earlierAttempts: r.EarlierAttempts}
		result, out := e.run(ctx, unsent, c.Open, peer)
		c.Log.Debug("request_detoured", "request_id", r.ID, "peer", peer.ID, "outcome", out, "reason", result.Reason)
		result.Peer = peer.ID
		if out == done {
			// Attempts may have been reported that sent nothing in the end.
			r.EarlierAttempts = max(e.earlierAttempts, result.Attempts)
		}
		if out == done && ctx.Err() == nil && isAbandoned(result) {
			// The node ends. The caller waits.
			out = lost
			if !result.Refusal.MayHaveRun() {
				out = untouched
			}
		}
		switch {
		case out == done && isForOthers(result):
			// The node has no path either and does not know it yet, or it stops.
			refused = &result
		case out == done:
			if result.Refusal != nil && mayHaveRun {
				// The refusal speaks of this node's attempts only.
				result.Refusal.RunState = refuse.Unknown
			}
			return result, true
		case e.hasHead:
			// A refusal after the head would end the answer as if it were whole.
			result.Truncated, result.Reason = true, reasonOf(ctx)
			return result, true
		case ctx.Err() != nil:
			return interrupted(ctx, result), true
		case out == untouched && unsent.Err() != nil:
			return proxy.Result{}, false
		case out == untouched:
		case e.isWithdrawn.Load():
			return interrupted(unsent, result), true
		default:
			mayHaveRun, unsent = true, ctx
		}
		if i == len(peers)-1 && refused != nil {
			break // nothing is sent again.
		}
		if mayHaveRun && !r.Route.IsRetryable() || !c.maySendAgain(e) {
			isExhausted = true
			break
		}
	}
	switch {
	case mayHaveRun || isExhausted && refused == nil:
		return interrupted(ctx, proxy.Result{}), true
	case refused != nil:
		return *refused, true
	}
	return proxy.Result{}, false
}

// maySendAgain reports whether the request may be sent to an endpoint after an exchange. If it was
// sent to one in it, that takes a retry, also if each endpoint refused it.
func (c *Client) maySendAgain(e *exchange) bool {
	r := e.request
	return r.EarlierAttempts == e.earlierAttempts || r.EarlierAttempts < r.Route.MaxAttempts && c.TakeRetry(r.Pool.ID)
}

// mayRunAgain reports whether another node may run a request that one may have run.
func mayRunAgain(r *proxy.Request) bool {
	return r.Route.IsRetryable() && r.EarlierAttempts < r.Route.MaxAttempts
}

// isForOthers reports whether a request was refused because the node could reach no endpoint or
// stops, so that another node may serve it.
func isForOthers(r proxy.Result) bool {
	if r.Refusal == nil || r.Refusal.MayHaveRun() {
		return false
	}
	return r.Refusal.Reason == refuse.NoEndpoint || r.Refusal.Reason == refuse.NodeStopping
}

// isAbandoned reports whether a node took its requester for gone.
func isAbandoned(r proxy.Result) bool {
	return r.Refusal != nil && r.Refusal.Reason == refuse.CallerGone
}

// reasonOf returns why a node's result did not come.
func reasonOf(ctx context.Context) string {
	cause := context.Cause(ctx)
	switch {
	case cause == nil:
		return "the node that served the request is gone"
	case errors.Is(cause, context.DeadlineExceeded):
		return "the deadline passed"
	case errors.Is(cause, proxy.ErrStopped):
		return proxy.ErrStopped.Error()
	}
	return "the caller went away"
}

func interrupted(ctx context.Context, result proxy.Result) proxy.Result {
	reason := refuse.EndpointFailed
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, context.DeadlineExceeded):
		reason = refuse.DeadlinePassed
	case errors.Is(cause, proxy.ErrStopped):
		reason = refuse.NodeStopping
	}
	result.Interrupted++
	result.Reason = reasonOf(ctx)
	result.Refusal = refuse.NewMayHaveRun(reason, result.Reason)
	return result
}

// exchange is one request at one node.
type exchange struct {
	request *proxy.Request
	w       http.ResponseWriter
	// from is this node's peer address, and earlierAttempts the number before the exchange.
	from            string
	earlierAttempts int
	// hasHead is set when the head of the answer was written to the caller.
	hasHead bool
	// hasAttempt is set once an endpoint may have got the request, and isWithdrawn when the
	// request is withdrawn before that.
	hasAttempt, isWithdrawn atomic.Bool
}

func (e *exchange) run(ctx, unsent context.Context, open link.Opener, peer member.Member) (proxy.Result, outcome) {
	openCtx, cancel := context.WithTimeout(unsent, openTimeout)
	stream, err := open(openCtx, peer.PeerAddress)
	cancel()
	if err != nil {
		return proxy.Result{Reason: err.Error()}, untouched
	}
	defer stream.Close()                                      //nolint:errcheck // the exchange is over.
	defer context.AfterFunc(ctx, func() { stream.Close() })() //nolint:errcheck // unblocks Receive, and ends the run.
	if err := e.send(stream); err != nil {
		// The node may have all of the request nevertheless.
		return proxy.Result{Reason: err.Error()}, lost
	}
	defer context.AfterFunc(unsent, func() { e.withdraw(ctx, stream) })()
	result, isDone, err := e.receive(stream)
	switch {
	case err != nil:
		return proxy.Result{Reason: err.Error()}, lost
	case !isDone:
		return result, untouched
	}
	return result, done
}

func (e *exchange) send(stream *link.Stream) error {
	r := e.request
	message := wire.Detour{
		Method: r.Method, Target: r.Target, Host: r.Host, Header: r.Header, HasBody: r.Body != nil, BodyBytes: len(r.Body),
		Remaining: int64(time.Until(r.Deadline)), Attempts: r.EarlierAttempts, LastEventID: r.Info.LastEventID,
		Pool: string(r.Pool.ID), Settings: uint64(r.Version), PeerAddress: e.from,
	}
	if r.Release != nil {
		release := string(*r.Release)
		message.Release = &release
	}
	if err := stream.Send(wire.KindDetour, message); err != nil {
		return err
	}
	return sendData(stream, wire.KindDetourBody, r.Body)
}

// withdraw asks the node to give a request up that no endpoint has got. The node may be sending it
// just now, so its reply says whether it has run.
func (e *exchange) withdraw(ctx context.Context, stream *link.Stream) {
	if ctx.Err() != nil || e.hasAttempt.Load() {
		return
	}
	e.isWithdrawn.Store(true)
	stream.Send(wire.KindDetourWithdraw, wire.Empty{}) //nolint:errcheck // receive notices that the node is gone.
}

// sendData sends data in messages of at most maxDataBytes.
func sendData(stream *link.Stream, kind link.Kind, data []byte) error {
	for len(data) > 0 {
		n := min(len(data), maxDataBytes)
		if err := stream.Send(kind, wire.DetourData{Data: data[:n]}); err != nil {
			return err
		}
		data = data[n:]
	}
	return nil
}

// receive writes the answer to the caller. It returns false if the node has done nothing
// for the request.
func (e *exchange) receive(stream *link.Stream) (result proxy.Result, isDone bool, err error) {
	for {
		timeout := lastSilenceTimeout
		if !e.hasHead && mayRunAgain(e.request) {
			timeout = silenceTimeout
		}
		if err := stream.SetReadDeadline(time.Now().Add(timeout)); err != nil {
			return result, false, err
		}
		kind, body, err := stream.Receive()
		if err != nil {
			return result, false, err
		}
		switch kind {
		case wire.KindQueued:
			progress, err := link.Decode[wire.DetourProgress](body)
			if err != nil {
				return result, false, err
			}
			attempts := progress.Attempts
			if !progress.IsCounted {
				attempts = e.earlierAttempts + 1
			}
			if attempts > e.earlierAttempts {
				e.hasAttempt.Store(true)
			}
			e.request.EarlierAttempts = max(e.request.EarlierAttempts, attempts)
		case wire.KindDetourHead:
			head, err := link.Decode[wire.DetourHead](body)
			if err != nil {
				return result, false, err
			}
			e.hasAttempt.Store(true)
			if err := reply.CheckHead(head.Status, head.Header); err != nil {
				return result, false, err
			}
			e.writeHead(head)
			result.TimeToFirstAnswer = time.Since(e.request.Arrived)
			result.Status = head.Status
		case wire.KindDetourData:
			data, err := link.Decode[wire.DetourData](body)
			if err != nil {
				return result, false, err
			}
			if _, err := e.w.Write(data.Data); err != nil {
				return result, false, err
			}
			http.NewResponseController(e.w).Flush() //nolint:errcheck // the next write fails.
		case wire.KindDetourEnd:
			end, err := link.Decode[wire.DetourEnd](body)
			if err != nil {
				return result, false, err
			}
			first, status := result.TimeToFirstAnswer, result.Status
			result = toResult(end)
			result.TimeToFirstAnswer, result.Status = first, status
			return result, !end.Declined, nil
		}
	}
}

func (e *exchange) writeHead(head wire.DetourHead) {
	e.hasHead = true
	to := e.w.Header()
	for name, values := range head.Header {
		to[name] = values
	}
	e.w.WriteHeader(head.Status)
}
