// Package trace remembers, on each node and for a while, what was decided for
// each request, so that an operator can ask why.
//
// # Usage
//
//	m := &trace.Memory{}
//	m.Add(trace.Record{Request: id, Event: trace.Granted, Endpoint: "ekin/r1"})
//	for _, r := range m.Find(id) {
//		fmt.Println(r.Sentence())
//	}
package trace

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"goldcrestwick/internal/request/ident"
)

const (
	maxRequests = 16384
	// maxRecords bounds the records of one request.
	maxRecords = 32
)

// Event names a step in a request's life.
type Event string

// The events.
const (
	Accepted       Event = "accepted"
	GrantRequested Event = "bidding"
	GrantTaken     Event = "grant_taken"
	Claimed        Event = "claimed"
	Joined         Event = "joined"
	Granted        Event = "granted"
	Shed           Event = "shed"
	Moved          Event = "moved"
	Unresponsive   Event = "cell_silent"
	Dispatched     Event = "dispatched"
	Retried        Event = "repeated"
	NotSent        Event = "not_sent"
	Finished       Event = "finished"
	Refused        Event = "refused"
	Broken         Event = "answer_broken"
	CallerGone     Event = "caller_gone"
	// LeftOut and Settings are of no request: records that a full ledger left
	// out, and a settings version that came into force.
	LeftOut  Event = "left_out"
	Settings Event = "settings_in_force"
)

// Record is one step of one request.
type Record struct {
	Time     time.Time
	Node     ident.NodeID
	Request  ident.RequestID
	Event    Event
	Account  ident.ClientAccount
	Tier     string
	Pool     ident.PoolID
	Cell     string
	Endpoint ident.Endpoint
	Reason   string
	// Considered names the endpoints that had room; it and Waiting, Cached and
	// Sequence are the inputs of a decision.
	Considered string
	Waiting    int
	Cached     ident.Tokens
	Sequence   uint64
	Waited     time.Duration
	Settings   ident.Version
}

// Sentence tells the step in plain words.
func (r Record) Sentence() string {
	at := r.Time.UTC().Format("15:04:05.000") + " " + string(r.Node) + ": "
	switch r.Event {
	case Accepted:
		return at + fmt.Sprintf("accepted for account %s in tier %s, pool %s, under settings version %d", r.Account, r.Tier, r.Pool, r.Settings)
	case GrantRequested:
		return at + "bid at cell " + r.Cell
	case GrantTaken:
		return at + "took the grant for endpoint " + string(r.Endpoint)
	case Claimed:
		return at + "its idempotency key was claimed for this request"
	case Joined:
		return at + "joined the answer of an earlier request with the same key: " + r.Reason
	case Granted:
		return at + fmt.Sprintf("cell %s granted endpoint %s as its decision %d, out of those with room (%s), after %s; reason: %s; %d prompt tokens expected in its cache; %d still waited",
			r.Cell, r.Endpoint, r.Sequence, r.Considered, r.Waited.Round(time.Microsecond), r.Reason, r.Cached, r.Waiting)
	case Shed:
		return at + fmt.Sprintf("cell %s refused it after %s; reason: %s; %d still waited", r.Cell, r.Waited.Round(time.Microsecond), r.Reason, r.Waiting)
	case Moved:
		return at + fmt.Sprintf("cell %s moved to another node; it bids again", r.Cell)
	case Unresponsive:
		return at + fmt.Sprintf("node %s of cell %s did not answer; this node decides alone", r.Reason, r.Cell)
	case Dispatched:
		return at + "dispatched to endpoint " + string(r.Endpoint)
	case Broken:
		return at + fmt.Sprintf("the answer from endpoint %s broke off before its end: %s", r.Endpoint, r.Reason)
	case Retried:
		return at + fmt.Sprintf("endpoint %s did not answer it and it is sent to another: %s", r.Endpoint, r.Reason)
	case NotSent:
		return at + fmt.Sprintf("endpoint %s could not be reached and nothing was sent: %s", r.Endpoint, r.Reason)
	case Finished:
		return at + "the whole answer was delivered from endpoint " + string(r.Endpoint)
	case Refused:
		return at + "refused; " + r.Reason
	case LeftOut:
		return at + "the ledger was full and left out " + r.Reason
	case Settings:
		return at + fmt.Sprintf("settings version %d came into force", r.Settings)
	case CallerGone:
		return at + "the caller went away"
	default:
		return at + string(r.Event)
	}
}

// Memory holds the records of the latest requests. The zero value is ready
// for use and safe for concurrent use.
type Memory struct {
	mu      sync.Mutex
	records map[ident.RequestID][]Record
	order   []ident.RequestID
	next    int
}

// Add remembers a record, and forgets the oldest request when full.
func (m *Memory) Add(r Record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.records == nil {
		m.records = map[ident.RequestID][]Record{}
	}
	known := m.records[r.Request]
	if known == nil {
		m.remember(r.Request)
	}
	if len(known) < maxRecords {
		m.records[r.Request] = append(known, r)
	}
}

func (m *Memory) remember(id ident.RequestID) {
	if len(m.order) < maxRequests {
		m.order = append(m.order, id)
		return
	}
	delete(m.records, m.order[m.next])
	m.order[m.next] = id
	m.next = (m.next + 1) % maxRequests
}

// Find returns what is remembered of a request, in order.
func (m *Memory) Find(id ident.RequestID) []Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]Record(nil), m.records[id]...)
}

// Explain tells records as text, one sentence a line.
func Explain(records []Record) string {
	var b strings.Builder
	for _, r := range records {
		b.WriteString(r.Sentence())
		b.WriteByte('\n')
	}
	return b.String()
}
