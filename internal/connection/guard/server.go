package guard

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
)

// maxHeaderBytes is the limit of net/http on a head, above that of any sensible settings: the port
// bounds heads before it.
const maxHeaderBytes = 4 << 20

// Protect makes a server serve within the limits of the port, on the returned listener. The
// handler, ConnState and ConnContext of the server must have been set before.
func (p *Port) Protect(s *http.Server, l net.Listener) net.Listener {
	s.MaxHeaderBytes = maxHeaderBytes
	s.Handler = p.handler(s.Handler)
	nextState, nextContext := s.ConnState, s.ConnContext
	s.ConnState = func(nc net.Conn, state http.ConnState) {
		if c := find(nc); c != nil {
			switch state {
			case http.StateActive:
				c.endHead()
			case http.StateIdle:
				c.beginHead()
			}
		}
		if nextState != nil {
			nextState(nc, state)
		}
	}
	s.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		if c := find(nc); c != nil {
			ctx = context.WithValue(ctx, connKey{}, c)
		}
		if nextContext != nil {
			ctx = nextContext(ctx, nc)
		}
		return ctx
	}
	return &listener{l, p}
}

type connKey struct{}

// find returns the connection of a Port that c is or wraps, or nil.
func find(c net.Conn) *conn {
	for {
		switch v := c.(type) {
		case *conn:
			return v
		case interface{ NetConn() net.Conn }:
			c = v.NetConn()
		default:
			return nil
		}
	}
}

// listener accepts connections for which there are places.
type listener struct {
	net.Listener
	port *Port
}

// Accept returns the next connection that has a place.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.port.admit(raw); c != nil {
			return c, nil
		}
	}
}

// handler returns a handler that calls next if there is room for the request.
func (p *Port) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		if !c.beginRequest(r) {
			p.refuse(w, r)
			return
		}
		if p.endsConnection() {
			w.Header().Set("Connection", "close")
		}
		if hasBody(r) {
			tracked := *r
			tracked.Body = &body{r.Body, r, c}
			r = &tracked
		}
		next.ServeHTTP(w, r)
	})
}

func hasBody(r *http.Request) bool {
	return r.Body != nil && r.Body != http.NoBody && r.ContentLength != 0
}

// body is the body of a request while its connection waits for the client.
type body struct {
	io.ReadCloser
	request *http.Request
	conn    *conn
}

// Read reads from the body. At its end it returns ErrNoPlace if too many requests are being
// answered.
func (b *body) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	b.conn.received(n)
	if errors.Is(err, io.EOF) {
		b.request.Trailer = nil // nothing reads the trailers, which cost more than their bytes.
		if !b.conn.port.startAnswer(b.conn) {
			err = ErrNoPlace
		}
	}
	return n, err
}
