package main

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// proxy passes TCP connections on to an address. It can go silent for some time: the connections that are open
// then or are opened meanwhile deliver nothing further, and those that are opened later work.
type proxy struct {
	listener net.Listener
	target   string

	mu sync.Mutex
	// silent is closed when the present connections go silent. isSilent is set while new ones are silent from
	// the start.
	silent   chan struct{}
	isSilent bool
	conns    []net.Conn
	open     int
}

// startProxy starts a proxy in front of an address.
func startProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "start a proxy")
	}
	p := &proxy{listener: l, target: target, silent: make(chan struct{})}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", p.target)
		if err != nil {
			near.Close() //nolint:errcheck // the target is gone.
			continue
		}
		p.mu.Lock()
		silent := p.silent
		p.conns = append(p.conns, near, far)
		p.open++
		p.mu.Unlock()
		var passing sync.WaitGroup
		passing.Go(func() { pass(far, near, silent) })
		passing.Go(func() { pass(near, far, silent) })
		go func() {
			passing.Wait()
			select {
			case <-silent: // it stays open until the case ends.
			default:
				near.Close() //nolint:errcheck // it has ended.
				far.Close()  //nolint:errcheck // see above.
			}
			p.mu.Lock()
			p.open--
			p.mu.Unlock()
		}()
	}
}

// pass passes bytes on until the connection ends or goes silent. What arrives afterwards is dropped.
func pass(to, from net.Conn, silent <-chan struct{}) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-silent:
			io.Copy(io.Discard, from) //nolint:errcheck // the other side may close at any time.
			return
		default:
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if half, ok := to.(*net.TCPConn); ok {
				half.CloseWrite() //nolint:errcheck // it may be closed already.
			}
			return
		}
	}
}

// silence makes the proxy go silent for some time, and returns the number of connections that were open.
func (p *proxy) silence(d time.Duration) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isSilent {
		close(p.silent)
	}
	p.isSilent = true
	time.AfterFunc(d, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.isSilent, p.silent = false, make(chan struct{})
	})
	return p.open
}

func (p *proxy) close() {
	p.listener.Close() //nolint:errcheck // the case is over.
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.Close() //nolint:errcheck // the case is over.
	}
}
