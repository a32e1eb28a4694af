// Package meter holds a node's metrics and writes them in the text format of
// Prometheus.
//
// docs/OPERATING.md describes each metric, its alert and the operator's response.
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

// Meter holds one node's metrics. The zero value is ready for use. It is safe for
// concurrent use.
type Meter struct {
	once    sync.Once
	metrics *metrics.Set
}

func (m *Meter) set() *metrics.Set {
	m.once.Do(func() { m.metrics = metrics.NewSet() })
	return m.metrics
}

// metricName returns a metric name with labels, given as pairs of name and value.
func metricName(base string, pairs ...string) string {
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
	m.set().GetOrCreateCounter(metricName("goldcrestwick_requests_accepted_total", "tier", tier, "pool", pool)).Inc()
}

// StoreCall counts a call to the platform's store.
func (m *Meter) StoreCall(table, operation string) {
	m.set().GetOrCreateCounter(metricName("goldcrestwick_store_calls_total", "table", table, "operation", operation)).Inc()
}

// Answered counts a complete answer. inTime reports whether it met the route's
// first-answer target, for a proxied request, or else the request's deadline.
func (m *Meter) Answered(tier, pool string, inTime bool) {
	m.set().GetOrCreateCounter(metricName("goldcrestwick_answers_total", "tier", tier, "pool", pool, "in_time", fmt.Sprint(inTime))).Inc()
}

// Refused counts a refusal by its reason and by run, which states whether the
// request may have run.
func (m *Meter) Refused(tier, reason, run string) {
	m.set().GetOrCreateCounter(metricName("goldcrestwick_refusals_total", "tier", tier, "reason", reason, "run", run)).Inc()
}

// Interrupted counts attempts whose answers broke off or never began. The stage is
// that of the caller's answer: "before_first_event" or "streaming".
func (m *Meter) Interrupted(pool, stage string, attempts int) {
	m.set().GetOrCreateCounter(metricName("goldcrestwick_interrupted_attempts_total", "pool", pool, "stage", stage)).Add(attempts)
}

// TimeToFirstToken records the time to the first token of one answer. For a proxied
// request it is the time to the first event or to the complete answer.
func (m *Meter) TimeToFirstToken(tier, pool string, d time.Duration) {
	m.set().GetOrCreateHistogram(metricName("goldcrestwick_first_token_seconds", "tier", tier, "pool", pool)).Update(d.Seconds())
}

// InterTokenLatency records the mean inter-token latency of one answer.
func (m *Meter) InterTokenLatency(tier, pool string, d time.Duration) {
	m.set().GetOrCreateHistogram(metricName("goldcrestwick_between_tokens_seconds", "tier", tier, "pool", pool)).Update(d.Seconds())
}

// PromptTokens counts the prompt tokens that were cached and not cached at the
// endpoints.
func (m *Meter) PromptTokens(pool string, cached, uncached int64) {
	m.set().GetOrCreateCounter(metricName("goldcrestwick_prompt_tokens_total", "pool", pool, "cached", "true")).AddInt64(cached)
	m.set().GetOrCreateCounter(metricName("goldcrestwick_prompt_tokens_total", "pool", pool, "cached", "false")).AddInt64(uncached)
}

// RolloutAnswer counts an answer of a pool with a rollout, and its failure, which may come
// later than the answer, by release and route.
func (m *Meter) RolloutAnswer(pool, release, route string, isNew, failed bool) {
	labels := []string{"pool", pool, "release", release, "route", route}
	if isNew {
		m.set().GetOrCreateCounter(metricName("goldcrestwick_rollout_answers_total", labels...)).Inc()
	}
	if failed {
		m.set().GetOrCreateCounter(metricName("goldcrestwick_rollout_failures_total", labels...)).Inc()
	}
}

// GrantWait records how long a grant request waited in its cell.
func (m *Meter) GrantWait(tier string, d time.Duration) {
	m.set().GetOrCreateHistogram(metricName("goldcrestwick_bid_wait_seconds", "tier", tier)).Update(d.Seconds())
}

// Count adds to a counter. The pairs are names and values of labels.
func (m *Meter) Count(base string, n int, pairs ...string) {
	m.set().GetOrCreateCounter(metricName(base, pairs...)).Add(n)
}

// Gauge registers a value that is read when the metrics are written. The pairs are
// names and values of labels. If a gauge of that name and labels exists already,
// Gauge has no effect.
func (m *Meter) Gauge(base string, read func() float64, pairs ...string) {
	m.set().GetOrCreateGauge(metricName(base, pairs...), read)
}

// WriteGauge writes one value without keeping it, for gauges whose labels come and go. The
// pairs are names and values of labels.
func WriteGauge(w io.Writer, base string, value float64, pairs ...string) {
	metrics.WriteGaugeFloat64(w, metricName(base, pairs...), value)
}

// WriteCounter writes the value of a counter whose labels come and go, without keeping it.
func WriteCounter(w io.Writer, base string, value float64, pairs ...string) {
	metrics.WriteCounterFloat64(w, metricName(base, pairs...), value)
}

// Write writes all metrics of the node and of its process.
func (m *Meter) Write(w io.Writer) {
	m.set().WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
