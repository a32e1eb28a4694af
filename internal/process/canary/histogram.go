package canary

import (
	"math"
	"time"
)

const (
	// NumBuckets is the number of buckets of a Histogram.
	NumBuckets = 80
	// bucketsPerDoubling makes neighboring bounds differ by 19%, which is fine enough to
	// tell answers that are twice as slow.
	bucketsPerDoubling = 4
	// firstBound is the upper bound of the first bucket; that of the last but one is 267 s,
	// longer than any first answer takes.
	firstBound = 360 * time.Microsecond
)

// bounds holds the upper bound of each bucket. The last bucket has none.
var bounds = func() (b [NumBuckets - 1]time.Duration) {
	for i := range b {
		b[i] = time.Duration(float64(firstBound) * math.Exp2(float64(i)/bucketsPerDoubling))
	}
	return b
}()

// Histogram counts durations in buckets of fixed, logarithmically spaced bounds. The zero
// value is empty.
type Histogram struct {
	// Buckets holds the number of durations by bucket, shortest first.
	Buckets [NumBuckets]uint32
}

// Observe counts a duration.
func (h *Histogram) Observe(d time.Duration) { h.Buckets[bucketOf(d)]++ }

// Add adds the durations of o.
func (h *Histogram) Add(o *Histogram) {
	for i, n := range o.Buckets {
		h.Buckets[i] += n
	}
}

// longer returns a histogram of durations that are doubled n times.
func (h *Histogram) longer(n int) *Histogram {
	var result Histogram
	for i, count := range h.Buckets {
		result.Buckets[min(i+n*bucketsPerDoubling, NumBuckets-1)] += count
	}
	return &result
}

// Total returns the number of durations.
func (h *Histogram) Total() int {
	total := 0
	for _, n := range h.Buckets {
		total += int(n)
	}
	return total
}

// moments returns the number of durations, and the mean and variance of their buckets.
func (h *Histogram) moments() (n, mean, variance float64) {
	var sum, squares float64
	for i, count := range h.Buckets {
		n += float64(count)
		sum += float64(count) * float64(i)
		squares += float64(count) * float64(i) * float64(i)
	}
	if n == 0 {
		return 0, 0, 0
	}
	return n, sum / n, squares/n - sum/n*(sum/n)
}

// Quantile returns the upper bound of the bucket that holds the quantile q, from 0 to 1. It
// is 0 if the histogram is empty.
func (h *Histogram) Quantile(q float64) time.Duration {
	total := h.Total()
	if total == 0 {
		return 0
	}
	rank := max(int(math.Ceil(q*float64(total))), 1)
	for i, n := range h.Buckets {
		if rank -= int(n); rank <= 0 {
			return bounds[min(i, len(bounds)-1)]
		}
	}
	return bounds[len(bounds)-1]
}

// Above returns the number of durations in buckets above the one that holds d.
func (h *Histogram) Above(d time.Duration) int {
	total := 0
	for _, n := range h.Buckets[bucketOf(d)+1:] {
		total += int(n)
	}
	return total
}

// BucketOf returns the index of the bucket that counts d.
func BucketOf(d time.Duration) int { return bucketOf(d) }

// bucketOf returns the bucket that holds d: the first whose bound is not below it.
func bucketOf(d time.Duration) int {
	low, high := 0, len(bounds)
	for low < high {
		if mid := (low + high) / 2; bounds[mid] < d {
			low = mid + 1
		} else {
			high = mid
		}
	}
	return low
}
