package memory

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

const (
	// blockTime is how long a direct write may take before the rest is buffered. It spares
	// the buffer where a caller's window is only full for a moment, and is far below the
	// time after which endpoints cut off an answer that is not read.
	blockTime = 5 * time.Millisecond
	// sendBufferBytes is the size of the kernel's send buffer of a caller's connection,
	// which the kernel doubles for its own data. Unset, it takes 3.9 MB for a caller that
	// does not read, uncounted. With 32 kB, answers of 64 kB take 44 ms on a loopback link,
	// since the caller's kernel delays its acknowledgments; with 64 kB, 20 us as without.
	sendBufferBytes = 64 << 10
)

// Listener accepts callers' connections whose answers are buffered within a budget.
type Listener struct {
	net.Listener
	Budget *Budget
}

// Accept returns the next connection, a *Conn.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return NewConn(c, l.Budget), nil
}

// Conn is a caller's connection. Between Begin and Finish what is written to it may be
// buffered; otherwise it is written directly. A nil Conn buffers nothing. Its methods other
// than Close and those of net.Conn must be called by the goroutine that writes.
type Conn struct {
	net.Conn
	budget *Budget
	// raw is nil if the connection has no file descriptor.
	raw syscall.RawConn
	// writeFunc is the method value of writeOnce, with its arguments and results, which are
	// kept here so that a write allocates nothing.
	writeFunc func(fd uintptr) bool
	toWrite   []byte
	written   int
	writeErr  error

	// ctx and owner are those of the current answer; ctx is nil outside of answers.
	ctx   context.Context
	owner Owner
	// queue is nil until a write of the current answer has blocked, and err is the error of
	// a direct write before that.
	queue *queue
	err   error
}

// NewConn returns a connection that buffers within a budget. If the budget is off, it acts
// like the one given.
func NewConn(c net.Conn, b *Budget) *Conn {
	conn := &Conn{Conn: c, budget: b}
	if !b.IsOn() {
		return conn
	}
	if s, ok := c.(syscall.Conn); ok {
		if raw, err := s.SyscallConn(); err == nil {
			conn.raw, conn.writeFunc = raw, conn.writeOnce
		}
	}
	if tcp := findTCP(c); tcp != nil {
		tcp.SetWriteBuffer(sendBufferBytes) //nolint:errcheck // the connection works without.
	}
	return conn
}

type connKey struct{}

// ConnContext is for http.Server.ConnContext. It makes the connection known to FromContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if c, ok := c.(*Conn); ok {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// FromContext returns the connection of a request, or nil.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn) //nolint:errcheck,revive // nil is a valid Conn.
	return c
}

// Begin starts an answer. It ends early, and what is buffered is dropped, when ctx is done,
// which must be the case once the caller has left. It does nothing if the budget is off.
func (c *Conn) Begin(ctx context.Context, o Owner) {
	if c != nil && c.budget.IsOn() {
		c.ctx, c.owner, c.err = ctx, o, nil
	}
}

// HasBuffered reports whether a write of the current answer has blocked.
func (c *Conn) HasBuffered() bool { return c != nil && c.queue != nil }

// Finish waits until the caller has taken all that is buffered, and ends the answer. If it
// returns an error, the caller did not get all that was written, and the connection must be
// closed.
func (c *Conn) Finish() error {
	if c == nil {
		return nil
	}
	q, err := c.queue, c.err
	c.ctx, c.queue, c.err = nil, nil, nil
	if q == nil {
		return err
	}
	return q.finish()
}

// Write writes to the caller or its buffer. It waits if the caller does not read and the
// budget is used up.
func (c *Conn) Write(b []byte) (int, error) {
	if c.ctx == nil {
		return c.Conn.Write(b)
	}
	if c.queue != nil {
		return c.queue.write(b)
	}
	n, err := c.writeBriefly(b)
	if err != nil || n == len(b) {
		c.err = err
		return n, err
	}
	c.queue = newQueue(c)
	m, err := c.queue.buffer(b[n:])
	return n + m, err
}

// writeBriefly writes what the caller takes within blockTime.
func (c *Conn) writeBriefly(b []byte) (int, error) {
	n := 0
	if c.raw != nil {
		c.toWrite, c.written, c.writeErr = b, 0, nil
		err := errors.Join(c.raw.Write(c.writeFunc), c.writeErr)
		n, c.toWrite = c.written, nil
		if err != nil || n == len(b) {
			return n, err
		}
	}
	if err := c.Conn.SetWriteDeadline(time.Now().Add(blockTime)); err != nil {
		return n, err
	}
	m, err := c.Conn.Write(b[n:])
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = nil
	}
	return n + m, errors.Join(err, c.Conn.SetWriteDeadline(time.Time{}))
}

// writeOnce writes as much of toWrite as the kernel takes at once.
func (c *Conn) writeOnce(fd uintptr) bool {
	for c.written < len(c.toWrite) {
		n, err := syscall.Write(int(fd), c.toWrite[c.written:])
		switch {
		case errors.Is(err, syscall.EINTR):
			continue
		case errors.Is(err, syscall.EAGAIN):
			return true
		case err != nil:
			c.writeErr = os.NewSyscallError("write", err)
			return true
		}
		c.written += n
	}
	return true
}

// CloseWrite closes the writing side, for the lingering close of net/http.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// NetConn returns the connection that c writes to, as that of tls.Conn does.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// findTCP returns the TCP connection that c is or wraps, or nil.
func findTCP(c net.Conn) *net.TCPConn {
	for {
		switch v := c.(type) {
		case *net.TCPConn:
			return v
		case interface{ NetConn() net.Conn }:
			c = v.NetConn()
		default:
			return nil
		}
	}
}

// reset closes the connection so that an answer without a length does not look complete.
func (c *Conn) reset() {
	if tcp := findTCP(c.Conn); tcp != nil {
		tcp.SetLinger(0) //nolint:errcheck // the connection is closed anyway.
	}
	c.Close() //nolint:errcheck // nothing more is sent.
}
