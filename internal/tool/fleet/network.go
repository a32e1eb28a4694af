package fleet

import (
	"context"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/stand/pipes"
)

// PlatformHost is the host name of the platform.
const PlatformHost = "platform"

// Network connects the hosts of a Fleet.
type Network struct {
	// NodeHost returns the host name of the entry node with an index.
	NodeHost func(index int) string
	// Listen listens on a host for HTTP connections.
	Listen func(host string) (net.Listener, error)
	// Dial returns the function that opens connections from a host.
	Dial func(host string) func(context.Context, string, string) (net.Conn, error)
	// Peers listens on a host for links from other nodes, which mux serves.
	Peers func(host string, mux *link.Mux) (*Peers, error)
}

// Peers holds the address at which a node accepts links from other nodes, and
// the functions of its own links to them. Forget may be nil.
type Peers struct {
	Address string
	Open    link.Opener
	Forget  func(string)
	Close   func()
}

// EndpointHost returns the host name of an endpoint.
func EndpointHost(id ident.Endpoint) string { return strings.ReplaceAll(string(id), "/", ".") }

// Loopback returns a Network of TCP and QUIC on 127.0.0.x, with ports chosen by
// the system, for at most 255 nodes. wrap, if not nil, wraps each UDP socket.
func Loopback(wrap func(net.PacketConn) net.PacketConn) (*Network, error) {
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
	transport := &link.Transport{TLSConfig: link.StaticTLSConfig(certs), Mux: mux, WrapSocket: wrap}
	if err := transport.Listen(net.JoinHostPort(host, "0")); err != nil {
		return nil, err
	}
	return &Peers{Address: transport.Address(), Open: transport.Open, Forget: transport.Forget, Close: func() {
		transport.Close() //nolint:errcheck // the node has stopped.
	}}, nil
}

const (
	callerPort = "80"
	peerPort   = "443"
)

// InMemory returns a Network of in-memory pipes for at most six nodes, for
// tests under testing/synctest.
func InMemory(n *pipes.Network) *Network {
	nodeHosts := []string{"node-1", "node-2", "node-3", "node-4", "node-5", "node-6"}
	return &Network{
		NodeHost: func(index int) string { return nodeHosts[index] },
		Listen:   func(host string) (net.Listener, error) { return n.Listen(net.JoinHostPort(host, callerPort)) },
		Dial:     n.Dial,
		Peers:    func(host string, mux *link.Mux) (*Peers, error) { return pipePeers(n, host, mux) },
	}
}

func pipePeers(n *pipes.Network, host string, mux *link.Mux) (*Peers, error) {
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
			listener.Close() //nolint:errcheck // the node has stopped.
			cancel()
			n.Kill(host)
			serving.Wait()
		},
	}, nil
}

const dialTimeout = 3 * time.Second
