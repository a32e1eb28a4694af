package node

import (
	"net"
	"sync"
	"time"

	"goldcrestwick/internal/connection/guard"
	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/process/memory"
)

const (
	// answerMemoryShare and bodyMemoryShare are the fractions of the process's memory that
	// may be held for callers that read answers or send bodies slowly. Together they are half
	// of the heap's soft limit (heapMemoryShare in cmd/goldcrestwick), which leaves the other
	// half to connections, cells and the copies of tables.
	answerMemoryShare = 0.15
	bodyMemoryShare   = 0.15
)

// prepareMemory sets up the budgets for what is held for slow callers.
func (n *Node) prepareMemory() {
	n.meterHandshakes()
	n.answers.StallTime, n.bodies.StallTime = memory.AnswerStallTime, memory.BodyStallTime
	n.SetMemory(n.Process.MemoryBytes, n.Process.Descriptors)
	for what, b := range map[string]*memory.Budget{"answers": &n.answers, "bodies": &n.bodies} {
		b.GivenUp = func(o memory.Owner, held int64, idle time.Duration) {
			n.Log.Warn("slow_caller_given_up", "request_id", o.Request, "tier_rank", uint8(o.Tier), "held_for", what,
				"held_bytes", held, "idle", idle)
		}
		for name, read := range map[string]func(memory.Stats) float64{
			"goldcrestwick_slow_caller_bytes":          func(s memory.Stats) float64 { return float64(s.Held) },
			"goldcrestwick_slow_caller_bytes_limit":    func(s memory.Stats) float64 { return float64(s.Limit) },
			"goldcrestwick_slow_caller_requests":       func(s memory.Stats) float64 { return float64(s.Holders) },
			"goldcrestwick_slow_caller_pauses_total":   func(s memory.Stats) float64 { return float64(s.Pauses) },
			"goldcrestwick_slow_caller_given_up_total": func(s memory.Stats) float64 { return float64(s.GivenUp) },
		} {
			n.meter.Gauge(name, func() float64 { return read(b.Stats()) }, "held_for", what)
		}
	}
}

// meterHandshakes adds the metrics of the handshakes that peers have begun.
func (n *Node) meterHandshakes() {
	if n.Handshakes == nil {
		return
	}
	for metric, read := range map[string]func(link.HandshakeStats) float64{
		"goldcrestwick_handshakes":               func(s link.HandshakeStats) float64 { return float64(s.Pending) },
		"goldcrestwick_handshakes_limit":         func(s link.HandshakeStats) float64 { return float64(s.Limit) },
		"goldcrestwick_handshakes_refused_total": func(s link.HandshakeStats) float64 { return float64(s.Refused) },
	} {
		n.meter.Gauge(metric, func() float64 { return read(n.Handshakes()) })
	}
}

// SetMemory sets the memory and the descriptors that this process can use, 0 if they are not
// known. It is safe for concurrent use.
func (n *Node) SetMemory(bytes int64, descriptors int) {
	n.ports.mu.Lock()
	n.ports.memoryBytes, n.ports.descriptors = bytes, descriptors
	for _, p := range n.ports.all {
		p.SetLimits(bytes, guard.Descriptors(descriptors))
	}
	n.ports.mu.Unlock()
	n.answers.SetLimit(int64(answerMemoryShare * float64(bytes)))
	n.bodies.SetLimit(int64(bodyMemoryShare * float64(bytes)))
}

// ports holds the ports of the process, and the memory and descriptors that their limits follow
// from.
type ports struct {
	mu          sync.Mutex
	all         []*guard.Port
	memoryBytes int64
	descriptors int
}

// NewPort returns the port of a listener of this process, with its metrics and log lines. Prepare
// must have been called.
func (n *Node) NewPort(name string, share guard.Share) *guard.Port {
	p := &guard.Port{
		Name: name, Share: share, HeaderBytes: func() int64 { return n.tree.Load().Limits.HeaderBytes },
		Report: func(r guard.Report) {
			n.Log.Warn("clients_given_up", "port", r.Port, "reason", r.Reason, "count", r.Count, "connections", r.Stats.Open,
				"connections_limit", r.Stats.Connections, "answering", r.Stats.Answering, "head_bytes", r.Stats.HeldHeadBytes,
				"head_bytes_limit", r.Stats.HeadBytes)
		},
	}
	n.ports.mu.Lock()
	defer n.ports.mu.Unlock()
	p.SetLimits(n.ports.memoryBytes, guard.Descriptors(n.ports.descriptors))
	n.ports.all = append(n.ports.all, p)
	for metric, read := range map[string]func(guard.Stats) float64{
		"goldcrestwick_connections":           func(s guard.Stats) float64 { return float64(s.Open) },
		"goldcrestwick_connections_limit":     func(s guard.Stats) float64 { return float64(s.Connections) },
		"goldcrestwick_connections_answering": func(s guard.Stats) float64 { return float64(s.Answering) },
		"goldcrestwick_head_bytes":            func(s guard.Stats) float64 { return float64(s.HeldHeadBytes) },
		"goldcrestwick_head_bytes_limit":      func(s guard.Stats) float64 { return float64(s.HeadBytes) },
	} {
		n.meter.Gauge(metric, func() float64 { return read(p.Stats()) }, "port", name)
	}
	for _, reason := range guard.Reasons {
		n.meter.Gauge("goldcrestwick_clients_given_up_total", func() float64 { return float64(p.Stats().GivenUp[reason]) },
			"port", name, "reason", string(reason))
	}
	return p
}

// CallerListener returns a listener for the Router's server, whose connections buffer the
// answers that callers read slowly.
func (n *Node) CallerListener(l net.Listener) net.Listener {
	return &memory.Listener{Listener: l, Budget: &n.answers}
}
