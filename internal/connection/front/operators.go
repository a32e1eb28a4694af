package front

import (
	"context"
	"io"
	"net/http"

	"github.com/go-chi/chi/v5"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/trace"
)

// Explanation is the JSON form of the scheduling decisions for a request.
type Explanation struct {
	RequestID string            `json:"request_id"`
	Steps     []ExplanationStep `json:"steps"`
}

// ExplanationStep is one step of an Explanation.
type ExplanationStep struct {
	Time            string `json:"time"`
	Node            string `json:"node"`
	Event           string `json:"event"`
	Account         string `json:"account,omitempty"`
	Tier            string `json:"tier,omitempty"`
	Pool            string `json:"pool,omitempty"`
	Cell            string `json:"cell,omitempty"`
	Endpoint        string `json:"endpoint,omitempty"`
	Reason          string `json:"reason,omitempty"`
	Considered      string `json:"endpoints_considered,omitempty"`
	Sequence        uint64 `json:"sequence,omitempty"`
	SettingsVersion uint64 `json:"settings_version,omitempty"`
	Sentence        string `json:"sentence"`
}

const timeFormat = "2006-01-02T15:04:05.000000Z07:00"

// OperatorAPI serves metrics, explanations and settings to operators. Metrics,
// explanations, settings status and history need no key, so serve it on an
// address that callers cannot reach.
type OperatorAPI struct {
	// Explain returns the recorded steps of a request.
	Explain func(context.Context, ident.RequestID) []trace.Record
	// Metrics writes the metrics in the Prometheus text format.
	Metrics func(io.Writer)
	// Rollout returns the status of a pool's rollout, and false if there is none; nil means
	// that there never is.
	Rollout  func(ctx context.Context, pool string) (RolloutStatus, bool)
	Settings SettingsAPI
}

// Handler returns the HTTP handler.
func (api *OperatorAPI) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		api.Metrics(w)
	})
	r.Get("/v1/explain/{id}", api.handleExplain)
	r.Get("/v1/rollouts/*", api.handleRollout)
	api.Settings.routes(r)
	return r
}

func (api *OperatorAPI) handleExplain(w http.ResponseWriter, r *http.Request) {
	id := ident.RequestID(chi.URLParam(r, "id"))
	records := api.Explain(r.Context(), id)
	if len(records) == 0 {
		http.Error(w, "no node remembers this request", http.StatusNotFound)
		return
	}
	writeJSON(w, newExplanation(id, records))
}

func newExplanation(id ident.RequestID, records []trace.Record) Explanation {
	e := Explanation{RequestID: string(id)}
	for _, r := range records {
		e.Steps = append(e.Steps, ExplanationStep{
			Time: r.Time.UTC().Format(timeFormat), Node: string(r.Node), Event: string(r.Event),
			Account: string(r.Account), Tier: r.Tier, Pool: string(r.Pool), Cell: r.Cell,
			Endpoint: string(r.Endpoint), Reason: r.Reason, Considered: r.Considered,
			Sequence: r.Sequence, SettingsVersion: uint64(r.Settings), Sentence: r.Sentence(),
		})
	}
	return e
}
