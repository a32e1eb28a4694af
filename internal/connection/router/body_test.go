package router

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/process/memory"
	"goldcrestwick/internal/request/proxy"
	"goldcrestwick/internal/request/refuse"
	"goldcrestwick/internal/version/config"
)

// TestBodyBudget guards against bodies that together take more memory than their budget, a
// refusal for it that callers would take for a run, and memory that stays taken after that.
func TestBodyBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bodies := &memory.Budget{StallTime: memory.BodyStallTime}
		bodies.SetLimit(12 << 10)
		rt := &Router{Bodies: bodies}
		read := func(bytes int) (*proxy.Request, *memory.Share, *refuse.Refusal) {
			req := &proxy.Request{ID: "r", Tier: &config.Tier{}, Deadline: time.Now().Add(time.Minute)}
			r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/", strings.NewReader(strings.Repeat("x", bytes)))
			share, refusal := rt.readBody(httptest.NewRecorder(), r, req, config.Limits{BodyBytes: 32 << 10})
			return req, share, refusal
		}
		first, firstShare, refusal := read(8000)
		qt.Assert(t, refusal == nil, qt.IsTrue)
		qt.Check(t, len(first.Body), qt.Equals, 8000)
		_, secondShare, refusal := read(8000)
		qt.Assert(t, refusal != nil, qt.IsTrue)
		qt.Check(t, refusal.Reason, qt.Equals, refuse.NodeFull)
		qt.Check(t, refusal.MayHaveRun(), qt.IsFalse)
		qt.Check(t, refusal.RetryAfter > 0, qt.IsTrue)
		secondShare.End()
		firstShare.End()
		qt.Check(t, bodies.Stats().Held, qt.Equals, int64(0))
		// A body above the limit is read when it is the only one, but not one above its own.
		_, large, refusal := read(20000)
		qt.Check(t, refusal == nil, qt.IsTrue)
		large.End()
		_, tooLarge, refusal := read(40000)
		qt.Assert(t, refusal != nil, qt.IsTrue)
		qt.Check(t, refusal.Reason, qt.Equals, refuse.BodyTooLarge)
		tooLarge.End()
		time.Sleep(time.Minute) // the search for stalled requests ends.
	})
}
