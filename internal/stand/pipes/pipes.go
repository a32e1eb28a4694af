// Package pipes is a stand-in for the network: in-memory connections between
// named hosts in one process, with injected faults. It makes no system calls, so
// it works under testing/synctest.
//
// # Usage
//
//	n := &pipes.Network{}
//	listener, _ := n.Listen("node-1:80")
//	conn, _ := n.Dial("caller")(ctx, "tcp", "node-1:80")
//	n.SetBlocked("node-1", "runner-2", true) // node-1 cannot send to runner-2
//	n.SetFrozen("node-1", true)              // node-1 can neither send nor receive
//	n.Kill("node-1")                         // closes all connections of node-1
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

// Network holds the hosts, their connections and the faults. The zero value is empty and ready for use. It is safe for
// concurrent use.
type Network struct {
	// Sent, if not nil, is called with the hosts and the size of each write. It is set before the
	// first use.
	Sent func(from, to string, bytes int)

	mu        sync.Mutex
	listeners map[string]*listener
	conns     map[*conn]bool
	blocked   map[[2]string]bool // by source and destination host
	refused   map[[2]string]bool // by dialing and listening host
	frozen    map[string]bool
	killed    map[string]bool
	changed   chan struct{} // closed at the next change of the faults
}

type listener struct {
	net     *Network
	address address
	pending chan net.Conn
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

// Listen listens on an address of the form host:port.
func (n *Network) Listen(addr string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.initMaps()
	if n.listeners[addr] != nil {
		return nil, eris.Errorf("address %s is already in use", addr)
	}
	l := &listener{net: n, address: address(addr), pending: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[addr] = l
	return l, nil
}

func (n *Network) initMaps() {
	if n.listeners == nil {
		n.listeners = map[string]*listener{}
		n.conns = map[*conn]bool{}
		n.blocked = map[[2]string]bool{}
		n.refused = map[[2]string]bool{}
		n.frozen = map[string]bool{}
		n.killed = map[string]bool{}
		n.changed = make(chan struct{})
	}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.pending:
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

// Dial returns a dial function, as of net.Dialer.DialContext, for connections
// from a host. A dial waits while either direction between the hosts is blocked.
func (n *Network) Dial(from string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, addr string) (net.Conn, error) {
		if err := n.waitUnblocked(ctx.Done(), from, host(addr)); err != nil {
			return nil, ctx.Err()
		}
		if err := n.waitUnblocked(ctx.Done(), host(addr), from); err != nil {
			return nil, ctx.Err()
		}
		n.mu.Lock()
		l := n.listeners[addr]
		isRefused := l == nil || n.killed[from] || n.killed[host(addr)] || n.refused[[2]string{from, host(addr)}]
		n.mu.Unlock()
		if isRefused {
			return nil, errRefused
		}
		local, remote := n.connect(from, host(addr))
		select {
		case l.pending <- remote:
			return local, nil
		case <-l.closed:
			return nil, errRefused
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// waitUnblocked waits until one host can send to another, or returns errReset
// when done is closed.
func (n *Network) waitUnblocked(done <-chan struct{}, from, to string) error {
	for {
		n.mu.Lock()
		n.initMaps()
		isBlocked := n.blocked[[2]string{from, to}] || n.frozen[from] || n.frozen[to]
		changed := n.changed
		n.mu.Unlock()
		if !isBlocked {
			return nil
		}
		select {
		case <-changed:
		case <-done:
			return errReset
		}
	}
}

// update changes the faults and wakes all waiting dials and writes.
func (n *Network) update(apply func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.initMaps()
	apply()
	close(n.changed)
	n.changed = make(chan struct{})
}

// SetBlocked blocks or unblocks the direction from one host to another. While it is
// blocked, writes in this direction and dials between the hosts in both directions
// wait.
func (n *Network) SetBlocked(from, to string, blocked bool) {
	n.update(func() { n.blocked[[2]string{from, to}] = blocked })
}

// SetRefused refuses the dials from one host to another, or no longer. Connections that
// are open live on.
func (n *Network) SetRefused(from, to string, refused bool) {
	n.update(func() { n.refused[[2]string{from, to}] = refused })
}

// Reset closes all connections between two hosts.
func (n *Network) Reset(a, b string) {
	n.closeConns(func(c *conn) bool { return c.local == a && c.remote == b || c.local == b && c.remote == a })
}

// SetFrozen blocks or unblocks all that a host sends and receives.
func (n *Network) SetFrozen(host string, frozen bool) { n.update(func() { n.frozen[host] = frozen }) }

// Heal unblocks all directions and hosts and refuses no dials, so that no write or dial waits forever. It
// does not revive killed hosts.
func (n *Network) Heal() {
	n.update(func() {
		clear(n.blocked)
		clear(n.refused)
		clear(n.frozen)
	})
}

// Kill closes all connections of a host, as a crash does, and refuses new ones
// from it and to it.
func (n *Network) Kill(host string) {
	n.update(func() { n.killed[host] = true })
	n.closeConns(func(c *conn) bool { return c.local == host || c.remote == host })
}

// closeConns closes the connections that are selected.
func (n *Network) closeConns(isSelected func(*conn) bool) {
	n.mu.Lock()
	var conns []*conn
	for c := range n.conns {
		if isSelected(c) {
			conns = append(conns, c)
		}
	}
	n.mu.Unlock()
	for _, c := range conns {
		c.Close() //nolint:errcheck // simulates a crash or a reset.
	}
}

// Revive allows new connections from and to a killed host again.
func (n *Network) Revive(host string) { n.update(func() { delete(n.killed, host) }) }

// conn is one end of a connection.
type conn struct {
	net.Conn
	net           *Network
	local, remote string
	closed        chan struct{}
	once          sync.Once
}

func (n *Network) connect(from, to string) (local, remote *conn) {
	localEnd, remoteEnd := net.Pipe()
	local = &conn{Conn: localEnd, net: n, local: from, remote: to, closed: make(chan struct{})}
	remote = &conn{Conn: remoteEnd, net: n, local: to, remote: from, closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[local], n.conns[remote] = true, true
	return local, remote
}

// Write waits until the direction is unblocked, then writes. The wait ends early only
// if the connection is closed; a write deadline does not end it.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.net.waitUnblocked(c.closed, c.local, c.remote); err != nil {
		return 0, err
	}
	if c.net.Sent != nil {
		c.net.Sent(c.local, c.remote, len(b))
	}
	return c.Conn.Write(b)
}

// Close closes both directions at once. The other end sees it even while they are
// blocked.
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

// SetReadDeadline sets the deadline of Read and ignores timeout errors.
func (c *conn) SetReadDeadline(t time.Time) error {
	err := c.Conn.SetReadDeadline(t)
	if err == nil || os.IsTimeout(err) {
		return nil
	}
	return err
}
