package node

import (
	"context"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rotisserie/eris"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/meter"
	"goldcrestwick/internal/process/sched"
	"goldcrestwick/internal/process/tick"
	"goldcrestwick/internal/process/trace"
	"goldcrestwick/internal/request/entry"
	"goldcrestwick/internal/request/relay"
)

var errUnreachable = eris.New("peer node unreachable")

// decisionFlushInterval is the time between flushes of the decision buffer.
const decisionFlushInterval = 100 * time.Millisecond

// decisionBuffer holds the decisions that cells made under their locks until
// they are logged.
type decisionBuffer struct {
	mu      sync.Mutex
	records []trace.Record
	// added is set when records is no longer empty.
	added tick.Signal
}

// recordDecision adds a decision to the ledger and the buffer and calls
// OnDecision. It is called with the cell's lock held, so OnDecision must not block,
// and the record is logged later, by flushDecisions.
func (n *Node) recordDecision(d sched.Decision) {
	req, resp := d.Request, d.Request.Response
	r := trace.Record{
		Time: time.Now(), Node: n.Process.Name, Request: req.Request, Account: req.Account,
		Pool: d.Cell.Pool, Cell: d.Cell.String(), Endpoint: resp.Endpoint, Reason: string(resp.Reason),
		Considered: ident.Join(d.Considered), Waiting: d.Queued, Cached: resp.Cached, Sequence: resp.Sequence,
		Waited: resp.Waited, Settings: n.tree.Load().Version, Event: eventOf(resp.Outcome),
		Tier: n.tierName(d.Cell.Pool, req.Tier),
	}
	if resp.Outcome == sched.Granted {
		n.rollouts.counts.granted(d.Cell.Pool, resp.Release, r.Time)
	}
	n.countHolds(d)
	n.appendToLedger(r)
	if n.OnDecision != nil {
		n.OnDecision(d)
	}
	n.decisions.mu.Lock()
	n.decisions.records = append(n.decisions.records, r)
	n.decisions.mu.Unlock()
	n.decisions.added.Set()
}

// countHolds counts requests that waited for an engine at which their prompts pause no streams, and
// grants at engines where they do.
func (n *Node) countHolds(d sched.Decision) {
	if d.WasHeldForGap {
		n.meter.Count("goldcrestwick_held_for_gap_total", 1, "pool", string(d.Cell.Pool))
	}
	if d.PausesStreams {
		n.meter.Count("goldcrestwick_pausing_grants_total", 1, "pool", string(d.Cell.Pool), "held", strconv.FormatBool(d.WasHeldForGap))
	}
}

func eventOf(o sched.Outcome) trace.Event {
	switch o {
	case sched.Granted:
		return trace.Granted
	case sched.Shed:
		return trace.Shed
	case sched.Redirected:
		return trace.Redirected
	default:
		return trace.Moved
	}
}

func (n *Node) tierName(pool ident.PoolID, rank ident.Tier) string {
	if p := n.tree.Load().Pool(pool); p != nil {
		for _, t := range p.Team.Tiers {
			if t.Rank == rank {
				return t.Name
			}
		}
	}
	return ""
}

func (n *Node) flushDecisionsPeriodically(ctx context.Context) {
	tick.OnDemand(ctx, decisionFlushInterval, &n.decisions.added, func(context.Context) bool {
		n.flushDecisions()
		return false
	})
	n.flushDecisions()
}

// flushDecisions logs the buffered decisions and adds them to the trace.
func (n *Node) flushDecisions() {
	n.decisions.mu.Lock()
	records := n.decisions.records
	n.decisions.records = nil
	n.decisions.mu.Unlock()
	for _, r := range records {
		n.trace.Add(r)
		n.meter.GrantWait(r.Tier, r.Waited)
		n.Log.Info("routing_decision", "request_id", r.Request, "account", r.Account, "tier", r.Tier,
			"pool", r.Pool, "cell", r.Cell, "decision", r.Event, "reason", r.Reason, "endpoint", r.Endpoint,
			"endpoints_considered", r.Considered, "cached_tokens", int64(r.Cached), "waited", r.Waited,
			"still_waiting", r.Waiting, "sequence", r.Sequence, "settings_version", uint64(r.Settings),
			"endpoints_age", n.endpointsAge(r.Time))
	}
}

// logClosing logs that a cell begins to request the closure of lower tiers. It is called
// with the cell's lock held, when the wanted level becomes stricter.
func (n *Node) logClosing(id ident.CellID, tier ident.Tier, cause sched.CloseCause) {
	n.Log.Info("closing_lower_tiers", "cell", id.String(), "below", n.tierName(id.Pool, tier), "for", n.tierName(id.Pool, cause.Class),
		"waiting", cause.Waiting, "expected_wait", cause.ExpectedWait, "has_waited_long", cause.HasWaitedLong)
}

// logOpened logs that this node has ended a closure of the tiers below a level.
func (n *Node) logOpened(pool ident.PoolID, level ident.Tier, lasted time.Duration) {
	n.Log.Info("lower_tiers_opened", "pool", pool, "below", n.tierName(pool, level), "closed_for", lasted)
}

