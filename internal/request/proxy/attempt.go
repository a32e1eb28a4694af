package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"goldcrestwick/internal/connection/conn"
	"goldcrestwick/internal/process/sched"
	"goldcrestwick/internal/process/trace"
	"goldcrestwick/internal/request/entry"
)

const (
	// maxWhole is the longest answer that is held until it is whole; longer
	// ones are passed on as they come.
	maxWhole = 256 << 10
	// maxStray bounds the answers of other requests that are passed over.
	maxStray = 2
	// inlineBody is the longest body that is sent before the answer is
	// awaited; it fits into a connection's window.
	inlineBody = 8 << 10
)

// attempt sends the request to the granted endpoint and handles its answer.
func (p *Proxy) attempt(ctx context.Context, t *try, g *entry.Grant) outcome {
	if time.Since(g.Received) > g.Response.TTL || p.IsLeaving(g.Cell, g.Response.Endpoint) || ctx.Err() != nil {
		return outcome{unsent, "the grant could not be used in time", sched.Completion{Unused: true}}
	}
	p.note(t, trace.Record{Event: trace.Dispatched, Endpoint: g.Response.Endpoint})
	t.result.Endpoint = g.Response.Endpoint
	for {
		c, err := p.Conns.Get(ctx, g.Response.Address)
		if err != nil {
			return outcome{unsent, err.Error(), sched.Completion{Failed: ctx.Err() == nil, Unused: ctx.Err() != nil}}
		}
		out := p.exchange(ctx, t, g, c)
		// A kept connection that was closed before anything was sent says
		// nothing of the endpoint.
		if out.verdict != unsent || !c.Reused || ctx.Err() != nil {
			return out
		}
	}
}

// exchange makes the attempt on a connection.
func (p *Proxy) exchange(ctx context.Context, t *try, g *entry.Grant, c *conn.Conn) outcome {
	x := &exchange{Conn: c, proxy: p, try: t, grant: g, sentAt: time.Now()}
	stop := c.CloseWhenDone(ctx)
	out := x.run(ctx)
	if stop() && out.verdict != broken {
		p.Conns.Put(c)
		return out
	}
	c.Close() //nolint:errcheck // the exchange is over.
	return out
}

// exchange is one request on one connection.
type exchange struct {
	*conn.Conn
	proxy  *Proxy
	try    *try
	grant  *entry.Grant
	sentAt time.Time
	// occupancy is the endpoint's count of its requests, nil if not said.
	occupancy *sched.Occupancy
	// sending gets the outcome of sending a long body; nil when nothing is
	// under way.
	sending chan error
}

func (x *exchange) run(ctx context.Context) outcome {
	if err := x.send(); err != nil {
		return x.fail(ctx, err.Error())
	}
	resp, info, err := x.receive()
	if err != nil {
		return x.fail(ctx, err.Error())
	}
	switch {
	case info.NotRun || resp.StatusCode == http.StatusMisdirectedRequest:
		return x.refusedBy(resp)
	case resp.Header.Get("Content-Encoding") != "":
		return x.fail(ctx, "the answer has a content encoding that nobody asked for")
	case isSuccess(resp.StatusCode) && !info.IsSigned:
		return x.fail(ctx, "the answer has no signature")
	case isPromise(resp.StatusCode):
		return x.fail(ctx, "the endpoint refused without saying that it did not run the request")
	}
	x.try.mayHaveRun = true
	x.occupancy = info.Occupancy
	if isSuccess(resp.StatusCode) && x.try.isStream() {
		return x.stream(ctx, resp)
	}
	return x.plain(ctx, resp)
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }

// isPromise reports whether callers would take a status for the promise that
// the request has not run.
func isPromise(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout:
		return true
	}
	return false
}

func (x *exchange) send() error {
	t := x.try
	header := conn.EndToEnd(t.Header)
	x.proxy.Codec.EncodeForward(header, ForwardInfo{
		Remaining: time.Until(t.Deadline), Endpoint: x.grant.Response.Endpoint, Account: t.Account,
		After: t.stream.last,
	})
	length := -1
	if t.Body != nil {
		length = len(t.Body)
	}
	head := conn.Head(t.Method, t.Target, t.Host, header, length)
	if len(t.Body) <= inlineBody {
		return x.sent(x.Send(head, t.Body))
	}
	x.sending = make(chan error, 1)
	go func() { x.sending <- x.Send(head, t.Body) }()
	t.attempts++
	return nil
}

