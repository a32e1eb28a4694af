// Package drain shuts an HTTP server down without losing requests on connections that callers
// have just opened.
//
// http.Server.Shutdown closes its listeners, which resets the connections that wait to be
// accepted, and closes connections whose first request it reads afterwards. On a machine
// without a free processor this hits requests that were sent half a second before. Shutdown
// therefore first accepts the waiting connections, closes the listeners, and waits for the first
// requests of the new connections.
//
// # Usage
//
//	s := drain.New(&http.Server{Handler: h})
//	go s.HTTP.Serve(s.Listener(l))
//	err := s.Shutdown(ctx)
package drain

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// acceptWait is how long the queue of a listener must be empty before it is closed.
	acceptWait = 10 * time.Millisecond
	// firstRequestWait bounds the wait for the first requests of new connections, since callers
	// may open connections that they do not use.
	firstRequestWait = time.Second
	pollInterval     = 5 * time.Millisecond
)

// Server is an HTTP server that can be shut down.
type Server struct {
	HTTP *http.Server

	mu        sync.Mutex
	listeners []*listener
	// unused holds the remote addresses of the connections without a request so far.
	unused map[string]bool
}

// New returns a server that serves by h. It sets the handler and the ConnState of h.
func New(h *http.Server) *Server {
	s := &Server{HTTP: h, unused: map[string]bool{}}
	next := h.Handler
	h.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.setUnused(r.RemoteAddr, false)
		next.ServeHTTP(w, r)
	})
	h.ConnState = func(c net.Conn, state http.ConnState) {
		// The handler reports the first request. In StateActive, the server may still close
		// the connection without an answer.
		if state != http.StateActive {
			s.setUnused(c.RemoteAddr().String(), state == http.StateNew)
		}
	}
	return s
}

func (s *Server) setUnused(address string, isUnused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if isUnused {
		s.unused[address] = true
		return
	}
	delete(s.unused, address)
}

func (s *Server) hasUnused() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.unused) > 0
}

// Listener returns a listener for HTTP.Serve. Shutdown accepts the connections that wait at
// l if l has deadlines, as net.TCPListener does.
func (s *Server) Listener(l net.Listener) net.Listener {
	wrapped := &listener{Listener: l, drained: make(chan struct{}), closed: make(chan struct{})}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, wrapped)
	return wrapped
}

// Shutdown accepts no new connections, serves the first request of those that are open, and
// then calls http.Server.Shutdown.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	listeners := s.listeners
	s.mu.Unlock()
	for _, l := range listeners {
		l.stop(ctx)
	}
	end := time.Now().Add(firstRequestWait)
	for s.hasUnused() && ctx.Err() == nil && time.Now().Before(end) {
		time.Sleep(pollInterval)
	}
	return s.HTTP.Shutdown(ctx)
}

// listener is a listener that can accept the connections in its queue before it is closed.
type listener struct {
	net.Listener
	isStopping atomic.Bool
	stopOnce   sync.Once
	closeOnce  sync.Once
	drained    chan struct{}
	closed     chan struct{}
}

type deadliner interface{ SetDeadline(t time.Time) error }

// stop waits until the connections that wait have been accepted and l is closed.
func (l *listener) stop(ctx context.Context) {
	d, ok := l.Listener.(deadliner)
	if !ok {
		return
	}
	l.isStopping.Store(true)
	if d.SetDeadline(time.Now()) != nil { // ends a running Accept.
		return
	}
	select {
	case <-l.drained:
	case <-l.closed:
	case <-ctx.Done():
	}
}

// Accept returns the next connection. While l stops, it returns those that wait, and blocks
// until Close when there are none, as the server takes an error for a failure until then.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil || !l.isStopping.Load() {
		return c, err
	}
	// The process may be paused for longer than acceptWait before a try begins.
	for range 2 {
		l.Listener.(deadliner).SetDeadline(time.Now().Add(acceptWait)) //nolint:errcheck,revive // stop has checked it; a closed listener fails below.
		if c, err = l.Listener.Accept(); err == nil {
			return c, nil
		}
	}
	l.stopOnce.Do(func() {
		l.Listener.Close() //nolint:errcheck // nothing more is accepted.
		close(l.drained)
	})
	<-l.closed
	return nil, net.ErrClosed
}

// Close closes the listener.
func (l *listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	if l.isStopping.Load() {
		l.Listener.Close() //nolint:errcheck // it may be closed already.
		return nil
	}
	return l.Listener.Close()
}
