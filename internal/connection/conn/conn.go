// Package conn implements a pool of HTTP/1.1 connections to endpoints. A connection
// carries one exchange at a time.
//
// Unlike net/http's Transport, it never sends a request twice, reports whether any
// byte of a request was written, and does not reuse a connection on which bytes
// arrived that belong to no request.
//
// # Usage
//
//	p := &conn.Pool{}
//	c, err := p.Get(ctx, "10.0.0.7:8080", request)
//	stop := c.CloseWhenDone(ctx)
//	err = c.Send(head, body)
//	resp, err := c.Receive(http.MethodPost)
//	// read resp.Body to its end
//	stop()
//	p.Put(c) // or c.Close()
package conn

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"goldcrestwick/internal/connection/reply"
)

const (
	// dialTimeout limits the opening of a connection. Endpoints are a few
	// milliseconds away.
	dialTimeout = 400 * time.Millisecond
	// unackedTimeout is the time after which a connection is closed if its peer
	// has not acknowledged the bytes sent. A sound peer may be silent for a second or so,
	// and the retransmission that it then acknowledges may come 3.0 s after the first
	// transmission, as the intervals double from 200 ms.
	unackedTimeout = 3200 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount configure the TCP
	// keep-alive probes, which detect a dead peer while an answer is outstanding. On Linux
	// unackedTimeout decides when they give up, whatever their count.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 5
	// defaultIdleTimeout applies to a connection whose endpoint announces no idle
	// timeout.
	defaultIdleTimeout = 10 * time.Second
	// idleMargin is subtracted from the idle timeout that an endpoint announces, so
	// that no request is sent while the endpoint closes the connection.
	idleMargin = 500 * time.Millisecond
	// bufferBytes is the size of the read buffer, and the length up to which a body is
	// always sent in a single write with its head.
	bufferBytes = 4 << 10
	// maxRefused bounds the refused requests that a connection remembers.
	maxRefused = 64
	// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT (RFC 5482).
	tcpUserTimeout = 0x12
)

// Pool keeps idle connections by address. The zero value is ready for use and
// safe for concurrent use.
type Pool struct {
	// Dial opens connections. If nil, TCP is used.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	dialCount atomic.Int64
	mu        sync.Mutex
	idle      map[string][]*Conn
}

// Conn is a connection to an endpoint. Send and Receive may run concurrently.
type Conn struct {
	*reply.Conn
	// Reused reports whether the connection has carried an exchange before.
	Reused bool

	address     string
	reader      *bufio.Reader
	writeBuffer []byte
	// hasWritten reports whether a byte of the current request was written.
	hasWritten atomic.Bool
	// isReusable reports whether the connection can carry another exchange once the
	// current answer has been read to its end.
	isReusable bool
	idleUntil  time.Time
	// maxIdle is how long the connection may stay idle after the current exchange.
	maxIdle time.Duration
	// refused holds the requests that were refused on the connection.
	refused []string
}

// Get returns the most recently used idle connection that is still open and on which the
// request has not been refused before, or dials a new one. A request without an identifier gets a
// new one: nothing tells its answer from one to an earlier request on the connection.
func (p *Pool) Get(ctx context.Context, address, request string) (*Conn, error) {
	for request != "" {
		c := p.takeIdle(address, request)
		if c == nil {
			break
		}
		if time.Now().Before(c.idleUntil) && c.isHealthy() {
			c.prepareReuse()
			return c, nil
		}
		c.discard()
	}
	return p.connect(ctx, address)
}

// prepareReuse clears the state of the last exchange. Send cannot do this, since it
// may run concurrently with Receive.
func (c *Conn) prepareReuse() {
	c.Reused = true
	c.hasWritten.Store(false)
	c.isReusable = false
}

func (p *Pool) takeIdle(address, request string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	for i, c := range slices.Backward(conns) {
		if !slices.Contains(c.refused, request) {
			p.idle[address] = slices.Delete(conns, i, i+1)
			return c
		}
	}
	return nil
}

// RecordRefused records that the endpoint refused a request, which it may state once more
// while the request is sent to it again. The connection will not carry the request again.
func (c *Conn) RecordRefused(request string) {
	c.refused = append(c.refused, request)
	if len(c.refused) >= maxRefused {
		c.DisableReuse()
	}
}

// Check reports whether an address accepts connections. It opens one and closes it.
func (p *Pool) Check(ctx context.Context, address string) error {
	c, err := p.dial(ctx, address)
	if err != nil {
		return err
	}
	return c.Close()
}

func (p *Pool) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	dial := p.Dial
	if dial == nil {
		dial = dialTCP
	}
	p.dialCount.Add(1)
	c, err := dial(ctx, address)
	return c, eris.Wrapf(err, "connect to %s", address)
}

