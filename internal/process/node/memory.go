package node

import (
	"net"
	"time"

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
	n.answers.StallTime, n.bodies.StallTime = memory.AnswerStallTime, memory.BodyStallTime
	n.SetMemory(n.Process.MemoryBytes)
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

// SetMemory sets the memory that this process can use, 0 if it is not known. It is safe for
// concurrent use.
func (n *Node) SetMemory(bytes int64) {
	n.answers.SetLimit(int64(answerMemoryShare * float64(bytes)))
	n.bodies.SetLimit(int64(bodyMemoryShare * float64(bytes)))
}

// CallerListener returns a listener for the Router's server, whose connections buffer the
// answers that callers read slowly.
func (n *Node) CallerListener(l net.Listener) net.Listener {
	return &memory.Listener{Listener: l, Budget: &n.answers}
}
