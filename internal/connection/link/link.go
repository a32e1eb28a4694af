// Package link carries typed messages between the nodes, over QUIC with
// mutual TLS.
//
// Each pair of nodes shares one QUIC connection. The node that needs it first
// opens it, both use it, and it stays open while it is in use. Each exchange has
// its own stream, so a long exchange does not delay a short one, and both sides
// detect at once that a stream has failed.
//
// # Usage
//
//	var mux link.Mux
//	link.Handle(&mux, kindPing, func(ctx context.Context, s *link.Stream, p Ping) {
//		s.Send(kindPing, p)
//	})
//	t := &link.Transport{TLSConfig: tlsConfig, Mux: &mux}
//	err := t.Listen("127.0.0.1:0")
//	reply, err := link.Call[Ping, Ping](ctx, t.Open, address, kindPing, ping)
//
// Tests can replace t.Open by an Opener over in-memory connections.
package link

import (
	"cmp"
	"context"
	"crypto/tls"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"
)

const (
	alpnProtocol = "goldcrestwick/1"
	// idleTimeout closes connections that are no longer used. Those to a node's
	// neighbors and to the owners of its cells are used more often, and no others
	// are kept alive.
	idleTimeout      = 30 * time.Second
	handshakeTimeout = time.Second
	// maxIncomingStreams is the largest limit that QUIC has. With a lower one, each stream
	// that ends is followed by a packet that raises the limit, and by its acknowledgement. A
	// limit that spared the memory of a small node would be too low for the owner of a cell
	// of a large fleet.
	maxIncomingStreams = 1 << 60
	// redialBackoff is how long Open fails without dialing after a failed dial.
	// Without it, the goroutines waiting in Open for an unreachable peer would dial
	// it one after another, each for up to the handshake timeout.
	redialBackoff     = 500 * time.Millisecond
	firstFrameTimeout = 5 * time.Second
	// The error codes are application-defined; peers do not interpret them.
	connCloseCode  = quic.ApplicationErrorCode(0)
	readCancelCode = quic.StreamErrorCode(1)
	// The receive windows are small because messages between nodes are short, and
	// because a node of a fleet of up to 361 nodes must hold its 360 connections in
	// memory.
	streamWindow     = 64 << 10
	connectionWindow = 256 << 10
)

// Opener opens a stream to the node at an address.
type Opener func(ctx context.Context, address string) (*Stream, error)

// Mux dispatches streams to handlers by the kind of their first message. The
// zero value has no handlers and closes every stream.
type Mux struct {
	// Panicked, if not nil, is called when a handler panics, with the kind of the
	// stream's first message, the value and the stack. The panic ends that stream only:
	// a message that a handler cannot cope with must not end the process, and with it
	// all other requests.
	Panicked func(kind Kind, value any, stack []byte)

	handlers [256]atomic.Pointer[handler]
}

type handler func(context.Context, *Stream, []byte)

// Handle registers a handler for streams that begin with a message of type T.
// If the body cannot be decoded, the stream is closed.
func Handle[T any](m *Mux, kind Kind, serve func(context.Context, *Stream, T)) {
	h := handler(func(ctx context.Context, s *Stream, body []byte) {
		if message, err := Decode[T](body); err == nil {
			serve(ctx, s, message)
		}
	})
	m.handlers[kind].Store(&h)
}

// Serve reads the first message of a stream, runs its handler and closes the
// stream.
func (m *Mux) Serve(ctx context.Context, s *Stream) {
	defer s.Close() //nolint:errcheck // the stream is no longer used.
	if err := s.SetReadDeadline(time.Now().Add(firstFrameTimeout)); err != nil {
		return
	}
	kind, body, err := s.Receive()
	if err != nil {
		return
	}
	h := m.handlers[kind].Load()
	if h == nil {
		return
	}
	if err := s.SetReadDeadline(time.Time{}); err != nil {
		return
	}
	defer m.recover(kind)
	(*h)(ctx, s, body)
}

func (m *Mux) recover(kind Kind) {
	value := recover()
	if value != nil && m.Panicked != nil {
		m.Panicked(kind, value, debug.Stack())
	}
}