// sent counts the attempt when a byte of it left.
func (x *exchange) sent(err error) error {
	if x.Sent() {
		x.try.attempts++
	}
	return err
}

// receive reads the head of the answer and passes over answers that belong to
// other requests.
func (x *exchange) receive() (*http.Response, ResponseInfo, error) {
	for range maxStray + 1 {
		resp, err := x.Receive(x.try.Method)
		if err != nil {
			return nil, ResponseInfo{}, err
		}
		info := x.proxy.Codec.DecodeResponse(resp.Header)
		if info.ID == "" || info.ID == x.try.Info.ID {
			if !x.isSent() {
				x.Spoil()
			}
			return resp, info, nil
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, ResponseInfo{}, err
		}
		x.Spoil()
	}
	return nil, ResponseInfo{}, errStray
}

var errStray = errors.New("the endpoint sent only answers to other requests")

// isSent reports whether the whole body has left. An endpoint that answers
// earlier reads on later, so its connection is of no further use.
func (x *exchange) isSent() bool {
	if x.sending == nil {
		return true
	}
	select {
	case err := <-x.sending:
		x.sending = nil
		return err == nil
	default:
		return false
	}
}

// fail ends an exchange without a whole answer.
func (x *exchange) fail(ctx context.Context, reason string) outcome {
	ending := sched.Completion{Failed: true}
	switch {
	case x.try.parent.Err() != nil:
		ending, reason = sched.Completion{Cancelled: true}, "the caller went away"
	case ctx.Err() != nil:
		ending, reason = sched.Completion{Cancelled: true}, "the deadline passed"
	}
	if !x.Sent() && x.sending == nil {
		return outcome{unsent, reason, ending}
	}
	x.try.mayHaveRun = true
	return outcome{broken, reason, ending}
}

// refusedBy handles the endpoint's word that it did not run the request.
func (x *exchange) refusedBy(resp *http.Response) outcome {
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		x.Spoil()
	}
	return outcome{refused, "the endpoint answered " + resp.Status + " and did not run it", sched.Completion{
		Refused: true, Failed: resp.StatusCode == http.StatusMisdirectedRequest,
	}}
}

// whole is an answer that is held in memory.
type whole struct {
	status int
	header http.Header
	body   []byte
}

func (a *whole) write(w http.ResponseWriter) {
	writeHeader(w, a.header)
	w.WriteHeader(a.status)
	w.Write(a.body) //nolint:errcheck // the caller may be gone.
}

func writeHeader(w http.ResponseWriter, header http.Header) {
	to := w.Header()
	for name, values := range conn.EndToEnd(header) {
		to[name] = values
	}
}

// plain passes on an answer that is not an event stream.
func (x *exchange) plain(ctx context.Context, resp *http.Response) outcome {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxWhole+1))
	if err != nil {
		return x.fail(ctx, "the answer broke off: "+err.Error())
	}
	took := time.Since(x.sentAt)
	x.grant.Started(x.occupancy)
	isFailure := resp.StatusCode >= http.StatusInternalServerError
	out := outcome{ending: sched.Completion{TimeToFirstToken: took, Erred: isFailure}}
	if len(body) > maxWhole {
		return x.long(ctx, resp, body, out)
	}
	answer := &whole{resp.StatusCode, resp.Header, body}
	if isFailure {
		x.try.kept = answer
		return outcome{failed, "the endpoint answered " + resp.Status, out.ending}
	}
	x.try.result.FirstAnswer = time.Since(x.try.Arrived)
	x.try.result.Status = answer.status
	answer.write(x.try.w)
	return out
}

// long passes on an answer that is too long to be held.
func (x *exchange) long(ctx context.Context, resp *http.Response, begin []byte, out outcome) outcome {
	t := x.try
	writeHeader(t.w, resp.Header)
	t.w.WriteHeader(resp.StatusCode)
	t.result.Status = resp.StatusCode
	_, err := t.w.Write(begin)
	if err == nil {
		_, err = io.Copy(t.w, resp.Body)
	}
	if err != nil {
		t.result.Cut = true
		out = x.fail(ctx, "the answer broke off: "+err.Error())
		out.verdict = done
		x.Spoil()
	}
	return out
}