func (p *Pool) connect(ctx context.Context, address string) (*Conn, error) {
	c, err := p.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	checked := &reply.Conn{Conn: c}
	return &Conn{Conn: checked, address: address, reader: bufio.NewReaderSize(checked, bufferBytes)}, nil
}

// DialCount returns the number of dials, including those that failed.
func (p *Pool) DialCount() int64 { return p.dialCount.Load() }

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var optionErr error
			err := raw.Control(func(fd uintptr) {
				optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
			})
			return errors.Join(err, optionErr)
		},
	}
	return d.DialContext(ctx, "tcp", address)
}

// Put returns a connection to the pool after an exchange whose answer was read to
// its end. A connection that cannot carry another exchange is closed.
func (p *Pool) Put(c *Conn) {
	if !c.isReusable || c.reader.Buffered() > 0 {
		c.discard()
		return
	}
	c.idleUntil = time.Now().Add(c.maxIdle)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[string][]*Conn{}
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Sweep closes the idle connections that have timed out. Whether a connection is
// still healthy is checked when it is used again; checking all of them each time
// would cost a system call for each.
func (p *Pool) Sweep() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if now.Before(c.idleUntil) {
				kept = append(kept, c)
				continue
			}
			c.discard()
		}
		clear(conns[len(kept):])
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
}

// Close closes all idle connections. It does not affect those in use.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conns := range p.idle {
		for _, c := range conns {
			c.discard()
		}
	}
	p.idle = nil
}

// discard closes a connection and ignores the error.
func (c *Conn) discard() {
	c.Close() //nolint:errcheck // no request depends on the connection.
}

// isHealthy reports whether an idle connection is open and has no unread bytes.
// Bytes that arrive on an idle connection do not answer any request. A connection
// that does not implement syscall.Conn is assumed to be healthy.
func (c *Conn) isHealthy() bool {
	s, ok := c.Conn.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	healthy := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		healthy = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && healthy
}

// CloseWhenDone closes the connection when the context is done, which unblocks its
// reads and writes. Calling stop prevents this; stop returns false if the connection
// has been or is being closed, or stop was called before.
func (c *Conn) CloseWhenDone(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, c.discard)
}

// Sent reports whether a byte of the current request was written.
func (c *Conn) Sent() bool { return c.hasWritten.Load() }

// Write writes to the connection and records whether any byte was written.
func (c *Conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if n > 0 {
		c.hasWritten.Store(true)
	}
	return n, err
}

// Send writes the head and the body of a request, in a single write if they are
// small.
func (c *Conn) Send(head, body []byte) error {
	c.SetSending(true)
	defer c.SetSending(false)
	if len(head)+len(body) <= cap(c.writeBuffer) || len(body) <= bufferBytes {
		c.writeBuffer = append(append(c.writeBuffer[:0], head...), body...)
		_, err := c.Write(c.writeBuffer)
		return eris.Wrap(err, "send the request")
	}
	buffers := net.Buffers{head, body}
	_, err := buffers.WriteTo(writerOnly{c})
	return eris.Wrap(err, "send the request")
}

// writerOnly hides the underlying net.Conn, so that net.Buffers calls Conn.Write.
type writerOnly struct{ c *Conn }

func (w writerOnly) Write(b []byte) (int, error) { return w.c.Write(b) }

// Receive reads the head of the next answer and skips informational ones. The
// connection is reusable once the body has been read to its end, unless the header
// forbids it or does not delimit the body. The error is a *reply.Error if there is an
// answer, which must not be used.
func (c *Conn) Receive(method string) (*http.Response, error) {
	ahead, _ := c.reader.Peek(c.reader.Buffered()) //nolint:errcheck // the bytes are buffered.
	if err := c.Begin(ahead); err != nil {
		return nil, eris.Wrap(err, "receive the answer")
	}
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, eris.Wrap(c.Classify(err), "receive the answer")
		}
		if reply.IsFinalStatus(resp.StatusCode) {
			c.maxIdle = parseKeepAlive(resp.Header)
			c.isReusable = !resp.Close && reply.IsDelimited(resp) && c.maxIdle > 0
			return resp, nil
		}
	}
}

// DisableReuse makes Put close the connection instead of keeping it for reuse.
func (c *Conn) DisableReuse() { c.isReusable = false }

// parseKeepAlive returns how long a connection may stay idle according to the header
// Keep-Alive, less idleMargin, or defaultIdleTimeout if the header has no valid
// timeout. A result that is not positive means that the connection cannot be reused.
func parseKeepAlive(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(strings.TrimSpace(name), "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return defaultIdleTimeout
}