// Call sends one message and waits for one response.
func Call[Request, Reply any](ctx context.Context, open Opener, address string, kind Kind, message Request) (Reply, error) {
	var zero Reply
	s, err := open(ctx, address)
	if err != nil {
		return zero, err
	}
	defer s.Close()                                      //nolint:errcheck // the exchange is over.
	stop := context.AfterFunc(ctx, func() { s.Close() }) //nolint:errcheck // unblocks Receive.
	defer stop()
	if err := s.Send(kind, message); err != nil {
		return zero, err
	}
	s.CloseWrite()
	_, body, err := s.Receive()
	if err != nil {
		return zero, eris.Wrapf(err, "no response from %s", address)
	}
	return Decode[Reply](body)
}

// Transport holds a node's connections to the other nodes.
type Transport struct {
	// TLSConfig returns the certificates for mutual authentication. It is called for
	// each new connection, so certificates can be rotated.
	TLSConfig func() *tls.Config
	// Mux serves the streams that peers open.
	Mux *Mux
	// WrapSocket wraps the UDP socket, to count packets or inject faults. If nil, the
	// socket is used directly.
	WrapSocket func(net.PacketConn) net.PacketConn
	// MaxHandshakes bounds the handshakes that peers have begun and not completed; 0 means
	// defaultHandshakes.
	MaxHandshakes int
	// HandshakesRefused, if not nil, is called after handshakes were refused, at most every
	// refusalReportInterval. It must not block.
	HandshakesRefused func(HandshakeStats)

	socket        net.PacketConn
	quicTransport *quic.Transport
	listener      *quic.Listener
	ctx           context.Context
	cancel        context.CancelFunc
	goroutines    sync.WaitGroup
	dialCount     atomic.Int64
	arrivals      arrivals
	handshakes    handshakes
	mu            sync.Mutex
	peers         map[string]*peer
}

// Listen listens on a UDP address and serves streams until Close. With port 0 the
// system chooses a port.
func (t *Transport) Listen(address string) error {
	socket, err := net.ListenPacket("udp", address)
	if err != nil {
		return eris.Wrap(err, "listen for peers")
	}
	if t.WrapSocket != nil {
		socket = t.WrapSocket(socket)
	}
	t.socket = socket
	t.handshakes.setLimit(cmp.Or(t.MaxHandshakes, defaultHandshakes))
	t.quicTransport = &quic.Transport{Conn: socket, ConnContext: t.beginHandshake, VerifySourceAddress: t.needsValidation}
	t.peers = map[string]*peer{}
	server := t.peerTLSConfig()
	server.GetConfigForClient = func(hello *tls.ClientHelloInfo) (*tls.Config, error) {
		t.arrivals.begin(hello.Conn.RemoteAddr().String(), time.Now())
		return t.peerTLSConfig(), nil
	}
	t.listener, err = t.quicTransport.Listen(server, quicConfig())
	if err != nil {
		return eris.Wrap(err, "listen for peers")
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.ctx, t.cancel = ctx, cancel
	t.goroutines.Go(func() { t.acceptConns(ctx) })
	return nil
}

func (t *Transport) peerTLSConfig() *tls.Config {
	c := t.TLSConfig().Clone()
	c.NextProtos = []string{alpnProtocol}
	c.ClientAuth = tls.RequireAndVerifyClientCert
	c.MinVersion = tls.VersionTLS13
	return c
}

func quicConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:                 idleTimeout,
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIncomingStreams:             maxIncomingStreams,
		InitialStreamReceiveWindow:     streamWindow,
		InitialConnectionReceiveWindow: connectionWindow,
		// Messages are short, and path MTU discovery costs several kB of memory
		// for each connection.
		DisablePathMTUDiscovery: true,
	}
}

// Address returns the local UDP address.
func (t *Transport) Address() string { return t.socket.LocalAddr().String() }

// Close closes all connections and waits for the handlers to return.
func (t *Transport) Close() error {
	t.cancel()
	err := t.quicTransport.Close()
	t.goroutines.Wait()
	if e := t.socket.Close(); err == nil {
		err = e
	}
	return eris.Wrap(err, "close peer connections")
}

