package front

import (
	"encoding/json"
	"net/http"

	"github.com/go-chi/chi/v5"
)

// RolloutStatus is the status of a pool's rollout for operators.
type RolloutStatus struct {
	Pool         string  `json:"pool"`
	Target       string  `json:"target"`
	RampSeconds  float64 `json:"ramp_s"`
	OrderVersion int64   `json:"order_version"`
	// Problem says why the latest order is not in force, "" if it is.
	Problem string `json:"problem,omitempty"`
	State   string `json:"state"`
	// Share is the target's part of the requests at the queried Node.
	Node      string  `json:"node"`
	Share     float64 `json:"share"`
	Endpoints int     `json:"endpoints"`
	Verdict   string  `json:"verdict,omitempty"`
	Reason    string  `json:"reason"`
	Conductor string  `json:"conductor"`
	// IsFromConductor is set if the conductor replied. Counts are empty otherwise.
	IsFromConductor bool           `json:"is_from_conductor"`
	RunningSeconds  float64        `json:"running_s"`
	OldInFlight     int            `json:"old_in_flight"`
	Counts          []RolloutCount `json:"counts,omitempty"`
}

// RolloutCount holds the answers of a release to the requests of one route and class of
// prompt length, which is the number of bits of the tokens to compute.
type RolloutCount struct {
	Release   string `json:"release"`
	Route     string `json:"route"`
	Class     uint8  `json:"class"`
	Answers   int    `json:"answers"`
	Failures  int    `json:"failures"`
	MedianMs  int64  `json:"median_ms"`
	SlowestMs int64  `json:"p99_ms"`
}

func (api *OperatorAPI) handleRollout(w http.ResponseWriter, r *http.Request) {
	if api.Rollout == nil {
		http.NotFound(w, r)
		return
	}
	status, ok := api.Rollout(r.Context(), chi.URLParam(r, "*"))
	if !ok {
		http.Error(w, "no rollout of this pool is known", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(status) //nolint:errcheck // the operator may be gone.
}
