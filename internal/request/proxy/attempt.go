package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"goldcrestwick/internal/connection/conn"
	"goldcrestwick/internal/connection/reply"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/reach"
	"goldcrestwick/internal/process/sched"
	"goldcrestwick/internal/process/trace"
	"goldcrestwick/internal/request/entry"
)

const (
	// maxMismatched limits the mismatched answers that are skipped in one exchange.
	maxMismatched = 2
	// maxDiscardedBytes and discardTimeout limit the reading of a body that is not used,
	// for the sake of the connection.
	maxDiscardedBytes = 64 << 10
	discardTimeout    = 250 * time.Millisecond
	// maxInlineBodyBytes is the longest body that is sent before the answer is
	// read; it fits into the connection's window. Longer bodies are sent
	// concurrently.
	maxInlineBodyBytes = 8 << 10
)

// attempt sends the request to the granted endpoint and handles its answer. It
// sends nothing if the grant's TTL has passed, the endpoint is leaving, has another release or
// wants no requests for now, or ctx is done.
func (p *Proxy) attempt(ctx context.Context, s *requestState, g *entry.Grant) outcome {
	if time.Since(g.Received) > g.Response.TTL || p.IsLeaving(g.Cell, g.Response.Endpoint) || p.hasOtherRelease(s, g) ||
		p.holdOffs.covers(g.Response.Endpoint, time.Now()) || ctx.Err() != nil {
		return outcome{notSent, "the grant could not be used in time", sched.Completion{Unused: true}}
	}
	p.record(s, trace.Record{Event: trace.Dispatched, Endpoint: g.Response.Endpoint})
	s.result.Endpoint = g.Response.Endpoint
	for {
		c, err := p.Conns.Get(ctx, g.Response.Address, string(ident.CallerID(s.Info.AttemptID)))
		if err != nil {
			isFailure := ctx.Err() == nil && !p.suspectsPath(func(m *reach.Monitor) { m.DialFailed(g.Response.Endpoint) })
			return outcome{notSent, err.Error(), sched.Completion{Failed: isFailure, Unused: !isFailure}}
		}
		if !c.Reused && p.Reach != nil {
			p.Reach.Dialed()
		}
		out := p.exchange(ctx, s, g, c)
		// A reused connection that was closed before anything was sent is no
		// sign of a failed endpoint; the next connection is tried.
		if out.result != notSent || !c.Reused || ctx.Err() != nil {
			return out
		}
	}
}

// exchange runs the attempt on a connection and returns the connection to the
// pool if it can be reused.
func (p *Proxy) exchange(ctx context.Context, s *requestState, g *entry.Grant, c *conn.Conn) outcome {
	x := &exchange{Conn: c, proxy: p, state: s, grant: g, sentAt: time.Now()}
	stop := c.CloseWhenDone(ctx)
	if p.Reach != nil {
		defer p.Reach.Begin()()
	}
	out := x.run(ctx)
	out.completion.Leaving = x.isLeaving
	if !x.hasReported {
		out.completion.Statement = x.statement
	}
	if stop() && out.result != interrupted {
		p.Conns.Put(c)
		return out
	}
	c.Close() //nolint:errcheck // the exchange is over.
	return out
}

// exchange is one request and its answer on one connection.
type exchange struct {
	*conn.Conn
	proxy  *Proxy
	state  *requestState
	grant  *entry.Grant
	sentAt time.Time
	// statement is what the endpoint states of itself in its answer, nil before that.
	// hasReported is set once it was reported to the cell.
	statement   *sched.Statement
	hasReported bool
	// sendResult receives the result of sending a long body concurrently; it is nil
	// if the body is short or its result has been received.
	sendResult chan error
	// isLeaving is set if the endpoint reported that it is shutting down.
	isLeaving bool
}

