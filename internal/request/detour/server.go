package detour

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/connection/wire"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/tick"
	"goldcrestwick/internal/request/proxy"
	"goldcrestwick/internal/request/refuse"
)

// Server serves the requests of nodes that have lost their path. Set the exported fields
// before use; it is safe for concurrent use.
type Server struct {
	// AwaitSettings waits until settings that are no older than a version are in force here, for
	// which it may fetch them from the requester. It returns false if they are not by the time
	// that ctx is done.
	AwaitSettings func(ctx context.Context, version ident.Version, from string) bool
	// Resolve finds the route, the account and the pool of a request, the given one if the
	// route leads there. The release function must be called when the request ends, also if
	// it is refused.
	Resolve func(r *proxy.Request, pool ident.PoolID) (release func(), refusal *refuse.Refusal)
	// Serve proxies a request. It writes the answer unless its result has a refusal.
	Serve func(context.Context, *proxy.Request, http.ResponseWriter) proxy.Result
	// IsLost reports whether this node has lost its path too.
	IsLost func() bool
	// Ended is called with each request that was served, and Declined with each one that was
	// not. They get the settings version of the requester, and may be nil.
	Ended    func(r *proxy.Request, requester ident.Version, result proxy.Result)
	Declined func(r *proxy.Request, requester ident.Version, reason string)

	active atomic.Int64
}

// Active returns the number of requests that are served.
func (s *Server) Active() int { return int(s.active.Load()) }

// Handle serves one request.
func (s *Server) Handle(ctx context.Context, stream *link.Stream, m wire.Detour) {
	s.active.Add(1)
	defer s.active.Add(-1)
	body, err := receiveBody(stream, m)
	if err != nil {
		return
	}
	r := &proxy.Request{
		Method: m.Method, Target: m.Target, Host: m.Host, Header: m.Header, Body: body,
		Arrived: time.Now(), IsDetour: true, EarlierAttempts: m.Attempts,
	}
	if m.Release != nil {
		release := ident.Release(*m.Release)
		r.Release = &release
	}
	deadline := r.Arrived.Add(time.Duration(m.Remaining))
	requester := ident.Version(m.Settings)
	awaitCtx, cancelAwait := context.WithTimeout(ctx, settingsTimeout)
	isCurrent := s.AwaitSettings(awaitCtx, requester, m.PeerAddress)
	cancelAwait()
	release, refusal := s.Resolve(r, ident.PoolID(m.Pool))
	defer release()
	if !isCurrent || refusal != nil || s.IsLost() {
		if s.Declined != nil {
			s.Declined(r, requester, reasonToDecline(isCurrent, refusal))
		}
		stream.Send(wire.KindDetourEnd, wire.DetourEnd{Declined: true}) //nolint:errcheck // the requester tries others.
		return
	}
	r.Deadline, r.Info.LastEventID = deadline, m.LastEventID
	// Without the deadline, so that it is not taken for the requester's leaving.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var hasAttempt atomic.Bool
	go func() {
		defer cancel()
		for {
			kind, _, err := stream.Receive()
			if err != nil || kind != wire.KindDetourWithdraw || !hasAttempt.Load() {
				return // the requester gives the request up or is gone.
			}
		}
	}()
	w := &writer{stream: stream, header: http.Header{}}
	r.Dispatching = func(attempts int) {
		hasAttempt.Store(true)
		stream.Send(wire.KindQueued, wire.DetourProgress{Attempts: attempts, IsCounted: true}) //nolint:errcheck // the requester notices the silence.
	}
	stop := w.sendHeartbeats(ctx)
	result := s.Serve(ctx, r, w)
	stop()
	if s.Ended != nil {
		s.Ended(r, requester, result)
	}
	stream.Send(wire.KindDetourEnd, fromResult(result)) //nolint:errcheck // the requester may be gone.
}

func reasonToDecline(isCurrent bool, refusal *refuse.Refusal) string {
	switch {
	case !isCurrent:
		return "older settings than the requester's"
	case refusal != nil:
		// The settings here may be newer: the requester has a route.
		return string(refusal.Reason)
	}
	return "no path to the endpoints"
}

var errBodyTooLong = eris.New("a request's body is longer than announced or allowed")

func receiveBody(stream *link.Stream, m wire.Detour) ([]byte, error) {
	if !m.HasBody {
		return nil, nil
	}
	if m.BodyBytes < 0 || m.BodyBytes > maxBodyBytes {
		return nil, errBodyTooLong
	}
	if err := stream.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		return nil, err
	}
	body := []byte{}
	for len(body) < m.BodyBytes {
		_, raw, err := stream.Receive()
		if err != nil {
			return nil, err
		}
		part, err := link.Decode[wire.DetourData](raw)
		if err != nil {
			return nil, err
		}
		body = append(body, part.Data...)
	}
	if len(body) > m.BodyBytes {
		return nil, errBodyTooLong
	}
	return body, stream.SetReadDeadline(time.Time{})
}

// writer is an http.ResponseWriter that sends the answer to the requester.
type writer struct {
	stream  *link.Stream
	header  http.Header
	hasHead bool
}

func (w *writer) Header() http.Header { return w.header }

func (w *writer) WriteHeader(status int) {
	if w.hasHead {
		return
	}
	w.hasHead = true
	w.stream.Send(wire.KindDetourHead, wire.DetourHead{Status: status, Header: w.header}) //nolint:errcheck // the next write fails.
}

func (w *writer) Write(b []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	if err := sendData(w.stream, wire.KindDetourData, b); err != nil {
		return 0, err
	}
	return len(b), nil
}

// FlushError does nothing, since each message is sent at once.
func (w *writer) FlushError() error { return nil }

// sendHeartbeats sends heartbeats until stop is called.
func (w *writer) sendHeartbeats(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var done sync.WaitGroup
	done.Go(func() {
		tick.Every(ctx, heartbeatInterval, func(context.Context) {
			w.stream.Send(wire.KindQueued, wire.DetourProgress{IsCounted: true}) //nolint:errcheck // the requester notices the silence.
		})
	})
	return func() {
		cancel()
		done.Wait()
	}
}
