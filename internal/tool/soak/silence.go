package soak

import (
	"net"
	"syscall"
)

// setSilent holds up all that an endpoint reads and sends, or ends that. Its host goes on
// acknowledging packets; conn.TestSilentPeerCut is for one that does not.
func (e *endpoint) setSilent(isSilent bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if isSilent {
		if e.silences++; e.silences == 1 {
			e.spoken = make(chan struct{})
		}
		return
	}
	if e.silences--; e.silences == 0 {
		close(e.spoken)
		e.spoken = nil
	}
}

// setStalled makes the endpoint silent, with an accept queue that is soon full, so that further dials
// hang, or ends that.
func (e *endpoint) setStalled(isStalled bool) {
	backlog := syscall.SOMAXCONN
	if isStalled {
		backlog = 0
	}
	e.mu.Lock()
	l := e.listener
	e.mu.Unlock()
	if tcp, ok := l.(*net.TCPListener); ok {
		if raw, err := tcp.SyscallConn(); err == nil {
			raw.Control(func(fd uintptr) { syscall.Listen(int(fd), backlog) }) //nolint:errcheck // the queue is only longer.
		}
	}
	e.mu.Lock()
	e.isStalled = isStalled
	e.mu.Unlock()
	e.setSilent(isStalled)
}

// waitSpoken waits until the endpoint is not silent.
func (e *endpoint) waitSpoken() {
	e.mu.Lock()
	spoken := e.spoken
	e.mu.Unlock()
	if spoken != nil {
		<-spoken
	}
}

// mutableConn is a connection of an endpoint, which waits while the endpoint is silent.
type mutableConn struct {
	net.Conn
	endpoint *endpoint
}

// Read reads, and returns when the endpoint is not silent.
func (c *mutableConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.endpoint.waitSpoken()
	return n, err
}

// Write writes when the endpoint is not silent.
func (c *mutableConn) Write(b []byte) (int, error) {
	c.endpoint.waitSpoken()
	return c.Conn.Write(b)
}
