package main

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestRolloutCommand guards against a status that hides why a release was rolled back, and
// against a pool name that is not passed on whole.
func TestRolloutCommand(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/rollouts/platform/chat" {
			http.NotFound(w, r)
			return
		}
		w.Write([]byte(`{"pool":"platform/chat","target":"v2","ramp_s":12,"order_version":7,"state":"rolled_back","node":"n1","share":0,
			"verdict":"bad","reason":"3 of 9 answers failed","conductor":"n2","is_from_conductor":true,"running_s":2.5,
			"counts":[{"release":"v2","route":"read","class":7,"answers":9,"failures":3,"median_ms":20,"p99_ms":40}]}`)) //nolint:errcheck // the client reads it.
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	var out, errs bytes.Buffer
	qt.Assert(t, run([]string{"goldcrestwick", "rollout", "--node", address, "platform/chat"}, &out, &errs), qt.Equals, 0, qt.Commentf(errs.String()))
	for _, want := range []string{"rolled_back", "3 of 9 answers failed", "v2", "n2", "<128", "ramp of 12s"} {
		qt.Check(t, out.String(), qt.Contains, want)
	}
	qt.Check(t, run([]string{"goldcrestwick", "rollout", "--node", address, "other"}, &out, &errs), qt.Equals, exitFailure)
	qt.Check(t, run([]string{"goldcrestwick", "rollout", "--node", address}, &out, &errs), qt.Equals, exitUsage)
}
