package link

import (
	"runtime"
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
