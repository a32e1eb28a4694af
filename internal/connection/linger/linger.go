// Package linger implements a lingering close: it keeps a connection open for a
// short time after an answer that was sent before the request's body was read.
//
// Closing a connection with unread bytes resets it, and the reset can discard an
// answer that the caller has not read yet. net/http drains a short body, but not on
// a connection that it closes after the answer, so a caller that is still writing
// would lose an early refusal. Handler therefore drains the body for a short time
// after the answer (RFC 9112, section 9.6). An answer with a Content-Length is
// complete before the drain; any other ends only after it.
//
// # Usage
//
//	server := &http.Server{Handler: linger.Handler(h)}
package linger

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// drainTimeout limits the time spent on draining a body. net/http keeps a
	// connection half closed for the same time.
	drainTimeout = 500 * time.Millisecond
	// maxDrainBytes limits how much of a body is drained, as in net/http.
	maxDrainBytes = 256 << 10
)

// Handler returns a handler that calls next and then drains the rest of the body.
// It sets a read deadline before it calls next; next must set its own before it
// reads a body, and clear it afterwards.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoMajor != 1 || r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
			next.ServeHTTP(w, r)
			return
		}
		control := http.NewResponseController(w)
		// net/http may read the rest of the body before it sends the answer's header.
		// The deadline bounds that read.
		control.SetReadDeadline(time.Now().Add(drainTimeout)) //nolint:errcheck // not every ResponseWriter supports deadlines.
		body := &trackedBody{ReadCloser: r.Body, remaining: r.ContentLength}
		tracked := *r
		tracked.Body = body
		next.ServeHTTP(w, &tracked)
		if body.isComplete.Load() || r.Header.Get("Expect") != "" {
			return // a caller that expects 100-continue sends no body after a final status.
		}
		if control.Flush() != nil {
			return // the caller is gone.
		}
		control.SetReadDeadline(time.Now().Add(drainTimeout)) //nolint:errcheck // not every ResponseWriter supports deadlines.
		// If the limit is exceeded, MaxBytesReader tells the server to close the
		// connection; net/http then half-closes it and waits briefly before it closes
		// it, so that the answer is not lost.
		io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxDrainBytes)) //nolint:errcheck // the answer is sent, and the body is discarded.
	})
}

// trackedBody is a request body that records whether it was read to its end.
type trackedBody struct {
	io.ReadCloser
	// remaining is the number of bytes not read yet, or negative if the length is
	// unknown.
	remaining int64
	// isComplete is set when the whole body has been read. It is atomic, since a
	// handler may hand the body to a connection that reads it in another goroutine.
	isComplete atomic.Bool
}

func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.remaining > 0 {
		b.remaining -= int64(n)
	}
	if err == io.EOF || b.remaining == 0 {
		b.isComplete.Store(true)
	}
	return n, err
}