// logSuspended logs that a cell suspends an endpoint. It is called with the cell's lock
// held; a suspension lasts a second or more.
func (n *Node) logSuspended(id ident.CellID, s sched.Suspended) {
	n.Log.Info("endpoint_suspended", "endpoint", s.Endpoint.ID, "cell", id.String(), "for", s.For,
		"failures", s.Failures, "failed_at", ident.Join(s.Nodes))
}

// endpointsAge returns the time from the last read of the table of endpoints to the
// given time, or 0 if the table has not been read.
func (n *Node) endpointsAge(at time.Time) time.Duration {
	read := n.tables.endpointsReadAt()
	if read.IsZero() {
		return 0
	}
	return max(at.Sub(read), 0)
}

// recordStep adds a request's step on this node to the ledger and the trace, calls
// OnStep and logs the step.
func (n *Node) recordStep(r trace.Record) {
	n.appendToLedger(r)
	if n.OnStep != nil {
		n.OnStep(r)
	}
	n.trace.Add(r)
	if n.Log.GetLevel() > log.DebugLevel {
		return // spares the allocation of the line's values.
	}
	n.Log.Debug("request_step", "request_id", r.Request, "event", r.Event, "account", r.Account,
		"tier", r.Tier, "pool", r.Pool, "endpoint", r.Endpoint, "reason", r.Reason, "settings_version", r.Settings)
}

// recordLatencies updates the latency and prompt metrics after a dispatch, whether
// or not its answer is complete. Latencies that were not measured are left out.
func (n *Node) recordLatencies(j *entry.Job, r relay.Result) {
	tier, pool := j.Tier.Name, string(j.Pool.ID)
	if r.Completion.TimeToFirstToken > 0 {
		n.meter.TimeToFirstToken(tier, pool, r.Completion.TimeToFirstToken)
	}
	if r.Completion.InterTokenLatency > 0 {
		n.meter.InterTokenLatency(tier, pool, r.Completion.InterTokenLatency)
	}
	n.meter.PromptTokens(pool, int64(r.Completion.Cached), int64(r.Completion.Uncached))
}

func (n *Node) registerGauges() {
	n.meter.Gauge("goldcrestwick_members", func() float64 { return float64(len(n.members.View().Members)) })
	n.meter.Gauge("goldcrestwick_open_requests", func() float64 { return float64(n.gate.OpenRequests()) })
	n.meter.Gauge("goldcrestwick_settings_version", func() float64 { return float64(n.tree.Load().Version) })
	n.meter.Gauge("goldcrestwick_cells", func() float64 { return float64(len(n.cells.Loads())) })
	n.meter.Gauge("goldcrestwick_waiting_bids", func() float64 {
		sum := 0
		for _, l := range n.cells.Loads() {
			sum += l.Waiting
		}
		return float64(sum)
	})
	n.meter.Gauge("goldcrestwick_store_down", func() float64 {
		if n.Store.IsDown() {
			return 1
		}
		return 0
	})
}

// WriteMetrics writes the node's metrics in the text format of Prometheus.
func (n *Node) WriteMetrics(w io.Writer) {
	n.meter.Write(w)
	for pool, total := range n.cells.Closures() {
		meter.WriteCounter(w, "goldcrestwick_closures_total", float64(total.Closures), "pool", string(pool))
		meter.WriteCounter(w, "goldcrestwick_closed_seconds_total", total.Lasted.Seconds(), "pool", string(pool))
	}
	for id, loads := range n.cells.EndpointLoads() {
		for _, l := range loads {
			pairs := []string{"pool", string(id.Pool), "endpoint", string(l.Endpoint)}
			meter.WriteGauge(w, "goldcrestwick_endpoint_learned_limit", float64(l.Limit), pairs...)
			meter.WriteGauge(w, "goldcrestwick_endpoint_in_flight", float64(l.InFlight), pairs...)
			meter.WriteGauge(w, "goldcrestwick_endpoint_expected_seconds", l.Expected.Seconds(), pairs...)
		}
	}
}

// logLimitLearned logs an endpoint's learned limit. It is called with the cell's lock held, at
// most once in 10 s for each endpoint.
func (n *Node) logLimitLearned(id ident.CellID, l sched.EndpointLoad) {
	n.Log.Info("endpoint_limit_learned", "endpoint", l.Endpoint, "cell", id.String(), "limit", l.Limit, "slots", l.Slots,
		"in_flight", l.InFlight, "expected_time", l.Expected)
}

// logOwnership logs that this node begins or ceases to own a cell.
func (n *Node) logOwnership(id ident.CellID, isOwner bool) {
	v := n.members.View()
	n.releases.due.Set()
	n.noteOwnership(id.Pool, isOwner)
	n.Log.Info("cell_ownership", "cell", id, "owner", isOwner, "members", len(v.Members), "ready", len(v.Ready(n.Process.Region)))
}
