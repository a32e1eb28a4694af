package admit

import (
	"testing"
	"time"
)

// BenchmarkLevel measures Level, which a cell calls for each submitted request, with 360
// requesters whose closures have expired.
func BenchmarkLevel(b *testing.B) {
	c, now := &Controller{}, time.Unix(1000, 0)
	for i := range 360 {
		c.Close("n", CloseRequest{Pool: testPool, Run: uint64(i + 1)}, now)
	}
	now = now.Add(CloseTTL + time.Second)
	for b.Loop() {
		if c.Level(testPool, now) != AdmitAll {
			b.Fatal("closed")
		}
	}
}
