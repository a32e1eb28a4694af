package proxy

import (
	"context"
	"net/http"
	"slices"

	"goldcrestwick/internal/process/trace"
)

// takesDetour reports whether another node should serve the request: this one has lost its
// path to the endpoints or, after an attempt that failed, may have.
func (p *Proxy) takesDetour(s *requestState) bool {
	if p.Detour == nil || s.IsDetour || s.hasNoDetour {
		return false
	}
	hasFailed := s.attempts+s.unsentAttempts > 0
	return p.Reach.IsLost() || hasFailed && p.Reach.IsSuspect()
}

// detour has another node serve the request from where it is. It returns false if none has
// done anything for it, or if no endpoint has got it by the end of unsent.
func (p *Proxy) detour(ctx, unsent context.Context, s *requestState) (Result, bool) {
	r := *s.Request
	r.EarlierAttempts, r.Release, r.Info.LastEventID = s.attempts, s.job.Release, s.stream.lastEventID
	w := s.w
	rest := &restWriter{ResponseWriter: s.w, stream: &s.stream, header: http.Header{}}
	if s.stream.headSent {
		w = rest
	}
	if !s.hasNotRun() {
		unsent = ctx
	}
	result, ok := p.Detour(ctx, unsent, &r, w)
	if !ok {
		s.hasNoDetour = true
		s.attempts = max(s.attempts, r.EarlierAttempts)
		return Result{}, false
	}
	result.Interrupted += s.result.Interrupted
	result.Events += s.result.Events
	result.Releases = slices.Concat(s.result.Releases, result.Releases)
	if s.stream.headSent {
		result.Status, result.TimeToFirstAnswer = s.result.Status, s.result.TimeToFirstAnswer
	}
	if rest.isFailure {
		s.attempts = max(s.attempts, result.Attempts)
		s.result = result
		return p.finish(ctx, s, outcome{result: interrupted, reason: "the endpoint failed to go on with the stream"}), true
	}
	if result.Refusal == nil || s.hasNotRun() {
		return result, true
	}
	// The refusal speaks of the other node's attempts only.
	reason := string(result.Refusal.Reason)
	s.attempts = max(s.attempts, result.Attempts)
	s.result, s.result.Refusal = result, nil
	return p.finish(ctx, s, outcome{result: interrupted, reason: reason}), true
}

// takeUpCut prepares the request to go on with a stream that another node has cut because it stops,
// and reports whether it may.
func (p *Proxy) takeUpCut(ctx context.Context, s *requestState, result Result) bool {
	if !result.Truncated || result.CutAfter == 0 || len(result.Releases) == 0 || !s.isStream() {
		return false
	}
	if result.Pool != s.Pool.ID {
		return false // the route led to another pool at the other node.
	}
	s.attempts = max(s.attempts, result.Attempts)
	out := outcome{result: interrupted, reason: result.Reason}
	if !p.canRetry(ctx, s, out) {
		return false
	}
	p.record(s, trace.Record{Event: trace.Retried, Endpoint: result.Endpoint, Reason: out.reason})
	s.mayHaveRun = true
	s.stream = streamState{headSent: true, lastEventID: result.CutAfter}
	s.job.Release = &result.Releases[len(result.Releases)-1]
	s.result = result
	s.result.Truncated, s.result.CutAfter, s.result.Peer, s.result.Reason = false, 0, "", ""
	return true
}

// restWriter writes the rest of an answer whose head the caller has. It drops the head, and
// all of an answer that does not go on with the stream.
type restWriter struct {
	http.ResponseWriter
	stream    *streamState
	header    http.Header
	isFailure bool
}

// Header returns a header that is not sent.
func (w *restWriter) Header() http.Header { return w.header }

// WriteHeader sends nothing.
func (w *restWriter) WriteHeader(status int) {
	w.isFailure = !w.stream.isContinuedBy(&http.Response{StatusCode: status, Header: w.header})
}

func (w *restWriter) Write(data []byte) (int, error) {
	if w.isFailure {
		return len(data), nil
	}
	return w.ResponseWriter.Write(data)
}

// Unwrap returns the underlying writer, for http.ResponseController.
func (w *restWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
