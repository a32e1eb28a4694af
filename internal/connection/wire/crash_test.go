package wire

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/poison"
)

// TestLargeReport guards against the loss of a report that exceeds a frame, or has more
// elements than a receiver decodes, when many endpoints with many requests crash at once.
func TestLargeReport(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	r := poison.Report{Completed: map[ident.Trait]time.Time{}, Known: map[poison.Endpoint]time.Time{}}
	for i := range 2048 {
		endpoint := poison.Endpoint{Pool: "team/pool", ID: ident.Endpoint(fmt.Sprint("endpoint", i)), StartedUnixMilli: 1}
		c := poison.Crash{Endpoint: endpoint, SentAt: now, At: now}
		for j := range 64 {
			trait := ^ident.Trait(0) - ident.Trait(64*i+j)
			c.Traits = append(c.Traits, trait)
			r.Completed[trait] = now.Add(-time.Hour)
		}
		r.Crashes, r.Known[endpoint] = append(r.Crashes, c), now
	}
	r.Crashes[0].Traits = append(r.Crashes[0].Traits, make([]ident.Trait, 100_000)...)
	r.Blamed = make([]ident.Trait, 70_000)
	traits, completed, known, blamed := 0, 0, 0, 0
	for _, part := range FromReport(r, now).Split() {
		body, err := cbor.Marshal(part)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, len(body) <= link.MaxFrameBytes, qt.IsTrue, qt.Commentf("%d bytes", len(body)))
		received, err := link.Decode[Crashes](body)
		qt.Assert(t, err, qt.IsNil)
		for _, c := range received.Crashes {
			traits += len(c.Traits)
		}
		completed, known, blamed = completed+len(received.Completed), known+len(received.Known), blamed+len(received.Blamed)
	}
	qt.Check(t, []int{traits, completed, known, blamed}, qt.DeepEquals, []int{2048*64 + 100_000, 2048 * 64, 2048, 70_000})
}
