package proxy

import (
	"context"
	"io"
	"net/http"
	"time"

	"goldcrestwick/internal/connection/conn"
	"goldcrestwick/internal/process/sched"
)

// maxBufferedBytes is the longest answer that is buffered until it is
// complete. Longer answers, failures included, are streamed and not retried.
const maxBufferedBytes = 256 << 10

// bufferedAnswer is a complete answer of at most maxBufferedBytes.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

func (a *bufferedAnswer) write(w http.ResponseWriter) {
	copyHeader(w, a.header)
	w.WriteHeader(a.status)
	w.Write(a.body) //nolint:errcheck // the caller may be gone.
}

func copyHeader(w http.ResponseWriter, header http.Header) {
	to := w.Header()
	for name, values := range conn.EndToEndHeader(header) {
		to[name] = values
	}
}

// forwardAnswer forwards an answer that is not an event stream. A failure of at
// most maxBufferedBytes is kept in failureAnswer instead, for finish.
func (x *exchange) forwardAnswer(ctx context.Context, resp *http.Response) outcome {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedBytes+1))
	if err == nil && len(body) <= maxBufferedBytes && x.isCutOff(ctx, resp) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return x.failWithoutAnswer(ctx, "the answer broke off: "+err.Error(), err)
	}
	took := time.Since(x.sentAt)
	if !x.state.isStream() {
		// The release that reports a stream as started counts as the one that began it.
		x.reportStarted()
	}
	isFailure := resp.StatusCode >= http.StatusInternalServerError
	out := outcome{completion: sched.Completion{
		TimeToFirstToken: took, Erred: isFailure, IsWhole: isSuccess(resp.StatusCode),
	}}
	if len(body) > maxBufferedBytes {
		return x.forwardLongAnswer(ctx, resp, body, out)
	}
	answer := &bufferedAnswer{resp.StatusCode, resp.Header, body}
	if isFailure {
		x.state.failureAnswer = answer
		return outcome{runFailed, "the endpoint answered " + statusOf(resp), out.completion}
	}
	x.state.result.TimeToFirstAnswer = time.Since(x.state.Arrived)
	x.state.result.Status = answer.status
	answer.write(x.state.w)
	return out
}

// forwardLongAnswer streams an answer that is too long to be buffered. Start is
// the part that was read already.
func (x *exchange) forwardLongAnswer(ctx context.Context, resp *http.Response, start []byte, out outcome) outcome {
	s := x.state
	copyHeader(s.w, resp.Header)
	s.w.WriteHeader(resp.StatusCode)
	s.result.Status = resp.StatusCode
	_, err := s.w.Write(start)
	if err == nil {
		_, err = io.Copy(s.w, resp.Body)
	}
	if err == nil && x.isCutOff(ctx, resp) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		s.result.Truncated = true
		out = x.fail(ctx, faultOf(err), "the answer broke off: "+err.Error())
		out.result = answered
		x.DisableReuse()
	}
	return out
}
