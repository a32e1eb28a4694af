// Package relay sends one granted request to its endpoint and streams the answer
// back in chunks.
//
// It dispatches a request once. An interrupted stream of a model runner is resumed
// at its token offset. An answer that cannot be completed ends in a refusal, never
// like a complete one.
//
// # Usage
//
//	run := &relay.Run{Client: c, Address: address, Endpoint: endpoint, Request: req, Sink: sink}
//	result := run.Model(ctx)   // or, with Timeout set, run.Service(ctx)
//	if !result.Sent {
//		// no byte was sent: another endpoint may be tried
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
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/sched"
	"goldcrestwick/internal/request/answer"
	"goldcrestwick/internal/request/intake"
	"goldcrestwick/internal/request/refuse"
)

const (
	// RequestIDHeader carries the request identifier to the endpoint and back.
	RequestIDHeader = "X-Request-Id"
	// maxResumeRetries limits the attempts to resume an interrupted run, not counting
	// the first attempt of Run.Resume. resumeBackoff is the wait before the first of
	// them; it doubles for each further one.
	maxResumeRetries = 3
	resumeBackoff    = 100 * time.Millisecond
	// stallTimeout is the longest time between two events of a stream before its
	// connection is closed.
	stallTimeout = time.Minute
	// cancelTimeout limits the request that cancels a run.
	cancelTimeout = 2 * time.Second
	// maxErrorBytes limits the part of an error answer that a refusal quotes.
	maxErrorBytes = 1 << 10
	// progressInterval is the minimum time between two calls of Progress.
	progressInterval = time.Second
)

// Run is one dispatch of a request to an endpoint.
type Run struct {
	Client   *client.Client
	Address  string
	Endpoint ident.Endpoint
	Request  *intake.Request
	Sink     answer.Sink
	// Started is called when the first token of a model's answer or the head of a
	// service's answer arrives; nil is allowed.
	Started func()
	// Progress is called at most once per progressInterval while a model's answer
	// arrives, with the mean inter-token latency since the last call; nil is
	// allowed. It is not called for a service's answer.
	Progress func(interToken time.Duration)
	// Timeout limits the duration of a call to an application runner and must be
	// positive for Service. Model and Resume ignore it.
	Timeout time.Duration
}

// Result describes how a dispatch ended.
type Result struct {
	// Sent is false if no byte of the request was sent.
	Sent bool
	// Completion is reported to the cell.
	Completion sched.Completion
	// Refusal is nil if the sink got the complete answer or CallerGone is set.
	Refusal *refuse.Refusal
	// CallerGone is set if the caller stopped reading or canceled the request.
	CallerGone bool
	// Usage is the usage that a model runner reported, zero if there was none.
	Usage answer.Usage
}

// modelRun is the state of a run at a model runner across its connections.
type modelRun struct {
	assembler
	dispatched time.Time
	firstToken time.Time
	lastToken  time.Time
	// reportedAt is the time of the last progress report, and reportedTokens the
	// number of tokens then.
	reportedAt     time.Time
	reportedTokens int
	headSent       bool
}

// sinkError is an error of the sink, which means that the caller is gone.
type sinkError struct{ error }

