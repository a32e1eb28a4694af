package link

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// BenchmarkCall measures one exchange between two nodes over an open
// connection, both ends in one process.
func BenchmarkCall(b *testing.B) {
	a, err := NewAuthority()
	qt.Assert(b, err, qt.IsNil)
	first, second := open(b, a), open(b, a)
	b.ReportAllocs()
	for b.Loop() {
		_, err := Call[note, note](b.Context(), first.Open, second.Address(), kindNote, note{"hello"})
		qt.Assert(b, err, qt.IsNil)
	}
}

// BenchmarkPeers measures the memory that connections take, both ends counted.
func BenchmarkPeers(b *testing.B) {
	const peers = 60
	a, err := NewAuthority()
	qt.Assert(b, err, qt.IsNil)
	center := open(b, a)
	links := make([]*Link, peers)
	for i := range links {
		links[i] = open(b, a)
	}
	before := memory()
	for _, l := range links {
		_, err := Call[note, note](b.Context(), center.Open, l.Address(), kindNote, note{"hello"})
		qt.Assert(b, err, qt.IsNil)
	}
	b.ReportMetric(float64(memory()-before)/peers/1024, "KiB/connection")
	b.ReportMetric(0, "ns/op")
}

func memory() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// BenchmarkBidStream measures the messages of one remote request, both ends in
// one process: a bid, its grant, the first token, so many reports of progress
// and the end, on one stream.
func BenchmarkBidStream(b *testing.B) {
	for _, reports := range []int{0, 10} {
		b.Run(fmt.Sprintf("reports=%d", reports), func(b *testing.B) {
			a, err := NewAuthority()
			qt.Assert(b, err, qt.IsNil)
			entry, cell := open(b, a), open(b, a)
			Handle(cell.Mux, 2, func(_ context.Context, s *Stream, _ note) {
				s.Send(kindNote, note{strings.Repeat("g", 80)}) //nolint:errcheck // the caller sees it.
				for {
					kind, _, err := s.Receive()
					if err != nil || kind == 3 {
						s.Send(3, note{}) //nolint:errcheck // the caller sees it.
						return
					}
				}
			})
			for b.Loop() {
				s, err := entry.Open(b.Context(), cell.Address())
				qt.Assert(b, err, qt.IsNil)
				s.Send(2, note{strings.Repeat("b", 260)}) //nolint:errcheck // seen at the answer.
				_, _, err = s.Receive()
				qt.Assert(b, err, qt.IsNil)
				for range reports + 1 {
					s.Send(kindNote, note{"12345678"}) //nolint:errcheck // seen at the answer.
				}
				s.Send(3, note{strings.Repeat("e", 30)}) //nolint:errcheck // seen at the answer.
				_, _, err = s.Receive()
				qt.Assert(b, err, qt.IsNil)
				s.Close() //nolint:errcheck // done with it.
			}
		})
	}
}
