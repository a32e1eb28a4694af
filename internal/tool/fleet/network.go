package fleet

import (
	"context"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/request/ident"
	"goldcrestwick/internal/stand/pipes"
)

// PlatformHost is the name of the platform's machine.
const PlatformHost = "platform"

// Network is what the parts of a fleet are connected by.
type Network struct {
	// NodeHost names the machine of the entry node with an index.
	NodeHost func(index int) string
	// Listen opens a port of a machine for TCP.
	Listen func(host string) (net.Listener, error)
	// Dial returns the way out of a machine.
	Dial func(host string) func(context.Context, string, string) (net.Conn, error)
	// Peers opens a machine's links to the other nodes.
	Peers func(host string, mux *link.Mux) (*Peers, error)
}

// Peers is one node's links.
type Peers struct {
	Address string
	Open    link.Opener
	Forget  func(string)
	Close   func()
}

// HostOf names the machine of an endpoint.
func HostOf(id ident.Endpoint) string { return strings.ReplaceAll(string(id), "/", ".") }

// Sockets is the real network: TCP and QUIC on 127.0.0.x. Wrap, when not nil,
// wraps each UDP socket.
func Sockets(wrap func(net.PacketConn) net.PacketConn) (*Network, error) {
	authority, err := link.NewAuthority()
	if err != nil {
		return nil, err
	}
	return &Network{
		NodeHost: func(index int) string { return net.IPv4(127, 0, 0, byte(index+1)).String() },
		Listen: func(host string) (net.Listener, error) {
			if net.ParseIP(host) == nil {
				host = "127.0.0.1"
			}
			l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
			return l, eris.Wrap(err, "listen")
		},
		Dial: func(string) func(context.Context, string, string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext
		},
		Peers: func(host string, mux *link.Mux) (*Peers, error) { return quicPeers(authority, host, mux, wrap) },
	}, nil
}

func quicPeers(authority *link.Authority, host string, mux *link.Mux, wrap func(net.PacketConn) net.PacketConn) (*Peers, error) {
	certs, err := authority.Issue(host, net.ParseIP(host))
	if err != nil {
		return nil, err
	}
	l := &link.Link{TLS: link.Fixed(certs), Mux: mux, Socket: wrap}
	if err := l.Listen(net.JoinHostPort(host, "0")); err != nil {
		return nil, err
	}
	return &Peers{Address: l.Address(), Open: l.Open, Forget: l.Forget, Close: func() {
		l.Close() //nolint:errcheck // the node is gone.
	}}, nil
}

const (
	callerPort = "80"
	peerPort   = "443"
)

// InMemory is a network of pipes, for tests under testing/synctest.
func InMemory(n *pipes.Net) *Network {
	names := []string{"node-1", "node-2", "node-3", "node-4", "node-5", "node-6"}
	return &Network{
		NodeHost: func(index int) string { return names[index] },
		Listen:   func(host string) (net.Listener, error) { return n.Listen(net.JoinHostPort(host, callerPort)) },
		Dial:     n.Dial,
		Peers:    func(host string, mux *link.Mux) (*Peers, error) { return pipePeers(n, host, mux) },
	}
}

func pipePeers(n *pipes.Net, host string, mux *link.Mux) (*Peers, error) {
	address := net.JoinHostPort(host, peerPort)
	listener, err := n.Listen(address)
	if err != nil {
		return nil, err
	}
	var serving sync.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	serving.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			serving.Go(func() {
				mux.Serve(ctx, link.NewStream(conn))
			})
		}
	})
	dial := n.Dial(host)
	return &Peers{
		Address: address,
		Open: func(ctx context.Context, to string) (*link.Stream, error) {
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			conn, err := dial(ctx, "pipe", to)
			if err != nil {
				return nil, err
			}
			return link.NewStream(conn), nil
		},
		Close: func() {
			listener.Close() //nolint:errcheck // the node is gone.
			cancel()
			n.Kill(host)
			serving.Wait()
		},
	}, nil
}

const dialTimeout = 3 * time.Second
