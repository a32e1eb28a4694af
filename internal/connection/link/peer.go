package link

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
)

const (
	// arrivalTimeout is how long Open waits for a connection that the peer is opening. It
	// dials after that, since the peer may have died meanwhile.
	arrivalTimeout = 150 * time.Millisecond
	// maxArrivals bounds the connections that are recorded while they are opened, since their
	// peers have not authenticated themselves yet.
	maxArrivals = 1024
)

// peer is the connection to one address; mu serializes dialing.
type peer struct {
	mu          sync.Mutex
	conn        atomic.Pointer[quic.Conn]
	lastFailure time.Time
}

// openStream opens a stream on the current connection, if there is an open one.
func (p *peer) openStream() (*Stream, bool) {
	conn := p.conn.Load()
	if conn == nil || conn.Context().Err() != nil {
		return nil, false
	}
	s, err := conn.OpenStream()
	if err != nil {
		return nil, false
	}
	return NewStream(quicStream{s}), true
}

// arrivals holds the connections that peers are opening, by address. Without them, two nodes
// that start at the same time and contact each other make two connections. The zero value is
// empty. It is safe for concurrent use.
type arrivals struct {
	mu      sync.Mutex
	pending map[string]arrival
}

// arrival is a connection that a peer began to open at since. Done is closed when it is open.
type arrival struct {
	since time.Time
	done  chan struct{}
}

// begin records that a peer begins to open a connection.
func (a *arrivals) begin(address string, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.pending == nil {
		a.pending = map[string]arrival{}
	}
	if len(a.pending) >= maxArrivals {
		for other, known := range a.pending {
			if now.Sub(known.since) >= arrivalTimeout {
				delete(a.pending, other)
			}
		}
	}
	known, ok := a.pending[address]
	switch {
	case ok:
		a.pending[address] = arrival{now, known.done}
	case len(a.pending) < maxArrivals:
		a.pending[address] = arrival{now, make(chan struct{})}
	}
}

// end records that a peer's connection is open.
func (a *arrivals) end(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if known, ok := a.pending[address]; ok {
		close(known.done)
		delete(a.pending, address)
	}
}

// wait waits for a connection that a peer began to open less than arrivalTimeout ago. It
// returns false if there is none, or it does not open in time.
func (a *arrivals) wait(ctx context.Context, address string) bool {
	a.mu.Lock()
	known, ok := a.pending[address]
	a.mu.Unlock()
	left := arrivalTimeout - time.Since(known.since)
	if !ok || left <= 0 {
		return false
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-known.done:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}
