// Package client sends requests to endpoints and reports whether any byte of a
// request was written.
//
// net/http retries some requests by itself if an idle connection turns out to be
// closed. A scheduler that dispatches each request at most once must make that
// decision itself, so a Client never retries, and Do reports whether the endpoint
// may have received any of the request.
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

	"goldcrestwick/internal/connection/reply"
)

const (
	dialTimeout    = 2 * time.Second
	idleTimeout    = 20 * time.Second
	maxIdlePerHost = 64
	bufferBytes    = 4 << 10
)

// Client is an HTTP client for all endpoints. The zero value is ready for use and
// safe for concurrent use.
type Client struct {
	// Dial opens connections. If nil, TCP is used.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	// Unused is called when an answer of the endpoint at an address cannot be used; it may be nil.
	// reply.FaultOf returns the fault.
	Unused func(address string, err error)

	once   sync.Once
	client http.Client
}

func (c *Client) initTransport() {
	dial := c.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	c.client.Transport = &reply.Transport{Unused: c.Unused, Transport: http.Transport{
		DialContext:            dial,
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: reply.MaxHeadBytes,
		DisableCompression:     true,
		ReadBufferSize:         bufferBytes,
		WriteBufferSize:        bufferBytes,
	}}
	c.client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
}

// Do sends a request once. It reports sent as false only if no byte of the request
// can have reached the endpoint. The error, or that of the answer's body, is a *reply.Error
// if there is an answer, which must not be used.
func (c *Client) Do(req *http.Request) (resp *http.Response, sent bool, err error) {
	c.once.Do(c.initTransport)
	var usedConn atomic.Pointer[reply.Conn]
	var writtenBefore atomic.Int64
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*reply.Conn); ok {
			writtenBefore.Store(conn.Written())
			usedConn.Store(conn)
		}
	}}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	preventRetry(req)
	resp, err = c.client.Do(req)
	conn := usedConn.Load()
	sent = err == nil || conn != nil && conn.Written() > writtenBefore.Load()
	return resp, sent, err
}

// preventRetry keeps net/http from retrying a request by giving it a body that
// cannot be rewound. An empty body of a request that net/http would not retry stays,
// so that the request is sent with a Content-Length.
func preventRetry(req *http.Request) {
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

// CloseIdleConnections closes the connections that carry no request at present.
func (c *Client) CloseIdleConnections() { c.client.CloseIdleConnections() }
