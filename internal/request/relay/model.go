// Package relay carries one granted request to its endpoint and the answer
// back, piece by piece.
//
// It dispatches once. A model runner's stream that breaks is taken up again at
// its offset; an answer that cannot be made whole ends in a refusal with what
// is known, never as if it were complete.
//
// # Usage
//
//	run := &relay.Run{Client: c, Address: grant.Address, Endpoint: grant.Endpoint, Request: req, Sink: sink}
//	result := run.Model(ctx)   // or run.Service(ctx)
//	if !result.Sent {
//		// nothing left this process: another endpoint may be tried
//	}
package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"goldcrestwick/internal/connection/client"
	"goldcrestwick/internal/process/sched"
	"goldcrestwick/internal/request/answer"
	"goldcrestwick/internal/request/ident"
	"goldcrestwick/internal/request/intake"
	"goldcrestwick/internal/request/refuse"
)

const (
	// RequestIDHeader carries the request identifier to the endpoint and back.
	RequestIDHeader = "X-Request-Id"
	resumes         = 3
	resumePause     = 100 * time.Millisecond
	stallTime       = time.Minute
	cancelTime      = 2 * time.Second
	maxErrorBytes   = 1 << 10
	progressTime    = time.Second
)

// Run is one dispatch.
type Run struct {
	Client   *client.Client
	Address  string
	Endpoint ident.Endpoint
	Request  *intake.Request
	Sink     answer.Sink
	// Started is called when the first token or the head of the answer came.
	Started func()
	// Progress is called about once a second with the mean time between the
	// tokens since the last call; nil is allowed.
	Progress func(between time.Duration)
	// Timeout bounds a call to an application runner.
	Timeout time.Duration
}

// Result says how a dispatch ended.
type Result struct {
	// Sent is false when nothing left this process.
	Sent bool
	// Completion is what the cell learns.
	Completion sched.Completion
	// Refusal is nil when the sink has the whole answer.
	Refusal *refuse.Refusal
	// CallerGone is set when the caller stopped reading.
	CallerGone bool
	Usage      answer.Usage
}

// progress is the state of a model run over its connections.
type progress struct {
	assembly
	dispatched time.Time
	first      time.Time
	last       time.Time
	// told is when the progress was last told, and toldTokens how far it was.
	told       time.Time
	toldTokens int
	headSent   bool
}

type sinkError struct{ error }

// Model dispatches a request to a model runner.
func (r *Run) Model(ctx context.Context) Result {
	p := &progress{assembly: assembly{request: r.Request.ID}, dispatched: time.Now()}
	resp, sent, err := r.post(ctx)
	if err != nil {
		return r.failed(ctx, sent, err)
	}
	if resp.StatusCode != http.StatusOK {
		return r.rejected(resp)
	}
	err = r.read(ctx, resp.Body, p)
	for attempt := 0; err != nil && attempt < resumes && r.mayResume(ctx, err); attempt++ {
		time.Sleep(resumePause << attempt)
		err = r.resume(ctx, p)
	}
	return r.finish(ctx, p, err)
}

func (r *Run) post(ctx context.Context) (*http.Response, bool, error) {
	url := r.Address + r.Request.Form.Path()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(r.Request.Body))
	if err != nil {
		return nil, false, eris.Wrap(err, "dispatch")
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(RequestIDHeader, string(r.Request.ID))
	return r.Client.Do(req)
}

func (r *Run) failed(ctx context.Context, sent bool, err error) Result {
	if ctx.Err() != nil {
		if sent {
			r.cancel()
		}
		return Result{Sent: sent, CallerGone: true, Completion: sched.Completion{Unused: !sent}}
	}
	result := Result{Sent: sent, Completion: sched.Completion{Failed: true}}
	result.Refusal = refuse.New(refuse.EndpointFailed, "the endpoint could not be reached: "+err.Error())
	if sent {
		result.Refusal.Run = refuse.Unknown
	}
	return result
}

func (r *Run) rejected(resp *http.Response) Result {
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	resp.Body.Close() //nolint:errcheck // the answer is an error already.
	if err != nil {
		text = nil
	}
	failed := resp.StatusCode >= http.StatusInternalServerError
	return Result{
		Sent:       true,
		Completion: sched.Completion{Failed: failed},
		Refusal: refuse.Uncertain(refuse.EndpointFailed,
			"the endpoint answered "+strconv.Itoa(resp.StatusCode)+": "+string(bytes.TrimSpace(text))),
	}
}

