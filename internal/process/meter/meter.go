// Package meter counts what a node does, in the text format of Prometheus.
//
// Every metric is explained in docs/OPERATING.md, with an alert and what to do.
//
// # Usage
//
//	m := &meter.Meter{}
//	m.Refused("gold", "overload", "not_run")
//	m.Write(w)
package meter

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Meter holds one node's metrics. The zero value is ready for use and safe
// for concurrent use.
type Meter struct {
	once    sync.Once
	metrics *metrics.Set
}

func (m *Meter) set() *metrics.Set {
	m.once.Do(func() { m.metrics = metrics.NewSet() })
	return m.metrics
}

// name builds a metric name with labels, given as pairs.
func name(base string, pairs ...string) string {
	var b strings.Builder
	b.WriteString(base)
	for i := 0; i+1 < len(pairs); i += 2 {
		if i == 0 {
			b.WriteByte('{')
		} else {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, "%s=%q", pairs[i], pairs[i+1])
	}
	if len(pairs) > 1 {
		b.WriteByte('}')
	}
	return b.String()
}

// Accepted counts a request that passed its checks.
func (m *Meter) Accepted(tier, pool string) {
	m.set().GetOrCreateCounter(name("goldcrestwick_requests_accepted_total", "tier", tier, "pool", pool)).Inc()
}

// Answered counts a whole answer and whether it came by its deadline.
func (m *Meter) Answered(tier, pool string, inTime bool) {
	m.set().GetOrCreateCounter(name("goldcrestwick_answers_total", "tier", tier, "pool", pool, "in_time", fmt.Sprint(inTime))).Inc()
}

// Refused counts a refusal.
func (m *Meter) Refused(tier, reason, run string) {
	m.set().GetOrCreateCounter(name("goldcrestwick_refusals_total", "tier", tier, "reason", reason, "run", run)).Inc()
}

// FirstToken and BetweenTokens record the times of one answer.
func (m *Meter) FirstToken(tier, pool string, d time.Duration) {
	m.set().GetOrCreateHistogram(name("goldcrestwick_first_token_seconds", "tier", tier, "pool", pool)).Update(d.Seconds())
}

// BetweenTokens records the mean time between the tokens of one answer.
func (m *Meter) BetweenTokens(tier, pool string, d time.Duration) {
	m.set().GetOrCreateHistogram(name("goldcrestwick_between_tokens_seconds", "tier", tier, "pool", pool)).Update(d.Seconds())
}

// Prompt counts the prompt tokens that endpoints had cached and had not.
func (m *Meter) Prompt(pool string, cached, uncached int64) {
	m.set().GetOrCreateCounter(name("goldcrestwick_prompt_tokens_total", "pool", pool, "cached", "true")).AddInt64(cached)
	m.set().GetOrCreateCounter(name("goldcrestwick_prompt_tokens_total", "pool", pool, "cached", "false")).AddInt64(uncached)
}

// Waited records the time that a bid waited in its cell.
func (m *Meter) Waited(tier string, d time.Duration) {
	m.set().GetOrCreateHistogram(name("goldcrestwick_bid_wait_seconds", "tier", tier)).Update(d.Seconds())
}

// Gauge registers a value that is read when the metrics are written.
func (m *Meter) Gauge(base string, read func() float64, pairs ...string) {
	m.set().GetOrCreateGauge(name(base, pairs...), read)
}

// Write writes all metrics of the node and of its process.
func (m *Meter) Write(w io.Writer) {
	m.set().WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
