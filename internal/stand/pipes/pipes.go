// Package pipes is a stand-in for the network: hosts in one process that
// connect by name, and faults between them. It uses no system calls, so it
// works under testing/synctest.
//
// # Usage
//
//	n := &pipes.Net{}
//	listener, _ := n.Listen("node-1:80")
//	conn, _ := n.Dial("caller")(ctx, "tcp", "node-1:80")
//	n.Cut("node-1", "runner-2", true) // nothing passes from node-1 to runner-2
//	n.Freeze("node-1", true)          // node-1 neither sends nor receives
//	n.Kill("node-1")                  // all its connections break
package pipes

import (
	"context"
	"net"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

var (
	errRefused = eris.New("connection refused")
	errReset   = eris.New("connection reset")
)

// Net is a network. The zero value is empty and ready for use.
type Net struct {
	mu        sync.Mutex
	listeners map[string]*listener
	conns     map[*conn]bool
	cuts      map[[2]string]bool
	frozen    map[string]bool
	dead      map[string]bool
	changed   chan struct{}
}

type listener struct {
	net     *Net
	address address
	queue   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

type address string

func (a address) Network() string { return "pipe" }
func (a address) String() string  { return string(a) }

func host(addr string) string {
	h, _, err := net.SplitHostPort(addr)
	if err != nil {
		return addr
	}
	return h
}

// Listen opens an address of the form host:port.
func (n *Net) Listen(addr string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.setUp()
	if n.listeners[addr] != nil {
		return nil, eris.Errorf("%s is in use", addr)
	}
	l := &listener{net: n, address: address(addr), queue: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[addr] = l
	return l, nil
}

func (n *Net) setUp() {
	if n.listeners == nil {
		n.listeners = map[string]*listener{}
		n.conns = map[*conn]bool{}
		n.cuts = map[[2]string]bool{}
		n.frozen = map[string]bool{}
		n.dead = map[string]bool{}
		n.changed = make(chan struct{})
	}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.net.mu.Lock()
		defer l.net.mu.Unlock()
		delete(l.net.listeners, string(l.address))
	})
	return nil
}

func (l *listener) Addr() net.Addr { return l.address }

// Dial returns the way out of a host.
func (n *Net) Dial(from string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, addr string) (net.Conn, error) {
		if err := n.pass(ctx.Done(), from, host(addr)); err != nil {
			return nil, ctx.Err()
		}
		if err := n.pass(ctx.Done(), host(addr), from); err != nil {
			return nil, ctx.Err()
		}
		n.mu.Lock()
		l := n.listeners[addr]
		refused := l == nil || n.dead[from] || n.dead[host(addr)]
		n.mu.Unlock()
		if refused {
			return nil, errRefused
		}
		near, far := n.pair(from, host(addr))
		select {
		case l.queue <- far:
			return near, nil
		case <-l.closed:
			return nil, errRefused
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// pass waits until bytes can pass from one host to another.
func (n *Net) pass(giveUp <-chan struct{}, from, to string) error {
	for {
		n.mu.Lock()
		n.setUp()
		blocked := n.cuts[[2]string{from, to}] || n.frozen[from] || n.frozen[to]
		changed := n.changed
		n.mu.Unlock()
		if !blocked {
			return nil
		}
		select {
		case <-changed:
		case <-giveUp:
			return errReset
		}
	}
}

func (n *Net) change(do func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.setUp()
	do()
	close(n.changed)
	n.changed = make(chan struct{})
}

// Cut stops or lets pass what one host sends to another. What is sent
// meanwhile waits.
func (n *Net) Cut(from, to string, cut bool) {
	n.change(func() { n.cuts[[2]string{from, to}] = cut })
}

// Freeze stops a host from sending and receiving, or lets it go on.
func (n *Net) Freeze(host string, frozen bool) { n.change(func() { n.frozen[host] = frozen }) }

// Heal ends all cuts and freezes, so that nothing waits for ever.
func (n *Net) Heal() {
	n.change(func() {
		clear(n.cuts)
		clear(n.frozen)
	})
}

// Kill breaks all connections of a host and refuses new ones, from it and to
// it.
func (n *Net) Kill(host string) {
	n.change(func() { n.dead[host] = true })
	n.mu.Lock()
	var broken []*conn
	for c := range n.conns {
		if c.local == host || c.remote == host {
			broken = append(broken, c)
		}
	}
	n.mu.Unlock()
	for _, c := range broken {
		c.Close() //nolint:errcheck // a crash.
	}
}

// Revive lets a killed host start again.
func (n *Net) Revive(host string) { n.change(func() { delete(n.dead, host) }) }

// conn is one end of a connection.
type conn struct {
	net.Conn
	net           *Net
	local, remote string
	closed        chan struct{}
	once          sync.Once
}

func (n *Net) pair(from, to string) (near, far *conn) {
	a, b := net.Pipe()
	near = &conn{Conn: a, net: n, local: from, remote: to, closed: make(chan struct{})}
	far = &conn{Conn: b, net: n, local: to, remote: from, closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[near], n.conns[far] = true, true
	return near, far
}

// Write sends once the way is open.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.net.pass(c.closed, c.local, c.remote); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// Close closes this end; the other end sees it when the way is open.
func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.net.mu.Lock()
		delete(c.net.conns, c)
		c.net.mu.Unlock()
	})
	return c.Conn.Close()
}

func (c *conn) LocalAddr() net.Addr  { return address(c.local + ":0") }
func (c *conn) RemoteAddr() net.Addr { return address(c.remote + ":0") }

// SetReadDeadline works as on any connection.
func (c *conn) SetReadDeadline(t time.Time) error {
	err := c.Conn.SetReadDeadline(t)
	if err == nil || os.IsTimeout(err) {
		return nil
	}
	return err
}
