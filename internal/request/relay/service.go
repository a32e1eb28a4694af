package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"goldcrestwick/internal/connection/conn"
	"goldcrestwick/internal/process/sched"
	"goldcrestwick/internal/request/answer"
	"goldcrestwick/internal/request/intake"
	"goldcrestwick/internal/request/refuse"
)

const pieceBytes = 32 << 10

// buffers holds the room through which answers pass; a sink keeps none of it.
var buffers sync.Pool

// dropped are our own headers, which do not pass from the caller to the
// endpoint or back.
var dropped = []string{
	"Authorization", intake.KeyHeader, intake.KeyCreatedHeader, intake.DeadlineHeader, RequestIDHeader,
}

// Service dispatches a request to an application runner and streams both
// bodies.
func (r *Run) Service(ctx context.Context) Result {
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	dispatched := time.Now()
	req, err := r.serviceRequest(ctx)
	if err != nil {
		return Result{Refusal: refuse.New(refuse.BadRequest, err.Error()), Completion: sched.Completion{Unused: true}}
	}
	resp, sent, err := r.Client.Do(req)
	if err != nil {
		return r.serviceFailed(ctx, sent, err)
	}
	defer resp.Body.Close() //nolint:errcheck // read to its end or given up.
	if id := resp.Header.Get(RequestIDHeader); id != "" && id != string(r.Request.ID) {
		return Result{
			Sent: true, Completion: sched.Completion{Failed: true},
			Refusal: refuse.Uncertain(refuse.AnswerBroken, errCrossed.Error()),
		}
	}
	if r.Started != nil {
		r.Started()
	}
	result := Result{Sent: true, Completion: sched.Completion{
		TimeToFirstToken: time.Since(dispatched),
		Failed:           resp.StatusCode >= http.StatusInternalServerError,
	}}
	r.copyAnswer(resp, &result)
	return result
}

func (r *Run) serviceRequest(ctx context.Context) (*http.Request, error) {
	q := r.Request
	url := r.Address + q.Path
	if q.Query != "" {
		url += "?" + q.Query
	}
	req, err := http.NewRequestWithContext(ctx, q.Method, url, io.NopCloser(q.Upload))
	if err != nil {
		return nil, eris.Wrap(err, "request for the service")
	}
	req.ContentLength = q.Length
	req.Header = passed(q.Header)
	req.Header.Set(RequestIDHeader, string(q.ID))
	return req, nil
}

func passed(header http.Header) http.Header {
	kept := conn.EndToEnd(header)
	for _, name := range dropped {
		kept.Del(name)
	}
	return kept
}

func (r *Run) serviceFailed(ctx context.Context, sent bool, err error) Result {
	result := Result{Sent: sent, Completion: sched.Completion{Failed: true}}
	if errors.Is(ctx.Err(), context.Canceled) {
		result.CallerGone = true
		result.Completion = sched.Completion{Unused: !sent}
		return result
	}
	result.Refusal = refuse.New(refuse.EndpointFailed, "the endpoint could not be reached: "+err.Error())
	if sent {
		result.Refusal = refuse.Uncertain(refuse.EndpointFailed, "the endpoint gave no answer: "+err.Error())
	}
	return result
}

// copyAnswer passes the answer on as it comes. An answer shorter than its
// length, or cut before its last chunk, is an error of the body's reader.
func (r *Run) copyAnswer(resp *http.Response, result *Result) {
	head := answer.Head{Status: resp.StatusCode, Header: passed(resp.Header), Endpoint: r.Endpoint, Request: r.Request.ID}
	if r.Sink.Head(head) != nil {
		result.CallerGone = true
		return
	}
	buffer, ok := buffers.Get().(*[pieceBytes]byte)
	if !ok {
		buffer = new([pieceBytes]byte)
	}
	defer buffers.Put(buffer)
	for number := 0; ; number++ {
		n, err := resp.Body.Read(buffer[:])
		last := errors.Is(err, io.EOF)
		if n > 0 || last {
			if r.Sink.Chunk(answer.Chunk{Number: number, Data: buffer[:n], Last: last}) != nil {
				result.CallerGone = true
				return
			}
		}
		if last {
			return
		}
		if err != nil {
			result.Completion.Failed = true
			result.Refusal = refuse.Uncertain(refuse.AnswerBroken, "the answer could not be made whole: "+err.Error())
			return
		}
	}
}