func (x *exchange) run(ctx context.Context) outcome {
	if err := x.send(); err != nil {
		return x.failWithoutAnswer(ctx, err.Error(), err)
	}
	resp, info, err := x.receive()
	hasAnswered := err == nil || isInvalid(err)
	if p := x.proxy; hasAnswered && p.Reach != nil {
		p.Reach.Answered()
	}
	if err != nil && hasAnswered {
		return x.fail(ctx, faultOf(err), err.Error())
	}
	if err != nil {
		return x.failWithoutAnswer(ctx, err.Error(), err)
	}
	x.observe(resp.StatusCode, info)
	switch {
	case info.NotRun || resp.StatusCode == http.StatusMisdirectedRequest:
		return x.handleNotRun(resp)
	case resp.Header.Get("Content-Encoding") != "":
		return x.fail(ctx, faultEncoding, "the answer has a content encoding that nobody asked for")
	case isSuccess(resp.StatusCode) && !info.IsSigned:
		return x.fail(ctx, faultSignature, "the answer has no signature")
	case impliesNotRun(resp.StatusCode):
		return x.fail(ctx, faultRefusal, "the endpoint refused without saying that it did not run the request")
	}
	x.state.mayHaveRun = true
	if x.state.stream.headSent && !x.state.stream.isContinuedBy(resp) {
		return x.failToGoOn(resp)
	}
	if isSuccess(resp.StatusCode) && x.state.isStream() {
		return x.forwardStream(ctx, resp)
	}
	return x.forwardAnswer(ctx, resp)
}

// observe records what the endpoint's answer says about the endpoint itself.
func (x *exchange) observe(status int, info ResponseInfo) {
	if status == http.StatusMisdirectedRequest {
		return // another endpoint has the address now.
	}
	id := x.grant.Response.Endpoint
	x.proxy.fragile.observe(x.state.Pool.ID, info.MaxRejections, time.Now())
	x.statement = &sched.Statement{Occupancy: info.Occupancy, RateLimit: info.RateLimit}
	if status == http.StatusServiceUnavailable && info.RetryAfter > 0 {
		x.proxy.holdOffs.add(id, time.Now(), info.RetryAfter)
	}
	if x.proxy.limits.observe(id, info.RateLimit, time.Now()) && x.proxy.LimitChanged != nil {
		x.proxy.LimitChanged(id, info.RateLimit)
	}
	if info.IsLeaving {
		x.isLeaving = true
		if x.proxy.MarkLeaving != nil {
			x.proxy.MarkLeaving(id)
		}
	}
}

// reportStarted reports the first part of the answer to the cell.
func (x *exchange) reportStarted() {
	x.hasReported = true
	x.grant.ReportStarted(x.statement)
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }

// impliesNotRun reports whether callers conclude from a status that the request
// has not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout:
		return true
	}
	return false
}

func (x *exchange) send() error {
	s := x.state
	header := conn.EndToEndHeader(s.Header)
	x.proxy.Codec.EncodeForward(header, ForwardInfo{
		Remaining: time.Until(s.Deadline), Endpoint: x.grant.Response.Endpoint, Account: s.Account,
		LastEventID: s.stream.lastEventID,
	})
	length := -1
	if s.Body != nil {
		length = len(s.Body)
	}
	if s.Dispatching != nil {
		s.Dispatching(s.attempts + 1)
	}
	head := conn.RequestHead(s.Method, s.Target, s.Host, header, length)
	if len(s.Body) <= maxInlineBodyBytes {
		return x.countAttempt(x.Send(head, s.Body))
	}
	x.sendResult = make(chan error, 1)
	body := s.Body // it is dropped when the answer is whole, which may come before it is sent.
	go func() { x.sendResult <- x.Send(head, body) }()
	s.attempts++
	return nil
}

// countAttempt counts the attempt if any byte of it was sent. It returns err.
func (x *exchange) countAttempt(err error) error {
	if x.Sent() {
		x.state.attempts++
	}
	return err
}

// receive reads the head of the answer and skips answers that belong to other
// requests. An endpoint may send an earlier answer once more. One without an attempt ID is
// that of this request only if nothing else was sent or received on the connection.
func (x *exchange) receive() (*http.Response, ResponseInfo, error) {
	isOnly := !x.Reused
	for range maxMismatched + 1 {
		resp, err := x.Receive(x.state.Method)
		if err != nil {
			return nil, ResponseInfo{}, err
		}
		info := x.proxy.Codec.DecodeResponse(resp.Header)
		if info.AttemptID == "" && !isOnly {
			return nil, ResponseInfo{}, errUnidentified
		}
		if info.AttemptID == "" || info.AttemptID == x.state.Info.AttemptID {
			if !x.isBodySent() {
				x.DisableReuse()
			}
			return resp, info, nil
		}
		if !x.discard(resp.Body) {
			break
		}
		x.DisableReuse()
		isOnly = false
	}
	return nil, ResponseInfo{}, errMismatched
}

var (
	errMismatched   = errors.New("the endpoint sent only answers to other requests")
	errUnidentified = errors.New("the endpoint sent an answer that may belong to an earlier request")
)

