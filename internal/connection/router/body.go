package router

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"goldcrestwick/internal/connection/guard"
	"goldcrestwick/internal/process/memory"
	"goldcrestwick/internal/request/proxy"
	"goldcrestwick/internal/request/refuse"
	"goldcrestwick/internal/version/config"
)

// noRoomRetryAfter is the Retry-After of a node that has no memory for a request's body.
const noRoomRetryAfter = time.Second

// readBody reads the whole body into memory, so that it can be sent again on a
// retry. It must arrive before the request's deadline. A request without a body gets
// a nil Body, or an empty one if it has the header Content-Length. The share, which may be
// nil, must be ended when the body is no longer needed.
func (rt *Router) readBody(w http.ResponseWriter, r *http.Request, req *proxy.Request, limits config.Limits) (*memory.Share, *refuse.Refusal) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		if r.Header.Get("Content-Length") != "" {
			req.Body = []byte{}
		}
		return nil, nil
	}
	controller := http.NewResponseController(w)
	controller.SetReadDeadline(req.Deadline) //nolint:errcheck // not every ResponseWriter supports deadlines.
	share, body, err := rt.readAll(r.Context(), req, http.MaxBytesReader(w, r.Body, limits.BodyBytes), r.ContentLength, func() {
		controller.SetReadDeadline(time.Now()) //nolint:errcheck // the read then ends at the request's deadline.
	})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return share, refuse.New(refuse.BodyTooLarge, "the body is longer than "+strconv.FormatInt(limits.BodyBytes, 10)+" bytes")
	case errors.Is(err, memory.ErrNoRoom), errors.Is(err, guard.ErrNoPlace):
		w.Header().Set("Connection", "close")
		refusal := refuse.New(refuse.NodeFull, err.Error())
		refusal.RetryAfter = noRoomRetryAfter
		return share, refusal
	case err != nil:
		w.Header().Set("Connection", "close")
		return share, refuse.New(refuse.BodyTooSlow, "the body did not come whole: "+err.Error())
	}
	controller.SetReadDeadline(time.Time{}) //nolint:errcheck // not every ResponseWriter supports deadlines.
	req.Body, req.BodyDropped = body, share.End
	return share, nil
}

// readAll reads a body within the budget for bodies, if there is one. The read is ended by
// abandon if the caller sends nothing while others need the memory.
func (rt *Router) readAll(ctx context.Context, req *proxy.Request, body io.Reader, length int64, abandon func()) (*memory.Share, []byte, error) {
	if !rt.Bodies.IsOn() {
		all, err := io.ReadAll(body)
		return nil, all, err
	}
	share := rt.Bodies.NewShare(memory.Owner{Request: req.ID, Tier: req.Tier.Rank}, abandon)
	all, err := share.ReadAll(ctx, body, length)
	return share, all, err
}