func (t *Transport) acceptConns(ctx context.Context) {
	for {
		conn, err := t.listener.Accept(ctx)
		if err != nil {
			return
		}
		t.useIncoming(conn)
		t.goroutines.Go(func() { t.acceptStreams(ctx, conn) })
	}
}

// useIncoming lets Open use a connection that a peer dialed. A node dials from the
// socket that it listens on, so the remote address is the peer's listen address.
// If this node is dialing the same peer, it uses that connection afterwards.
func (t *Transport) useIncoming(conn *quic.Conn) {
	endHandshake(conn.Context())
	address := conn.RemoteAddr().String()
	// A peer that dials again may have lost the previous connection, as after a
	// restart. Streams on the previous connection are left open.
	t.peerAt(address).conn.Store(conn)
	t.arrivals.end(address)
}

func (t *Transport) acceptStreams(ctx context.Context, conn *quic.Conn) {
	for {
		s, err := conn.AcceptStream(ctx)
		if err != nil {
			conn.CloseWithError(connCloseCode, "") //nolint:errcheck // the connection is gone.
			return
		}
		t.goroutines.Go(func() { t.Mux.Serve(s.Context(), NewStream(quicStream{s})) })
	}
}

// Open opens a stream to the node at an address. It dials if there is no open
// connection, and fails without dialing shortly after a failed dial. Listen must
// have been called.
func (t *Transport) Open(ctx context.Context, address string) (*Stream, error) {
	p := t.peerAt(address)
	p.mu.Lock()
	defer p.mu.Unlock()
	if s, ok := p.openStream(); ok {
		return s, nil
	}
	if t.arrivals.wait(ctx, address) {
		if s, ok := p.openStream(); ok {
			return s, nil
		}
	}
	if time.Since(p.lastFailure) < redialBackoff {
		return nil, eris.Errorf("dial %s: previous dial failed less than %s ago", address, redialBackoff)
	}
	if err := t.dial(ctx, p, address); err != nil {
		if s, ok := p.openStream(); ok {
			return s, nil // the peer has opened a connection meanwhile.
		}
		p.lastFailure = time.Now()
		return nil, err
	}
	s, err := p.conn.Load().OpenStream()
	if err != nil {
		return nil, eris.Wrapf(err, "open stream to %s", address)
	}
	return NewStream(quicStream{s}), nil
}

func (t *Transport) peerAt(address string) *peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[address]
	if p == nil {
		p = &peer{}
		t.peers[address] = p
	}
	return p
}

func (t *Transport) dial(ctx context.Context, p *peer, address string) error {
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return eris.Wrapf(err, "resolve peer address %q", address)
	}
	client := t.peerTLSConfig()
	client.ServerName = to.IP.String()
	t.dialCount.Add(1)
	conn, err := t.quicTransport.Dial(ctx, to, client, quicConfig())
	if err != nil {
		return eris.Wrapf(err, "dial %s", address)
	}
	p.conn.Store(conn)
	t.goroutines.Go(func() { t.acceptStreams(t.ctx, conn) })
	return nil
}

// Redial makes the next Open of an address dial a new connection, for a peer that
// does not respond on the current one. Streams on the current connection are left
// open.
func (t *Transport) Redial(address string) {
	p := t.peerAt(address)
	if !p.mu.TryLock() {
		// Another goroutine is already dialing.
		return
	}
	defer p.mu.Unlock()
	p.conn.Store(nil)
}

// Forget closes the connection to an address, for a node that has failed or left.
func (t *Transport) Forget(address string) {
	t.mu.Lock()
	p := t.peers[address]
	delete(t.peers, address)
	t.mu.Unlock()
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn := p.conn.Load(); conn != nil {
		conn.CloseWithError(connCloseCode, "") //nolint:errcheck // the peer is gone.
	}
}

// quicStream is a QUIC stream whose Close ends both directions, not only the
// sending one.
type quicStream struct{ *quic.Stream }

// CloseWrite ends the sending direction.
func (s quicStream) CloseWrite() error { return s.Stream.Close() }

func (s quicStream) Close() error {
	s.CancelRead(readCancelCode)
	return s.Stream.Close()
}