// Model dispatches a request to a model runner.
func (r *Run) Model(ctx context.Context) Result {
	m := &modelRun{assembler: assembler{request: r.Request.ID}, dispatched: time.Now()}
	resp, sent, err := r.post(ctx)
	if err != nil {
		return r.sendFailed(ctx, sent, err)
	}
	if resp.StatusCode != http.StatusOK {
		return r.statusFailed(resp)
	}
	err = r.read(ctx, resp.Body, m)
	for attempt := 0; err != nil && attempt < maxResumeRetries && r.canResume(ctx, err); attempt++ {
		time.Sleep(resumeBackoff << attempt)
		err = r.resume(ctx, m)
	}
	return r.finish(ctx, m, err)
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

func (r *Run) sendFailed(ctx context.Context, sent bool, err error) Result {
	if ctx.Err() != nil {
		if sent {
			r.cancel()
		}
		return Result{Sent: sent, CallerGone: true, Completion: sched.Completion{Unused: !sent}}
	}
	result := Result{Sent: sent, Completion: sched.Completion{Failed: true, NoAnswer: sent}}
	result.Refusal = refuse.New(refuse.EndpointFailed, "the endpoint could not be reached: "+err.Error())
	if sent {
		result.Refusal.RunState = refuse.Unknown
	}
	return result
}

func (r *Run) statusFailed(resp *http.Response) Result {
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	resp.Body.Close() //nolint:errcheck // the answer is an error already.
	if err != nil {
		text = nil
	}
	isServerError := resp.StatusCode >= http.StatusInternalServerError
	return Result{
		Sent:       true,
		Completion: sched.Completion{Failed: isServerError},
		Refusal: refuse.NewMayHaveRun(refuse.EndpointFailed,
			"the endpoint answered "+strconv.Itoa(resp.StatusCode)+": "+string(bytes.TrimSpace(text))),
	}
}

// read reads events from one connection and delivers them to the sink. It returns
// nil if the answer is complete, and an error if an event is not valid, the sink or
// the connection fails, ctx is done, or no event arrives for stallTimeout.
func (r *Run) read(ctx context.Context, body io.ReadCloser, m *modelRun) error {
	defer body.Close() //nolint:errcheck // read to the end or abandoned.
	stallTimer := time.AfterFunc(stallTimeout, func() { body.Close() })
	defer stallTimer.Stop()
	events := newEventReader(body)
	for {
		e, err := events.next()
		if err != nil {
			return err
		}
		stallTimer.Reset(stallTimeout)
		text, done, err := m.add(e)
		if err != nil {
			return err
		}
		if text != "" || done {
			if err := r.deliver(m, text, done); err != nil {
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

func (r *Run) deliver(m *modelRun, text string, done bool) error {
	m.lastToken = time.Now()
	if !m.headSent {
		m.headSent = true
		m.firstToken = m.lastToken
		if r.Started != nil {
			r.Started()
		}
		head := answer.Head{Status: http.StatusOK, Endpoint: r.Endpoint, Request: r.Request.ID}
		if err := r.Sink.Head(head); err != nil {
			return err
		}
	}
	r.reportProgress(m)
	chunk := answer.Chunk{Index: m.chunks, CumulativeTokens: m.tokens, Data: []byte(text), Last: done}
	if done {
		chunk.FinishReason, chunk.Usage = m.finishReason, *m.usage
	}
	m.chunks++
	return r.Sink.Chunk(chunk)
}

func (r *Run) reportProgress(m *modelRun) {
	if m.reportedAt.IsZero() {
		m.reportedAt, m.reportedTokens = m.lastToken, m.tokens
		return
	}
	elapsed, tokens := m.lastToken.Sub(m.reportedAt), m.tokens-m.reportedTokens
	if r.Progress == nil || elapsed < progressInterval || tokens == 0 {
		return
	}
	m.reportedAt, m.reportedTokens = m.lastToken, m.tokens
	r.Progress(elapsed / time.Duration(tokens))
}

// canResume reports whether a run that ended with err can be resumed: the caller
// is still there, and the endpoint did not send a complete answer whose token count
// is wrong.
func (r *Run) canResume(ctx context.Context, err error) bool {
	var sinkErr sinkError
	return ctx.Err() == nil && !eris.As(err, &sinkErr) && !eris.Is(err, errTokenCount)
}

// resume requests the rest of the answer after the last token received.
func (r *Run) resume(ctx context.Context, m *modelRun) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, r.streamURL(), nil)
	if err != nil {
		return eris.Wrap(err, "resume")
	}
	req.Header.Set("Last-Event-ID", strconv.Itoa(m.tokens))
	resp, _, err := r.Client.Do(req)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close() //nolint:errcheck // nothing to read.
		return eris.Errorf("resume answered %d", resp.StatusCode)
	}
	return r.read(ctx, resp.Body, m)
}

func (r *Run) streamURL() string { return r.Address + "/v1/streams/" + string(r.Request.ID) }

func (r *Run) finish(ctx context.Context, m *modelRun, err error) Result {
	result := Result{Sent: true, Completion: m.completion()}
	if m.usage != nil {
		result.Usage = *m.usage
		result.Completion.Cached = m.usage.CachedTokens
		result.Completion.Uncached = m.usage.PromptTokens - m.usage.CachedTokens
	}
	var sinkErr sinkError
	switch {
	case err == nil:
		result.Completion.IsWhole = true
	case eris.As(err, &sinkErr) || ctx.Err() != nil:
		result.CallerGone = true
		r.cancel()
	default:
		result.Completion.Failed, result.Completion.NoAnswer = true, !m.headSent
		result.Refusal = refuse.NewMayHaveRun(refuse.AnswerIncomplete, "the answer could not be made whole: "+err.Error())
		r.cancel()
	}
	return result
}

func (m *modelRun) completion() sched.Completion {
	c := sched.Completion{Output: ident.Tokens(m.tokens)}
	if m.headSent {
		c.TimeToFirstToken = m.firstToken.Sub(m.dispatched)
	}
	if m.tokens > 1 {
		c.InterTokenLatency = m.lastToken.Sub(m.firstToken) / time.Duration(m.tokens-1)
	}
	return c
}

// cancel requests that the endpoint cancel the run. It does not wait for the
// response.
func (r *Run) cancel() {
	go func() {
		ctx, done := context.WithTimeout(context.Background(), cancelTimeout)
		defer done()
		req, err := http.NewRequestWithContext(ctx, http.MethodDelete, r.streamURL(), nil)
		if err != nil {
			return
		}
		if resp, _, err := r.Client.Do(req); err == nil {
			resp.Body.Close() //nolint:errcheck // the response is not needed.
		}
	}()
}

// Resume relays the rest of a model's answer after the first from tokens, for a run
// that another node dispatched.
func (r *Run) Resume(ctx context.Context, from int) Result {
	m := &modelRun{assembler: assembler{request: r.Request.ID, tokens: from}, dispatched: time.Now()}
	err := r.resume(ctx, m)
	for attempt := 0; err != nil && attempt < maxResumeRetries && r.canResume(ctx, err); attempt++ {
		time.Sleep(resumeBackoff << attempt)
		err = r.resume(ctx, m)
	}
	return r.finish(ctx, m, err)
}
