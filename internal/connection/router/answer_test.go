package router

import (
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestHeadIsRecorded guards against a refusal that is written behind the head of an answer,
// or one that is left out after an informational status.
func TestHeadIsRecorded(t *testing.T) {
	for name, c := range map[string]struct {
		write func(http.ResponseWriter)
		want  bool
	}{
		"nothing":       {func(http.ResponseWriter) {}, false},
		"informational": {func(w http.ResponseWriter) { w.WriteHeader(http.StatusEarlyHints) }, false},
		"head":          {func(w http.ResponseWriter) { w.WriteHeader(http.StatusOK) }, true},
		"body alone":    {func(w http.ResponseWriter) { w.Write(nil) }, true}, //nolint:errcheck // a recorder's write succeeds.
	} {
		w := &answerWriter{ResponseWriter: httptest.NewRecorder()}
		c.write(w)
		qt.Check(t, w.hasHead, qt.Equals, c.want, qt.Commentf(name))
	}
}
