// Package link carries typed messages between the nodes, over QUIC with
// mutual TLS.
//
// There is one QUIC connection for each pair of nodes, opened by whichever needs
// it first, used by both and kept while it is in use. Each exchange has a stream of
// its own, so a long one does not hold up a short one, and a stream that
// breaks tells both sides at once.
//
// # Usage
//
//	var mux link.Mux
//	link.Handle(&mux, kindPing, func(ctx context.Context, s *link.Stream, p Ping) {
//		s.Send(kindPing, reply)
//	})
//	l := &link.Link{TLS: tlsConfig, Mux: &mux}
//	err := l.Listen("127.0.0.1:0")
//	reply, err := link.Call[Ping, Ping](ctx, l.Open, address, kindPing, ping)
//
// Tests put another Opener in the place of Link.Open.
package link

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"
)

const (
	protocol         = "goldcrestwick/1"
	idleTimeout      = 30 * time.Second
	keepAlive        = 10 * time.Second
	handshakeTimeout = time.Second
	maxStreams       = 1 << 16
	// redialPause keeps those who wait for a dead peer from dialling it one
	// after the other.
	redialPause    = 500 * time.Millisecond
	firstFrameTime = 5 * time.Second
	closeCode      = quic.ApplicationErrorCode(0)
	cancelCode     = quic.StreamErrorCode(1)
	// The windows are small, since messages between nodes are; 360 peers must
	// fit in the node's memory.
	streamWindow     = 64 << 10
	connectionWindow = 256 << 10
)

// Opener opens a stream to the node at an address.
type Opener func(ctx context.Context, address string) (*Stream, error)

// Mux finds the handler of a stream by the kind of its first message. The zero
// value has none and closes every stream.
type Mux struct {
	handlers [256]atomic.Pointer[handler]
}

type handler func(context.Context, *Stream, []byte)

// Handle registers a handler for streams that begin with a message of type T.
// A body that cannot be decoded closes the stream.
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
	defer s.Close() //nolint:errcheck // the stream is at its end.
	if err := s.SetReadDeadline(time.Now().Add(firstFrameTime)); err != nil {
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
	(*h)(ctx, s, body)
}

// Call sends one message and waits for one answer.
func Call[Request, Reply any](ctx context.Context, open Opener, address string, kind Kind, message Request) (Reply, error) {
	var none Reply
	s, err := open(ctx, address)
	if err != nil {
		return none, err
	}
	defer s.Close()                                      //nolint:errcheck // the exchange is over.
	stop := context.AfterFunc(ctx, func() { s.Close() }) //nolint:errcheck // unblocks Receive.
	defer stop()
	if err := s.Send(kind, message); err != nil {
		return none, err
	}
	_, body, err := s.Receive()
	if err != nil {
		return none, eris.Wrapf(err, "no answer from %s", address)
	}
	return Decode[Reply](body)
}

// Link is a node's end of its connections to the other nodes.
type Link struct {
	// TLS authenticates both sides; it is asked for each new connection, so
	// that certificates can be rotated.
	TLS func() *tls.Config
	// Mux serves the streams that others open.
	Mux *Mux
	// Socket wraps the UDP socket, to count or to disturb; nil leaves it.
	Socket func(net.PacketConn) net.PacketConn

	socket    net.PacketConn
	transport *quic.Transport
	listener  *quic.Listener
	ctx       context.Context
	cancel    context.CancelFunc
	serving   sync.WaitGroup
	dials     atomic.Int64
	mu        sync.Mutex
	peers     map[string]*peer
}

// peer is the connection to one address; mu serialises dialling it.
type peer struct {
	mu     sync.Mutex
	conn   *quic.Conn
	failed time.Time
}

// Listen opens the UDP address and serves streams until Close. Port 0 lets the
// system choose.
func (l *Link) Listen(address string) error {
	socket, err := net.ListenPacket("udp", address)
	if err != nil {
		return eris.Wrap(err, "listen for peers")
	}
	if l.Socket != nil {
		socket = l.Socket(socket)
	}
	l.socket = socket
	l.transport = &quic.Transport{Conn: socket}
	l.peers = map[string]*peer{}
	server := l.prepared()
	server.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) { return l.prepared(), nil }
	l.listener, err = l.transport.Listen(server, quicConfig())
	if err != nil {
		return eris.Wrap(err, "listen for peers")
	}
	ctx, cancel := context.WithCancel(context.Background())
	l.ctx, l.cancel = ctx, cancel
	l.serving.Go(func() { l.acceptConns(ctx) })
	return nil
}

