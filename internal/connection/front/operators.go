package front

import (
	"context"
	"io"
	"net/http"

	"github.com/go-chi/chi/v5"

	"goldcrestwick/internal/process/trace"
	"goldcrestwick/internal/request/ident"
)

// Explanation is the JSON form of what was decided for a request.
type Explanation struct {
	Request string            `json:"request_id"`
	Steps   []ExplanationStep `json:"steps"`
}

// ExplanationStep is one step of an Explanation.
type ExplanationStep struct {
	Time       string `json:"time"`
	Node       string `json:"node"`
	Event      string `json:"event"`
	Account    string `json:"account,omitempty"`
	Tier       string `json:"tier,omitempty"`
	Pool       string `json:"pool,omitempty"`
	Cell       string `json:"cell,omitempty"`
	Endpoint   string `json:"endpoint,omitempty"`
	Reason     string `json:"reason,omitempty"`
	Considered string `json:"endpoints_considered,omitempty"`
	Sequence   uint64 `json:"sequence,omitempty"`
	Settings   uint64 `json:"settings_version,omitempty"`
	Sentence   string `json:"sentence"`
}

const timeForm = "2006-01-02T15:04:05.000000Z07:00"

// Operators serves operators: metrics, explanations and settings. It belongs
// on an address that callers cannot reach.
type Operators struct {
	Explain  func(context.Context, ident.RequestID) []trace.Record
	Metrics  func(io.Writer)
	Settings Settings
}

// Handler returns the HTTP handler.
func (o *Operators) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		o.Metrics(w)
	})
	r.Get("/v1/explain/{id}", o.explain)
	o.Settings.routes(r)
	return r
}

func (o *Operators) explain(w http.ResponseWriter, r *http.Request) {
	id := ident.RequestID(chi.URLParam(r, "id"))
	records := o.Explain(r.Context(), id)
	if len(records) == 0 {
		http.Error(w, "no node remembers this request", http.StatusNotFound)
		return
	}
	writeJSON(w, explanationOf(id, records))
}

func explanationOf(id ident.RequestID, records []trace.Record) Explanation {
	e := Explanation{Request: string(id)}
	for _, r := range records {
		e.Steps = append(e.Steps, ExplanationStep{
			Time: r.Time.UTC().Format(timeForm), Node: string(r.Node), Event: string(r.Event),
			Account: string(r.Account), Tier: r.Tier, Pool: string(r.Pool), Cell: r.Cell,
			Endpoint: string(r.Endpoint), Reason: r.Reason, Considered: r.Considered,
			Sequence: r.Sequence, Settings: uint64(r.Settings), Sentence: r.Sentence(),
		})
	}
	return e
}