// read takes events from one connection until the answer is whole or the
// connection fails.
func (r *Run) read(ctx context.Context, body io.ReadCloser, p *progress) error {
	defer body.Close() //nolint:errcheck // read to its end or given up.
	stalled := time.AfterFunc(stallTime, func() { body.Close() })
	defer stalled.Stop()
	events := newEventReader(body)
	for {
		e, err := events.next()
		if err != nil {
			return err
		}
		stalled.Reset(stallTime)
		text, done, err := p.add(e)
		if err != nil {
			return err
		}
		if text != "" || done {
			if err := r.deliver(p, text, done); err != nil {
				return sinkError{err}
			}
		}
		if done {
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

func (r *Run) deliver(p *progress, text string, done bool) error {
	p.last = time.Now()
	if !p.headSent {
		p.headSent = true
		p.first = p.last
		if r.Started != nil {
			r.Started()
		}
		head := answer.Head{Status: http.StatusOK, Endpoint: r.Endpoint, Request: r.Request.ID}
		if err := r.Sink.Head(head); err != nil {
			return err
		}
	}
	r.tellProgress(p)
	piece := answer.Chunk{Number: p.pieces, Offset: p.tokens, Data: []byte(text), Last: done}
	if done {
		piece.Finish, piece.Usage = p.finish, *p.usage
	}
	p.pieces++
	return r.Sink.Chunk(piece)
}

func (r *Run) tellProgress(p *progress) {
	if p.told.IsZero() {
		p.told, p.toldTokens = p.last, p.tokens
		return
	}
	took, tokens := p.last.Sub(p.told), p.tokens-p.toldTokens
	if r.Progress == nil || took < progressTime || tokens == 0 {
		return
	}
	p.told, p.toldTokens = p.last, p.tokens
	r.Progress(took / time.Duration(tokens))
}

func (r *Run) mayResume(ctx context.Context, err error) bool {
	var gone sinkError
	return ctx.Err() == nil && !eris.As(err, &gone) && !eris.Is(err, errCount)
}

// resume takes the answer up again after the last token that arrived.
func (r *Run) resume(ctx context.Context, p *progress) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, r.streamURL(), nil)
	if err != nil {
		return eris.Wrap(err, "resume")
	}
	req.Header.Set("Last-Event-ID", strconv.Itoa(p.tokens))
	resp, _, err := r.Client.Do(req)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close() //nolint:errcheck // nothing to read.
		return eris.Errorf("resume answered %d", resp.StatusCode)
	}
	return r.read(ctx, resp.Body, p)
}

func (r *Run) streamURL() string { return r.Address + "/v1/streams/" + string(r.Request.ID) }

func (r *Run) finish(ctx context.Context, p *progress, err error) Result {
	result := Result{Sent: true, Completion: p.ending()}
	if p.usage != nil {
		result.Usage = *p.usage
		result.Completion.Cached = p.usage.Cached
		result.Completion.Uncached = p.usage.Prompt - p.usage.Cached
	}
	var gone sinkError
	switch {
	case err == nil:
	case eris.As(err, &gone) || ctx.Err() != nil:
		result.CallerGone = true
		r.cancel()
	default:
		result.Completion.Failed = true
		result.Refusal = refuse.Uncertain(refuse.AnswerBroken, "the answer could not be made whole: "+err.Error())
		r.cancel()
	}
	return result
}

func (p *progress) ending() sched.Completion {
	e := sched.Completion{Output: ident.Tokens(p.tokens)}
	if p.headSent {
		e.TimeToFirstToken = p.first.Sub(p.dispatched)
	}
	if p.tokens > 1 {
		e.InterTokenLatency = p.last.Sub(p.first) / time.Duration(p.tokens-1)
	}
	return e
}

// cancel tells the endpoint that nobody waits for the answer any more. It does
// not wait for the endpoint's word.
func (r *Run) cancel() {
	go func() {
		ctx, done := context.WithTimeout(context.Background(), cancelTime)
		defer done()
		req, err := http.NewRequestWithContext(ctx, http.MethodDelete, r.streamURL(), nil)
		if err != nil {
			return
		}
		if resp, _, err := r.Client.Do(req); err == nil {
			resp.Body.Close() //nolint:errcheck // only the order counts.
		}
	}()
}

// Resume takes the rest of a model's answer up after an offset in tokens, for
// a run that another node dispatched.
func (r *Run) Resume(ctx context.Context, from int) Result {
	p := &progress{assembly: assembly{request: r.Request.ID, tokens: from}, dispatched: time.Now()}
	err := r.resume(ctx, p)
	for attempt := 0; err != nil && attempt < resumes && r.mayResume(ctx, err); attempt++ {
		time.Sleep(resumePause << attempt)
		err = r.resume(ctx, p)
	}
	return r.finish(ctx, p, err)
}
