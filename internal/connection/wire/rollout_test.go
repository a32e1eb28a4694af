package wire

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/process/canary"
	"goldcrestwick/internal/process/ident"
)

// TestRolloutSample guards against counts that are lost or moved to another bucket on the
// way to the conductor, and against replies that are not added to those before.
func TestRolloutSample(t *testing.T) {
	count := canary.Count{Answers: 3, Failures: 1}
	count.Latency.Observe(time.Millisecond)
	count.Latency.Observe(time.Hour)
	count.InterToken.Observe(30 * time.Millisecond)
	sample := canary.Sample{
		Counts:   map[canary.Key]canary.Count{{Release: "v1", Route: "chat", Class: 7}: count},
		Arrivals: map[ident.Release]int{"v1": 4}, Lost: map[ident.Release]int{"v2": 1},
		Entries: map[canary.Entry]canary.Tally{{Node: "n", Release: "v1"}: {Answers: 3, Failures: 1}},
		Paces:   map[canary.PaceKey]canary.Pace{{Key: canary.Key{Release: "v1", Route: "chat", Class: 7}, Endpoint: "e"}: {Answers: 2, Buckets: 70}},
	}
	reply := roundTrip(t, FromRolloutSample(sample))
	var got canary.Sample
	reply.AddTo(&got)
	qt.Check(t, got, qt.DeepEquals, sample)
	reply.AddTo(&got)
	count.Add(count)
	qt.Check(t, got.Counts[canary.Key{Release: "v1", Route: "chat", Class: 7}], qt.DeepEquals, count)
	qt.Check(t, got.Entries[canary.Entry{Node: "n", Release: "v1"}], qt.Equals, canary.Tally{Answers: 6, Failures: 2})
	pace := got.Paces[canary.PaceKey{Key: canary.Key{Release: "v1", Route: "chat", Class: 7}, Endpoint: "e"}]
	qt.Check(t, pace, qt.Equals, canary.Pace{Answers: 4, Buckets: 140})
	qt.Check(t, got.Arrivals["v1"], qt.Equals, 8)
}
