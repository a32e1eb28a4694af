package link

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"
)

const (
	// defaultHandshakes is the limit of a Transport without MaxHandshakes.
	defaultHandshakes = 256
	// handshakeBytes is the memory of a handshake that a peer has begun: the state of TLS and of
	// the connection, and its goroutines.
	handshakeBytes = 96 << 10
	// handshakeMemoryShare is the fraction of the process's memory for handshakes.
	handshakeMemoryShare = 0.05
	// minHandshakes is the least limit for a process with little memory.
	minHandshakes = 16
	// validationDivisor is the limit divided by the number of handshakes above which peers
	// prove that they receive at their address before anything is held for them.
	validationDivisor = 4
	// knownFactor is how many times the limit peers at known addresses may reach.
	knownFactor = 2
	// refusalReportInterval is the least time between two calls of HandshakesRefused.
	refusalReportInterval = 10 * time.Second
)

// HandshakesFor returns the MaxHandshakes of a process with so much memory, 0 if it is not known.
func HandshakesFor(memoryBytes int64) int {
	if memoryBytes <= 0 {
		return defaultHandshakes
	}
	return max(int(handshakeMemoryShare*float64(memoryBytes)/handshakeBytes), minHandshakes)
}

var errHandshakesFull = eris.New("too many handshakes are in progress")

// handshakes counts the handshakes that peers have begun and not completed. They have not
// authenticated themselves yet. The zero value is ready for use and safe for concurrent use.
type handshakes struct {
	mu      sync.Mutex
	limit   int
	pending int
	refused int64
	// reportedAt is when refusals were last reported.
	reportedAt time.Time
}

func (h *handshakes) setLimit(limit int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.limit = limit
}

// handshakeKey is the key of the function that ends a handshake.
type handshakeKey struct{}

// begin records that a peer begins a handshake. The returned context is that of the connection;
// the handshake ends with it or with endHandshake. Peers at known addresses go before others.
func (h *handshakes) begin(ctx context.Context, isKnown bool) (context.Context, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.pending >= h.limit && (!isKnown || h.pending >= knownFactor*h.limit) {
		h.refused++
		return nil, errHandshakesFull
	}
	h.pending++
	end := sync.OnceFunc(func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.pending--
	})
	context.AfterFunc(ctx, end)
	return context.WithValue(ctx, handshakeKey{}, end), nil
}

// endHandshake records that the handshake of a connection with the given context is complete.
func endHandshake(ctx context.Context) {
	if end, ok := ctx.Value(handshakeKey{}).(func()); ok {
		end()
	}
}

// isReportDue reports whether refusals are to be reported, and records that they are.
func (h *handshakes) isReportDue(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Sub(h.reportedAt) < refusalReportInterval {
		return false
	}
	h.reportedAt = now
	return true
}

// needsValidation reports whether so many handshakes are in progress that peers are to prove
// their address first, so that the known ones cannot be imitated.
func (h *handshakes) needsValidation() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.pending >= h.limit/validationDivisor
}

// HandshakeStats describes the handshakes that peers have begun, and counts those refused since
// the start.
type HandshakeStats struct {
	Pending, Limit int
	Refused        int64
}

// Handshakes returns the present figures.
func (t *Transport) Handshakes() HandshakeStats {
	t.handshakes.mu.Lock()
	defer t.handshakes.mu.Unlock()
	return HandshakeStats{t.handshakes.pending, t.handshakes.limit, t.handshakes.refused}
}

// beginHandshake is for quic.Transport.ConnContext.
func (t *Transport) beginHandshake(ctx context.Context, info *quic.ClientInfo) (context.Context, error) {
	t.mu.Lock()
	isKnown := t.peers[info.RemoteAddr.String()] != nil
	t.mu.Unlock()
	ctx, err := t.handshakes.begin(ctx, isKnown)
	if err != nil && t.HandshakesRefused != nil && t.handshakes.isReportDue(time.Now()) {
		t.HandshakesRefused(t.Handshakes())
	}
	return ctx, err
}

// needsValidation is for quic.Transport.VerifySourceAddress.
func (t *Transport) needsValidation(net.Addr) bool { return t.handshakes.needsValidation() }
