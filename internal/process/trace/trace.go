// Package trace keeps, on each node, the steps and decisions of the latest
// requests, so that an operator can see why a request was handled as it was.
//
// # Usage
//
//	b := &trace.Buffer{}
//	b.Add(trace.Record{Request: id, Event: trace.Granted, Endpoint: "ekin/r1"})
//	for _, r := range b.Find(id) {
//		fmt.Println(r.Sentence())
//	}
package trace

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"goldcrestwick/internal/process/ident"
)

const (
	// maxRequests bounds the requests in a Buffer.
	maxRequests = 16384
	// maxRecordsPerRequest bounds the records of one request; Add drops later ones.
	maxRecordsPerRequest = 32
)

// Event is the kind of a step.
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
	Redirected     Event = "redirected"
	Unresponsive   Event = "cell_silent"
	Dispatched     Event = "dispatched"
	Retried        Event = "repeated"
	NotSent        Event = "not_sent"
	Finished       Event = "finished"
	Refused        Event = "refused"
	Interrupted    Event = "answer_broken"
	CallerGone     Event = "caller_gone"
	// RecordsOmitted and SettingsApplied belong to no request: the ledger omitted
	// records, and a settings version came into force.
	RecordsOmitted  Event = "left_out"
	SettingsApplied Event = "settings_in_force"
)

// Record describes one step of a request, or an event of the node itself.
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
	// Reason depends on the event: for Joined it is the identifier of the earlier
	// request, for Unresponsive that of the node, and for RecordsOmitted what was
	// omitted. For other events it is the cause, if one is known.
	Reason string
	// Considered lists the endpoints that had capacity, separated by spaces. It,
	// Waiting, Cached, Sequence and Waited are set for decisions of cells.
	Considered string
	// Waiting is the number of requests that still wait in the cell.
	Waiting int
	// Cached is the number of prompt tokens expected in the endpoint's cache.
	Cached ident.Tokens
	// Sequence is the number of the cell's grant; 0 for a request without a grant.
	Sequence uint64
	// Waited is how long the grant request waited in the cell.
	Waited time.Duration
	// Settings is the settings version of the request, or the one that came into
	// force.
	Settings ident.Version
}

// Sentence returns a description of the step for operators.
func (r Record) Sentence() string {
	at := r.Time.UTC().Format("15:04:05.000") + " " + string(r.Node) + ": "
	switch r.Event {
	case Accepted:
		return at + fmt.Sprintf("accepted for account %s in tier %s, pool %s, under settings version %d", r.Account, r.Tier, r.Pool, r.Settings)
	case GrantRequested:
		return at + "requested a grant from cell " + r.Cell
	case GrantTaken:
		return at + "took the grant for endpoint " + string(r.Endpoint)
	case Claimed:
		return at + "its idempotency key was claimed for this request"
	case Joined:
		return at + "joined the answer of an earlier request with the same key: " + r.Reason
	case Granted:
		return at + fmt.Sprintf("cell %s granted endpoint %s as its decision %d, out of those with capacity (%s), after %s; reason: %s; %d prompt tokens expected in its cache; %d requests still waiting",
			r.Cell, r.Endpoint, r.Sequence, r.Considered, r.Waited.Round(time.Microsecond), r.Reason, r.Cached, r.Waiting)
	case Shed:
		return at + fmt.Sprintf("cell %s refused the request after %s; reason: %s; %d requests still waiting", r.Cell, r.Waited.Round(time.Microsecond), r.Reason, r.Waiting)
	case Moved:
		return at + fmt.Sprintf("cell %s moved to another node; the grant is requested again", r.Cell)
	case Redirected:
		return at + fmt.Sprintf("cell %s had no room and redirected the request to cell %s, which has", r.Cell, r.Reason)
	case Unresponsive:
		return at + fmt.Sprintf("node %s of cell %s did not respond; this node decides alone", r.Reason, r.Cell)
	case Dispatched:
		return at + "dispatched to endpoint " + string(r.Endpoint)
	case Interrupted:
		return at + fmt.Sprintf("the answer from endpoint %s was interrupted: %s", r.Endpoint, r.Reason)
	case Retried:
		return at + fmt.Sprintf("endpoint %s did not answer the request, and it is sent to another: %s", r.Endpoint, r.Reason)
	case NotSent:
		return at + fmt.Sprintf("endpoint %s could not be reached and nothing was sent: %s", r.Endpoint, r.Reason)
	case Finished:
		return at + "the whole answer was delivered from endpoint " + string(r.Endpoint)
	case Refused:
		return at + "refused; " + r.Reason
	case RecordsOmitted:
		return at + "too many records were waiting for the object store; the ledger omitted " + r.Reason
	case SettingsApplied:
		return at + fmt.Sprintf("settings version %d came into force", r.Settings)
	case CallerGone:
		return at + "the caller went away"
	default:
		return at + string(r.Event)
	}
}

// Buffer is a ring buffer with the records of the latest requests. The zero value
// is ready for use. It is safe for concurrent use.
type Buffer struct {
	mu      sync.Mutex
	records map[ident.RequestID][]Record
	// requestIDs is the ring of known requests; once it is full, oldest is the
	// index of the one to evict next.
	requestIDs []ident.RequestID
	oldest     int
}

// Add adds a record. When the buffer is full, a new request evicts the oldest one;
// records beyond the limit of one request are dropped.
func (b *Buffer) Add(r Record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.records == nil {
		b.records = map[ident.RequestID][]Record{}
	}
	known := b.records[r.Request]
	if known == nil {
		b.trackRequest(r.Request)
	}
	if len(known) < maxRecordsPerRequest {
		b.records[r.Request] = append(known, r)
	}
}

// trackRequest adds a request to the ring and evicts the oldest one if it is full.
func (b *Buffer) trackRequest(id ident.RequestID) {
	if len(b.requestIDs) < maxRequests {
		b.requestIDs = append(b.requestIDs, id)
		return
	}
	delete(b.records, b.requestIDs[b.oldest])
	b.requestIDs[b.oldest] = id
	b.oldest = (b.oldest + 1) % maxRequests
}

// Find returns the records of a request in the order in which they were added.
func (b *Buffer) Find(id ident.RequestID) []Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Record(nil), b.records[id]...)
}

// Explain returns the Sentence of each record, one per line.
func Explain(records []Record) string {
	var b strings.Builder
	for _, r := range records {
		b.WriteString(r.Sentence())
		b.WriteByte('\n')
	}
	return b.String()
}
