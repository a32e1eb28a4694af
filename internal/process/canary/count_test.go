package canary

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/process/ident"
)

// TestHistogram guards against quantiles that are off by more than a bucket, and counts that
// change when histograms are added.
func TestHistogram(t *testing.T) {
	var h, sum Histogram
	qt.Check(t, h.Quantile(0.5), qt.Equals, time.Duration(0))
	for i := range 1000 {
		h.Observe(time.Duration(i+1) * time.Millisecond)
	}
	sum.Add(&h)
	sum.Add(&h)
	qt.Check(t, sum.Total(), qt.Equals, 2000)
	for _, q := range []float64{0.01, 0.5, 0.95, 0.98, 1} {
		exact := time.Duration(q * float64(time.Second))
		got := sum.Quantile(q)
		qt.Check(t, got >= exact && float64(got) < 1.2*float64(exact), qt.IsTrue, qt.Commentf("quantile %v is %v", q, got))
		qt.Check(t, float64(sum.Above(got)) <= 2000*(1-q), qt.IsTrue)
	}
	var edges Histogram
	for _, d := range []time.Duration{-1, 0, 1, time.Hour, 1 << 62} {
		edges.Observe(d)
	}
	qt.Check(t, edges.Buckets[0], qt.Equals, uint32(3))
	qt.Check(t, edges.Buckets[NumBuckets-1], qt.Equals, uint32(2))
	qt.Check(t, edges.Above(0), qt.Equals, 2)
}

// TestClassOf guards against classes that are not powers of two of the tokens.
func TestClassOf(t *testing.T) {
	for tokens, class := range map[int]uint8{-1: 0, 0: 0, 1: 1, 2: 2, 3: 2, 4: 3, 1023: 10, 1024: 11} {
		qt.Check(t, int(ClassOf(ident.Tokens(tokens))), qt.Equals, int(class), qt.Commentf("%d tokens", tokens))
	}
}
