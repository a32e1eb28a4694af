package reply

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// settleTimeout is how long the end of a connection waits for a request that is still being sent. Its
// next write fails soon if the peer has reset the connection, or has closed it and resets it as more
// of the request comes.
const settleTimeout = 50 * time.Millisecond

// Conn is a connection whose answers are checked as they are read. Reads may run concurrently
// with writes.
type Conn struct {
	net.Conn

	// address is the one that was dialed, "" if the connection is not of a Transport.
	address string

	mu sync.Mutex
	// current is the answer that is being read, nil before the first one.
	current *exchange
	// isSending is set while a request is being sent.
	isSending bool
	// settled is closed when the request has been sent or a write has failed; it is nil if nothing
	// waits for that.
	settled  chan struct{}
	writeErr error
	written  int64
}

// exchange is the state of reading one answer. It outlives the answer, since a connection may carry
// the next one before it has been looked at.
type exchange struct {
	head head
	// err is the *Error of a read, nil without one.
	err error
}

// Begin expects another answer, of which the caller may have read the first bytes ahead.
func (c *Conn) Begin(ahead []byte) error {
	e := c.begin()
	c.mu.Lock()
	defer c.mu.Unlock()
	e.err = e.head.check(ahead)
	return e.err
}

func (c *Conn) begin() *exchange {
	e := &exchange{}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = e
	return e
}

// Classify returns the error behind one of parsing the current answer. net/http may report a part
// of a line in place of the error of the connection. If the head was whole and valid, net/http
// cannot tell from its fields where the body ends.
func (c *Conn) Classify(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current.classify(err)
}

// classify is Classify for any exchange. The caller holds the connection's lock.
func (e *exchange) classify(err error) error {
	switch {
	case e == nil:
		return err
	case e.err != nil:
		return e.err
	case !e.head.isWhole:
		return err
	}
	text := err.Error()
	return &Error{Framing, text[:min(len(text), maxTextBytes)], err}
}

// maxTextBytes bounds the text of an error of net/http, which may quote the answer.
const maxTextBytes = 120

// Written returns the number of bytes written.
func (c *Conn) Written() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// SetSending records whether a request is being sent. The end of the connection waits for it.
func (c *Conn) SetSending(isSending bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isSending = isSending; !isSending {
		c.settle()
	}
}

// settle ends the wait of ResetError. The caller holds c.mu.
func (c *Conn) settle() {
	if c.settled != nil {
		close(c.settled)
		c.settled = nil
	}
}

// Write writes to the connection.
func (c *Conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written += int64(n)
	if err != nil && c.writeErr == nil && !errors.Is(err, net.ErrClosed) {
		c.writeErr = err
		c.settle()
	}
	return n, err
}

// Read reads from the connection. It returns an *Error if the head of the answer is not valid, or
// the connection ends within it or after a write has failed, and then again until Begin: a
// bufio.Reader may hold the first one back behind a part of a line.
func (c *Conn) Read(b []byte) (int, error) {
	if err := c.failure(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	if n > 0 {
		if headErr := c.check(b[:n]); headErr != nil {
			return 0, headErr
		}
	}
	if err == io.EOF { //nolint:errorlint // readers of connections return it unwrapped.
		err = c.checkEnd()
	}
	return n, err
}

// failure returns the error of an earlier read of the current answer, or nil.
func (c *Conn) failure() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == nil {
		return nil
	}
	return c.current.err
}

func (c *Conn) check(b []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == nil {
		return nil // bytes before the first request, which nobody asked for.
	}
	if err := c.current.head.check(b); err != nil {
		c.current.err = err
		return err
	}
	return nil
}

// checkEnd returns io.EOF if the peer has ended the connection behind the head of an answer, or
// before one, and has not reset it.
func (c *Conn) checkEnd() error {
	resetErr := c.ResetError()
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.current
	switch {
	case e == nil:
		return io.EOF
	case e.head.hasBegun():
		e.err = &Error{HeadCut, "the connection ended within the head", io.ErrUnexpectedEOF}
	case resetErr != nil:
		e.err = resetErr
	default:
		return io.EOF
	}
	return e.err
}

// ResetError returns an *Error if the connection has been reset or a write has failed. It waits for a
// request that is being sent for at most settleTimeout. The kernel reports the reset of a connection
// once, to a write if that comes first; reads then find the end of the connection, as if the peer had
// closed it.
func (c *Conn) ResetError() error {
	c.mu.Lock()
	if c.isSending && c.writeErr == nil && c.settled == nil {
		c.settled = make(chan struct{})
	}
	settled := c.settled
	c.mu.Unlock()
	if settled != nil && !isReset(c.Conn) {
		timer := time.NewTimer(settleTimeout)
		defer timer.Stop()
		select {
		case <-settled:
		case <-timer.C:
		}
	}
	c.mu.Lock()
	err := c.writeErr
	c.mu.Unlock()
	if err == nil && isReset(c.Conn) {
		err = syscall.ECONNRESET
	}
	if err == nil {
		return nil
	}
	return &Error{Reset, "the connection failed while the request was being sent: " + err.Error(), err}
}

// isReset reports whether the peer has reset a connection that is open on this side. A connection that
// is not of the kernel never is.
func isReset(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	isClosed := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		// If the peer had only closed the connection, it would be half open.
		isClosed = err == nil && info.State == unix.BPF_TCP_CLOSE
	})
	return err == nil && isClosed
}
