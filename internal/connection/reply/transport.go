package reply

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"
)

// endDialTimeout limits the dial of CheckEnd.
const endDialTimeout = 400 * time.Millisecond

// Transport sends requests with net/http and checks their answers. The fields of the
// http.Transport must be set before the first request.
type Transport struct {
	http.Transport
	// Unused is called when an answer of the server at an address cannot be used, with an error of
	// which FaultOf returns the fault. It may be nil, and must be set before the first request.
	Unused func(address string, err error)

	once sync.Once
	dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// prepare makes the connections Conns.
func (t *Transport) prepare() {
	t.dial = t.DialContext
	if t.dial == nil {
		t.dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := t.dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &Conn{Conn: c, address: address}, nil
	}
}

// RoundTrip implements http.RoundTripper. Its error, or that of the answer's body, is an *Error if
// there is an answer, which must not be used.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	t.once.Do(t.prepare)
	var mu sync.Mutex
	var used *Conn
	var e *exchange
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*Conn); ok {
				c.SetSending(true)
				mu.Lock()
				defer mu.Unlock()
				used, e = c, c.begin()
			}
		},
		WroteRequest: func(httptrace.WroteRequestInfo) {
			mu.Lock()
			defer mu.Unlock()
			if used != nil {
				used.SetSending(false)
			}
		},
	}
	resp, err := t.Transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	mu.Lock()
	c, answer := used, e
	mu.Unlock()
	if c == nil {
		return resp, err
	}
	c.mu.Lock()
	hasHead := answer.head.isWhole
	if err != nil {
		err = answer.classify(err)
	}
	c.mu.Unlock()
	if err == nil && !hasHead {
		resp.Body.Close() //nolint:errcheck // the answer is not used.
		err = newError(Unrequested, "the answer came before the request")
	}
	if err != nil {
		t.report(req, c.address, err)
		return nil, err
	}
	if resp.Body != http.NoBody {
		resp.Body = &body{ReadCloser: resp.Body, transport: t, resp: resp, address: c.address}
	}
	return resp, nil
}

// report calls Unused unless the request was given up.
func (t *Transport) report(req *http.Request, address string, err error) {
	if t.Unused != nil && req.Context().Err() == nil {
		t.Unused(address, err)
	}
}

// check reports whether an address accepts connections. It opens one and closes it.
func (t *Transport) check(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, endDialTimeout)
	defer cancel()
	c, err := t.dial(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return c.Close()
}

// body is the body of an answer.
type body struct {
	io.ReadCloser
	transport *Transport
	resp      *http.Response
	address   string
	isClosed  atomic.Bool
	// endErr is the error at the end of the body, nil before it.
	endErr error
}

// Read reads from the body. It returns io.EOF only at the end of a whole one.
func (b *body) Read(p []byte) (int, error) {
	if b.endErr != nil {
		return 0, b.endErr
	}
	n, err := b.ReadCloser.Read(p)
	if err == nil {
		return n, nil
	}
	req := b.resp.Request
	if err == io.EOF && !IsDelimited(b.resp) { //nolint:errorlint // readers return it unwrapped.
		check := func(ctx context.Context) error { return b.transport.check(ctx, b.address) }
		if _, isCutOff := CheckEnd(req.Context(), check); isCutOff {
			err = &Error{BodyCut, "the endpoint is gone", io.ErrUnexpectedEOF}
		}
	}
	if err != io.EOF && !b.isClosed.Load() { //nolint:errorlint // readers return it unwrapped.
		b.transport.report(req, b.address, err)
	}
	b.endErr = err
	return n, err
}

// Close closes the body, which may end a Read.
func (b *body) Close() error {
	b.isClosed.Store(true)
	return b.ReadCloser.Close()
}
