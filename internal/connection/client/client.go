// Package client sends requests to endpoints and knows whether any byte of a
// request left this process.
//
// net/http repeats some requests by itself when a kept connection turns out to
// be closed. A scheduler that dispatches each request at most once must decide
// that itself, so a Client never retries, and Do says whether the request may
// have been seen.
//
// # Usage
//
//	c := &client.Client{}
//	resp, sent, err := c.Do(req)
//	if err != nil && !sent {
//		// safe to dispatch again
//	}
package client

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	dialTimeout       = 2 * time.Second
	idleTimeout       = 20 * time.Second
	maxIdlePerHost    = 64
	maxResponseHeader = 64 << 10
	bufferBytes       = 4 << 10
)

// Client is the way out to all endpoints. The zero value is ready for use and
// safe for concurrent use.
type Client struct {
	// Dial opens connections; nil takes TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	once   sync.Once
	client http.Client
}

// conn counts the bytes written to a connection.
type conn struct {
	net.Conn
	written atomic.Int64
}

func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

func (o *Client) setUp() {
	dial := o.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	o.client.Transport = &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: c}, nil
		},
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxResponseHeader,
		DisableCompression:     true,
		ReadBufferSize:         bufferBytes,
		WriteBufferSize:        bufferBytes,
	}
	o.client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
}

// Do sends a request once. Sent is false only when no byte of it can have
// reached the endpoint.
func (o *Client) Do(req *http.Request) (resp *http.Response, sent bool, err error) {
	o.once.Do(o.setUp)
	var used atomic.Pointer[conn]
	var before atomic.Int64
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*conn); ok {
			before.Store(c.written.Load())
			used.Store(c)
		}
	}}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	guard(req)
	resp, err = o.client.Do(req)
	c := used.Load()
	sent = err == nil || c != nil && c.written.Load() > before.Load()
	return resp, sent, err
}

// guard gives a request that net/http would repeat a body that cannot be
// rewound, which keeps it from doing so. Others keep their empty body, so that
// they are sent with their length.
func guard(req *http.Request) {
	req.GetBody = nil
	if req.Body != nil && req.Body != http.NoBody {
		return
	}
	switch req.Method {
	case http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete:
		if req.Header.Get("Idempotency-Key") == "" && req.Header.Get("X-Idempotency-Key") == "" {
			return
		}
	}
	req.Body = io.NopCloser(strings.NewReader(""))
}

// CloseIdle closes the connections that carry no request.
func (o *Client) CloseIdle() { o.client.CloseIdleConnections() }