// isBodySent reports whether the whole body has been sent. If the endpoint
// answers earlier, the rest of the body is still in transit and the connection
// cannot be reused.
func (x *exchange) isBodySent() bool {
	if x.sendResult == nil {
		return true
	}
	select {
	case err := <-x.sendResult:
		x.sendResult = nil
		return err == nil
	default:
		return false
	}
}

// fail returns the outcome of an exchange without a complete answer: notSent or
// interrupted. The reason is replaced if the caller went away or the deadline
// passed.
func (x *exchange) fail(ctx context.Context, fault reply.Fault, reason string) outcome {
	reason = bounded(reason)
	completion := sched.Completion{Failed: true}
	switch {
	case x.state.parent.Err() != nil:
		completion, reason = sched.Completion{Cancelled: true}, "the caller went away"
	case isEndedByStop(ctx):
		completion, reason = sched.Completion{Cancelled: true}, "this node stopped"
	case ctx.Err() != nil:
		completion, reason = sched.Completion{Cancelled: true}, "the deadline passed"
	}
	if !x.Sent() && x.sendResult == nil {
		return outcome{notSent, reason, completion}
	}
	x.state.mayHaveRun = true
	if p := x.proxy; completion.Failed && p.AnswerUnused != nil {
		p.AnswerUnused(x.state.ID, x.grant.Response.Endpoint, fault, reason)
	}
	return outcome{interrupted, reason, completion}
}

// failMidway returns the outcome of an exchange whose connection failed.
func (x *exchange) failMidway(ctx context.Context, reason string, err error) outcome {
	return x.excuseEndpoint(x.fail(ctx, faultOf(err), reason))
}

// failWithoutAnswer returns the outcome of an exchange that ended with an error before
// any part of the answer. Unlike failMidway, it reports to the cell whether the endpoint
// ended the connection.
func (x *exchange) failWithoutAnswer(ctx context.Context, reason string, err error) outcome {
	out := x.fail(ctx, faultOf(err), reason)
	noAnswer := out.result == interrupted && out.completion.Failed && isConnectionEnd(err)
	out = x.excuseEndpoint(out)
	// It may be a crash though the path is suspect: the cells' nodes see whether the
	// endpoint completes other requests, and what several crashes have in common.
	out.completion.NoAnswer = noAnswer
	return out
}

// excuseEndpoint reports a failure as a cancellation if it may be one of this node's path.
func (x *exchange) excuseEndpoint(out outcome) outcome {
	if out.completion.Failed && x.proxy.suspectsPath(func(m *reach.Monitor) { m.Failed(x.grant.Response.Endpoint) }) {
		out.completion = sched.Completion{Cancelled: true}
	}
	return out
}

// suspectsPath records a failure and reports whether it may be one of this node's path
// rather than of the endpoint.
func (p *Proxy) suspectsPath(record func(*reach.Monitor)) bool {
	if p.Reach == nil {
		return false
	}
	record(p.Reach)
	return p.Reach.IsSuspect()
}

// isConnectionEnd reports whether the peer closed or reset the connection.
func isConnectionEnd(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.ErrClosedPipe) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// discard reads a body that is not used to its end. It returns false if that does not
// come within maxDiscardedBytes and discardTimeout; then the connection cannot be used
// further.
func (x *exchange) discard(body io.Reader) bool {
	if x.SetReadDeadline(time.Now().Add(discardTimeout)) != nil {
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxDiscardedBytes+1))
	return err == nil && n <= maxDiscardedBytes && x.SetReadDeadline(time.Time{}) == nil
}

// failToGoOn handles an answer that does not go on with the stream, whose head and first events the
// caller has: nothing of it may come behind them.
func (x *exchange) failToGoOn(resp *http.Response) outcome {
	if !x.discard(resp.Body) {
		x.DisableReuse()
	}
	return outcome{runFailed, "the endpoint answered " + statusOf(resp) + " to a stream to go on with", sched.Completion{
		TimeToFirstToken: time.Since(x.sentAt), Erred: resp.StatusCode >= http.StatusInternalServerError,
	}}
}

// handleNotRun handles an answer by which the endpoint reports that it did not
// run the request.
func (x *exchange) handleNotRun(resp *http.Response) outcome {
	x.RecordRefused(string(ident.CallerID(x.state.Info.AttemptID)))
	if !x.discard(resp.Body) {
		x.DisableReuse()
	}
	return outcome{rejected, "the endpoint answered " + statusOf(resp) + " and did not run it", sched.Completion{
		Refused: true, Failed: resp.StatusCode == http.StatusMisdirectedRequest,
	}}
}
