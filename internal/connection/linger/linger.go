// Package linger keeps a connection open after an answer that was sent before
// the caller's body was read.
//
// Closing a connection with unread bytes resets it, and the reset destroys an
// answer that the caller has not read yet. net/http reads what is left of a
// short body, but not on a connection that closes after the answer; there a
// caller that is still writing loses an early refusal. A Handler reads on for
// a short while (RFC 9112, section 9.6). An answer with a Content-Length is
// whole before that; the end of any other comes after it.
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
	// wait bounds how long a body is read that nobody wants; it is the time
	// for which net/http itself keeps a connection half closed.
	wait = 500 * time.Millisecond
	// maxBytes bounds how much of such a body is read, as in net/http.
	maxBytes = 256 << 10
)

// Handler returns next with lingering connections. A read deadline is set
// before next runs; next sets its own before it reads a body, and removes it
// after.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoMajor != 1 || r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
			next.ServeHTTP(w, r)
			return
		}
		control := http.NewResponseController(w)
		// net/http may read the body before it sends the answer's header.
		control.SetReadDeadline(time.Now().Add(wait)) //nolint:errcheck // not every writer has one.
		body := &body{ReadCloser: r.Body, left: r.ContentLength}
		tracked := *r
		tracked.Body = body
		next.ServeHTTP(w, &tracked)
		if body.isWhole.Load() || r.Header.Get("Expect") != "" {
			return // a caller that expects 100 sends no body after another status.
		}
		if control.Flush() != nil {
			return // the caller is gone.
		}
		control.SetReadDeadline(time.Now().Add(wait)) //nolint:errcheck // not every writer has one.
		// Over its limit, MaxBytesReader makes net/http close in two steps.
		io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxBytes)) //nolint:errcheck // the answer is sent; the rest has no use.
	})
}

// body notes whether it was read to its end.
type body struct {
	io.ReadCloser
	// left is what is left of the announced length; below zero it is unknown.
	left int64
	// isWhole is atomic, since a handler may pass the body on to a connection
	// that reads it in a goroutine of its own.
	isWhole atomic.Bool
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.left > 0 {
		b.left -= int64(n)
	}
	if err == io.EOF || b.left == 0 {
		b.isWhole.Store(true)
	}
	return n, err
}
