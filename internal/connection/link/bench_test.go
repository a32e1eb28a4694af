package link

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// BenchmarkCall measures one call between two nodes over an open connection, with
// both ends in one process.
func BenchmarkCall(b *testing.B) {
	a, err := NewAuthority()
	qt.Assert(b, err, qt.IsNil)
	first, second := listen(b, a), listen(b, a)
	b.ReportAllocs()
	for b.Loop() {
		_, err := Call[testMessage, testMessage](b.Context(), first.Open, second.Address(), kindTest, testMessage{"hello"})
		qt.Assert(b, err, qt.IsNil)
	}
}

// BenchmarkHandshake measures a call over a new connection, with both ends in one process.
func BenchmarkHandshake(b *testing.B) {
	a, err := NewAuthority()
	qt.Assert(b, err, qt.IsNil)
	first, second := listen(b, a), listen(b, a)
	b.ReportAllocs()
	for b.Loop() {
		_, err := Call[testMessage, testMessage](b.Context(), first.Open, second.Address(), kindTest, testMessage{"hello"})
		qt.Assert(b, err, qt.IsNil)
		first.Forget(second.Address())
	}
}

// BenchmarkConnectionMemory measures the memory per connection, for both ends
// together.
func BenchmarkConnectionMemory(b *testing.B) {
	const peers = 60
	a, err := NewAuthority()
	qt.Assert(b, err, qt.IsNil)
	center := listen(b, a)
	nodes := make([]*Transport, peers)
	for i := range nodes {
		nodes[i] = listen(b, a)
	}
	before := heapAndStackBytes()
	for _, node := range nodes {
		_, err := Call[testMessage, testMessage](b.Context(), center.Open, node.Address(), kindTest, testMessage{"hello"})
		qt.Assert(b, err, qt.IsNil)
	}
	b.ReportMetric(float64(heapAndStackBytes()-before)/peers/1024, "KiB/connection")
	b.ReportMetric(0, "ns/op")
}

func heapAndStackBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// BenchmarkGrantRequestStream measures the messages of one remote request on one
// stream, with both ends in one process: a grant request, the grant, the first
// token, a number of progress reports and the completion.
func BenchmarkGrantRequestStream(b *testing.B) {
	for _, reports := range []int{0, 10} {
		b.Run(fmt.Sprintf("reports=%d", reports), func(b *testing.B) {
			a, err := NewAuthority()
			qt.Assert(b, err, qt.IsNil)
			entry, cell := listen(b, a), listen(b, a)
			Handle(cell.Mux, 2, func(_ context.Context, s *Stream, _ testMessage) {
				s.Send(kindTest, testMessage{strings.Repeat("g", 80)}) //nolint:errcheck // a failure shows in the caller.
				for {
					kind, _, err := s.Receive()
					if err != nil || kind == 3 {
						s.Send(3, testMessage{}) //nolint:errcheck // a failure shows in the caller.
						return
					}
				}
			})
			for b.Loop() {
				s, err := entry.Open(b.Context(), cell.Address())
				qt.Assert(b, err, qt.IsNil)
				s.Send(2, testMessage{strings.Repeat("b", 260)}) //nolint:errcheck // a failure shows in Receive.
				_, _, err = s.Receive()
				qt.Assert(b, err, qt.IsNil)
				for range reports + 1 {
					s.Send(kindTest, testMessage{"12345678"}) //nolint:errcheck // a failure shows in Receive.
				}
				s.Send(3, testMessage{strings.Repeat("e", 30)}) //nolint:errcheck // a failure shows in Receive.
				_, _, err = s.Receive()
				qt.Assert(b, err, qt.IsNil)
				s.Close() //nolint:errcheck // done with it.
			}
		})
	}
}
