package reply

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

// endDialTimeout limits the dial of CheckEnd.
const endDialTimeout = 400 * time.Millisecond

// Transport sends requests with net/http and checks their answers. The fields of the
// http.Transport must be set before the first request.
type Transport struct {
	http.Transport

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
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*Conn); ok {
			mu.Lock()
			defer mu.Unlock()
			used, e = c, c.begin()
		}
	}}
	resp, err := t.Transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	mu.Lock()
	defer mu.Unlock()
	if used == nil {
		return resp, err
	}
	used.mu.Lock()
	defer used.mu.Unlock()
	switch {
	case err != nil && req.Context().Err() != nil:
		return nil, err
	case err != nil:
		return nil, e.classify(err)
	case !e.head.isWhole:
		resp.Body.Close() //nolint:errcheck // the answer is not used.
		return nil, newError(Unrequested, "the answer came before the request")
	}
	if !IsDelimited(resp) {
		address := used.address
		resp.Body = &undelimitedBody{ReadCloser: resp.Body, checkEnd: func() bool {
			_, isCutOff := CheckEnd(req.Context(), func(ctx context.Context) error { return t.check(ctx, address) })
			return isCutOff
		}}
	}
	return resp, nil
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

// undelimitedBody is a body that the end of its connection ends.
type undelimitedBody struct {
	io.ReadCloser
	// checkEnd reports whether the body was broken off. It is called at most once.
	checkEnd func() bool
	// endErr is the error at the end, nil before it.
	endErr error
}

func (b *undelimitedBody) Read(p []byte) (int, error) {
	if b.endErr != nil {
		return 0, b.endErr
	}
	n, err := b.ReadCloser.Read(p)
	if n > 0 && errors.Is(err, io.EOF) {
		return n, nil // the next read finds the end again.
	}
	if errors.Is(err, io.EOF) {
		b.endErr = err
		if b.checkEnd() {
			b.endErr = &Error{BodyCut, "the endpoint is gone", io.ErrUnexpectedEOF}
		}
		err = b.endErr
	}
	return n, err
}
