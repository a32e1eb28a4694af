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

// chunkBytes is the largest size of a chunk of a service's answer.
const chunkBytes = 32 << 10

// buffers holds the buffers through which answers are copied. They can be reused
// because a sink does not keep a chunk's data.
var buffers sync.Pool

// droppedHeaders are not forwarded between the caller and the endpoint: the headers
// that callers address to the scheduler, and the request ID, which serviceRequest
// and the caller's response writer set anew.
var droppedHeaders = []string{
	"Authorization", intake.IdempotencyKeyHeader, intake.IdempotencyKeyCreatedHeader, intake.DeadlineHeader, RequestIDHeader,
}

// Service dispatches a request to an application runner and streams the bodies of
// the request and the answer. The whole call is limited by Timeout.
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
		return r.serviceSendFailed(ctx, sent, err)
	}
	defer resp.Body.Close() //nolint:errcheck // read to the end or abandoned.
	if id := resp.Header.Get(RequestIDHeader); id != "" && id != string(r.Request.ID) {
		return Result{
			Sent: true, Completion: sched.Completion{Failed: true},
			Refusal: refuse.NewMayHaveRun(refuse.AnswerIncomplete, errMismatched.Error()),
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
	in := r.Request
	url := r.Address + in.Path
	if in.RawQuery != "" {
		url += "?" + in.RawQuery
	}
	req, err := http.NewRequestWithContext(ctx, in.Method, url, io.NopCloser(in.BodyReader))
	if err != nil {
		return nil, eris.Wrap(err, "request for the service")
	}
	req.ContentLength = in.ContentLength
	req.Header = forwardedHeader(in.Header)
	req.Header.Set(RequestIDHeader, string(in.ID))
	return req, nil
}

// forwardedHeader returns a copy of a header without hop-by-hop headers and
// droppedHeaders.
func forwardedHeader(header http.Header) http.Header {
	forwarded := conn.EndToEndHeader(header)
	for _, name := range droppedHeaders {
		forwarded.Del(name)
	}
	return forwarded
}

func (r *Run) serviceSendFailed(ctx context.Context, sent bool, err error) Result {
	result := Result{Sent: sent, Completion: sched.Completion{Failed: true}}
	if errors.Is(ctx.Err(), context.Canceled) {
		result.CallerGone = true
		result.Completion = sched.Completion{Unused: !sent}
		return result
	}
	result.Refusal = refuse.New(refuse.EndpointFailed, "the endpoint could not be reached: "+err.Error())
	if sent {
		result.Refusal = refuse.NewMayHaveRun(refuse.EndpointFailed, "the endpoint gave no answer: "+err.Error())
	}
	return result
}

// copyAnswer streams the answer to the sink and completes the result. The body's
// reader returns an error for an answer that is shorter than its Content-Length or
// ends before its last HTTP chunk.
func (r *Run) copyAnswer(resp *http.Response, result *Result) {
	head := answer.Head{Status: resp.StatusCode, Header: forwardedHeader(resp.Header), Endpoint: r.Endpoint, Request: r.Request.ID}
	if r.Sink.Head(head) != nil {
		result.CallerGone = true
		return
	}
	buffer, ok := buffers.Get().(*[chunkBytes]byte)
	if !ok {
		buffer = new([chunkBytes]byte)
	}
	defer buffers.Put(buffer)
	for number := 0; ; number++ {
		n, err := resp.Body.Read(buffer[:])
		last := errors.Is(err, io.EOF)
		if n > 0 || last {
			if r.Sink.Chunk(answer.Chunk{Index: number, Data: buffer[:n], Last: last}) != nil {
				result.CallerGone = true
				return
			}
		}
		if last {
			return
		}
		if err != nil {
			result.Completion.Failed = true
			result.Refusal = refuse.NewMayHaveRun(refuse.AnswerIncomplete, "the answer could not be made whole: "+err.Error())
			return
		}
	}
}
