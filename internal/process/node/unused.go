package node

import (
	"sync/atomic"

	"golang.org/x/time/rate"

	"goldcrestwick/internal/connection/reply"
	"goldcrestwick/internal/process/ident"
)

const (
	// unusedLinesPerSecond and unusedLinesBurst bound the log lines of answers that were not used.
	unusedLinesPerSecond = 20
	unusedLinesBurst     = 200
	// maxLoggedReason bounds the reason in such a line.
	maxLoggedReason = 200
)

// unusedLog limits the log lines of answers that were not used.
type unusedLog struct {
	lines   *rate.Limiter
	omitted atomic.Int64
}

func (u *unusedLog) limit() { u.lines = rate.NewLimiter(unusedLinesPerSecond, unusedLinesBurst) }

// logUnused counts and logs that an endpoint, given by its name or address, gave no answer that could
// be used. Request is "" for one of this node itself or on the paths of serve.
func (n *Node) logUnused(request ident.RequestID, endpoint string, fault reply.Fault, reason string) {
	n.meter.Count("goldcrestwick_unused_answers_total", 1, "fault", string(fault))
	if !n.unused.lines.Allow() {
		n.unused.omitted.Add(1)
		return
	}
	n.Log.Info("answer_not_used", "request_id", string(request), "endpoint", endpoint, "fault", string(fault),
		"reason", reason[:min(len(reason), maxLoggedReason)], "lines_left_out", n.unused.omitted.Swap(0))
}
