// Package conn keeps HTTP/1.1 connections to endpoints, one exchange at a time
// on each.
//
// Unlike net/http's transport it never sends anything twice, says whether any
// byte of a request left this process, and gives no connection back into use
// that holds bytes which belong to no request.
//
// # Usage
//
//	p := &conn.Pool{}
//	c, err := p.Get(ctx, "10.0.0.7:8080")
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
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// dialTimeout bounds the opening of a connection; endpoints are a few
	// milliseconds away.
	dialTimeout = 400 * time.Millisecond
	// unackedTimeout ends a connection whose peer has not acknowledged sent
	// bytes for so long.
	unackedTimeout = 900 * time.Millisecond
	// keepAliveIdle and keepAliveInterval find a peer that is gone while it
	// owes an answer.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
	// idleTimeout closes a connection whose endpoint gives no time of its own.
	idleTimeout = 10 * time.Second
	// idleMargin is left of an endpoint's own idle timeout, so that a request
	// does not cross its close.
	idleMargin  = 500 * time.Millisecond
	bufferBytes = 4 << 10
	// maxInformational bounds the 1xx answers before the final one.
	maxInformational = 8
	// tcpUserTimeout is TCP_USER_TIMEOUT of Linux (RFC 5482).
	tcpUserTimeout = 0x12
)

// Pool keeps idle connections by address. The zero value is ready for use and
// safe for concurrent use.
type Pool struct {
	// Dial opens connections; nil takes TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	dialled atomic.Int64
	mu      sync.Mutex
	idle    map[string][]*Conn
}

// Conn is one connection.
type Conn struct {
	net.Conn
	// Reused is set when the connection has carried an exchange before.
	Reused bool

	address string
	reader  *bufio.Reader
	buffer  []byte
	// sent tells whether a byte of the present request was written.
	sent atomic.Bool
	// whole is set while the connection can carry another exchange.
	whole     bool
	idleUntil time.Time
	keep      time.Duration
}

// Get returns an idle connection that is still open, or a new one.
func (p *Pool) Get(ctx context.Context, address string) (*Conn, error) {
	for {
		c := p.takeIdle(address)
		if c == nil {
			break
		}
		if time.Now().Before(c.idleUntil) && c.isQuiet() {
			c.reset()
			return c, nil
		}
		c.discard()
	}
	return p.open(ctx, address)
}

// reset forgets the last exchange. It is not done in Send, which may run beside
// Receive.
func (c *Conn) reset() {
	c.Reused = true
	c.sent.Store(false)
	c.whole = false
}

func (p *Pool) takeIdle(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := p.idle[address]
	if len(all) == 0 {
		return nil
	}
	c := all[len(all)-1]
	p.idle[address] = all[:len(all)-1]
	return c
}

func (p *Pool) open(ctx context.Context, address string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	dial := p.Dial
	if dial == nil {
		dial = dialTCP
	}
	p.dialled.Add(1)
	c, err := dial(ctx, address)
	if err != nil {
		return nil, eris.Wrapf(err, "connect to %s", address)
	}
	return &Conn{Conn: c, address: address, reader: bufio.NewReaderSize(c, bufferBytes)}, nil
}

// Dialled returns how many connections were opened.
func (p *Pool) Dialled() int64 { return p.dialled.Load() }

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
			})
			return errors.Join(err, failed)
		},
	}
	return d.DialContext(ctx, "tcp", address)
}

// Put takes a connection back after an exchange that was read to its end. A
// connection that cannot carry another one is closed.
func (p *Pool) Put(c *Conn) {
	if !c.whole || c.reader.Buffered() > 0 {
		c.discard()
		return
	}
	c.idleUntil = time.Now().Add(c.keep)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[string][]*Conn{}
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Sweep closes the connections that were idle for too long or whose endpoint
// closed them.
func (p *Pool) Sweep() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, all := range p.idle {
		kept := all[:0]
		for _, c := range all {
			if now.Before(c.idleUntil) && c.isQuiet() {
				kept = append(kept, c)
				continue
			}
			c.discard()
		}
		clear(all[len(kept):])
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, all := range p.idle {
		for _, c := range all {
			c.discard()
		}
	}
	p.idle = nil
}

// discard closes a connection that no request depends on.
func (c *Conn) discard() {
	c.Close() //nolint:errcheck // nothing is lost with it.
}

// isQuiet looks whether an idle connection is open and holds no bytes. Bytes on
// an idle connection are the answer to no request.
func (c *Conn) isQuiet() bool {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, err := syscall.Read(int(fd), one[:])
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// CloseWhenDone closes the connection when the context ends, which unblocks
// its reads and writes. Stop reports whether the connection was left open.
func (c *Conn) CloseWhenDone(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, c.discard)
}

// Sent reports whether a byte of the present request was written.
func (c *Conn) Sent() bool { return c.sent.Load() }

// Write counts what leaves this process.
func (c *Conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if n > 0 {
		c.sent.Store(true)
	}
	return n, err
}

// Send writes a request's head and body in one piece where they are small.
func (c *Conn) Send(head, body []byte) error {
	if len(head)+len(body) <= cap(c.buffer) || len(body) <= bufferBytes {
		c.buffer = append(append(c.buffer[:0], head...), body...)
		_, err := c.Write(c.buffer)
		return eris.Wrap(err, "send the request")
	}
	buffers := net.Buffers{head, body}
	_, err := buffers.WriteTo(writerOnly{c})
	return eris.Wrap(err, "send the request")
}

// writerOnly keeps net.Buffers from writing past Conn.Write.
type writerOnly struct{ c *Conn }

func (w writerOnly) Write(b []byte) (int, error) { return w.c.Write(b) }

// Receive reads the head of the next answer. The connection can be used again
// once the body was read to its end, unless the answer says otherwise.
func (c *Conn) Receive(method string) (*http.Response, error) {
	for range maxInformational {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, eris.Wrap(err, "receive the answer")
		}
		if resp.StatusCode >= http.StatusOK {
			c.keep = keepTime(resp.Header)
			framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
			c.whole = !resp.Close && framed && c.keep > 0
			return resp, nil
		}
	}
	return nil, eris.New("the endpoint sent only informational answers")
}

// Spoil keeps the connection from being used again.
func (c *Conn) Spoil() { c.whole = false }

// keepTime returns how long the connection may be idle by the header
// Keep-Alive.
func keepTime(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(strings.TrimSpace(name), "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return idleTimeout
}