func (l *Link) prepared() *tls.Config {
	c := l.TLS().Clone()
	c.NextProtos = []string{protocol}
	c.ClientAuth = tls.RequireAndVerifyClientCert
	c.MinVersion = tls.VersionTLS13
	return c
}

func quicConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:                 idleTimeout,
		KeepAlivePeriod:                keepAlive,
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIncomingStreams:             maxStreams,
		InitialStreamReceiveWindow:     streamWindow,
		InitialConnectionReceiveWindow: connectionWindow,
		// Messages are short; probing for larger packets costs several kB for
		// each connection.
		DisablePathMTUDiscovery: true,
	}
}

// Address returns the UDP address in use.
func (l *Link) Address() string { return l.socket.LocalAddr().String() }

// Close ends all connections and waits for the handlers.
func (l *Link) Close() error {
	l.cancel()
	err := l.transport.Close()
	l.serving.Wait()
	if e := l.socket.Close(); err == nil {
		err = e
	}
	return eris.Wrap(err, "close link")
}

func (l *Link) acceptConns(ctx context.Context) {
	for {
		conn, err := l.listener.Accept(ctx)
		if err != nil {
			return
		}
		l.adopt(conn)
		l.serving.Go(func() { l.acceptStreams(ctx, conn) })
	}
}

// adopt uses a connection that a peer opened for our own streams too. A node
// dials from the socket that it listens on, so the address is that of the peer.
func (l *Link) adopt(conn *quic.Conn) {
	p := l.peer(conn.RemoteAddr().String())
	if !p.mu.TryLock() {
		// We are dialling the same peer; that connection will do.
		return
	}
	defer p.mu.Unlock()
	// A peer that dials anew may have lost the connection of before, as after
	// a restart. Streams that still work there go on.
	p.conn = conn
}

func (l *Link) acceptStreams(ctx context.Context, conn *quic.Conn) {
	for {
		s, err := conn.AcceptStream(ctx)
		if err != nil {
			conn.CloseWithError(closeCode, "") //nolint:errcheck // the connection is gone.
			return
		}
		l.serving.Go(func() { l.Mux.Serve(s.Context(), NewStream(quicStream{s})) })
	}
}

// Open opens a stream to the node at an address and dials first when there is
// no living connection.
func (l *Link) Open(ctx context.Context, address string) (*Stream, error) {
	p := l.peer(address)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil && p.conn.Context().Err() == nil {
		s, err := p.conn.OpenStream()
		if err == nil {
			return NewStream(quicStream{s}), nil
		}
	}
	if time.Since(p.failed) < redialPause {
		return nil, eris.Errorf("dial %s: failed less than %s ago", address, redialPause)
	}
	if err := l.dial(ctx, p, address); err != nil {
		p.failed = time.Now()
		return nil, err
	}
	s, err := p.conn.OpenStream()
	if err != nil {
		return nil, eris.Wrapf(err, "open a stream to %s", address)
	}
	return NewStream(quicStream{s}), nil
}

func (l *Link) peer(address string) *peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[address]
	if p == nil {
		p = &peer{}
		l.peers[address] = p
	}
	return p
}

func (l *Link) dial(ctx context.Context, p *peer, address string) error {
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return eris.Wrapf(err, "peer address %q", address)
	}
	client := l.prepared()
	client.ServerName = to.IP.String()
	l.dials.Add(1)
	conn, err := l.transport.Dial(ctx, to, client, quicConfig())
	if err != nil {
		return eris.Wrapf(err, "dial %s", address)
	}
	p.conn = conn
	l.serving.Go(func() { l.acceptStreams(l.ctx, conn) })
	return nil
}

// Redial makes the next stream to an address use a new connection, as when the
// present one seems to have gone silent. Its streams go on.
func (l *Link) Redial(address string) {
	p := l.peer(address)
	if !p.mu.TryLock() {
		// It is being dialled already.
		return
	}
	defer p.mu.Unlock()
	p.conn = nil
}

// Forget closes the connection to an address, as after the node there died.
func (l *Link) Forget(address string) {
	l.mu.Lock()
	p := l.peers[address]
	delete(l.peers, address)
	l.mu.Unlock()
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		p.conn.CloseWithError(closeCode, "") //nolint:errcheck // the peer is gone.
	}
}

// quicStream closes both directions at once, unlike a QUIC stream.
type quicStream struct{ *quic.Stream }

func (s quicStream) Close() error {
	s.CancelRead(cancelCode)
	return s.Stream.Close()
}
