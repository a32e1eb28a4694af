// Package origin remembers which software release began each stream, and which releases
// a pool has had.
//
// What two releases generate does not fit together, and endpoints do not check it. A
// stream that a caller takes up at another node therefore has to go on at the release that
// began it, which the node that is asked has to learn: from its own Streams, from those
// of other nodes, or, if none of them remembers the stream, from a Census that shows that
// no other release can have begun it.
//
// # Usage
//
//	streams.Add("9c41d07be2a35f68", origin.Origin{Pool: "platform/chat", Release: "v1.2"}, time.Now())
//	o, ok := streams.Find("9c41d07be2a35f68")
//
//	census.Observe(releasesByPool, time.Now())
//	release, age, ok := census.Sole("platform/chat", time.Now())
package origin

import (
	"sync"
	"time"

	"goldcrestwick/internal/request/ident"
)

const (
	// streamTTL is the least time for which a stream is remembered after it was last
	// added. Streams begin and end within the timeouts of their routes, which are seconds.
	streamTTL = time.Minute
	// maxStreams bounds the streams that are added within streamTTL; then older ones
	// are forgotten earlier.
	maxStreams = 1 << 16
)

// Origin is where a stream began.
type Origin struct {
	Pool    ident.PoolID
	Release ident.Release
}

// Streams remembers the origins of streams. The zero value is empty. It is safe
// for concurrent use.
type Streams struct {
	mu sync.Mutex
	// current holds the streams added since rotatedAt, previous those added before.
	current, previous map[ident.RequestID]Origin
	rotatedAt         time.Time
}

// Add records the origin of a stream. It reports whether the stream was unknown. The origin
// of a known stream does not change.
func (s *Streams) Add(stream ident.RequestID, o Origin, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.rotatedAt) > streamTTL || len(s.current) >= maxStreams {
		s.previous, s.current, s.rotatedAt = s.current, nil, now
	}
	if s.current == nil {
		s.current = map[ident.RequestID]Origin{}
	}
	old, known := s.find(stream)
	if known {
		o = old
	}
	s.current[stream] = o
	return !known
}

// Find returns the origin of a stream.
func (s *Streams) Find(stream ident.RequestID) (o Origin, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.find(stream)
}

func (s *Streams) find(stream ident.RequestID) (o Origin, ok bool) {
	if o, ok = s.current[stream]; !ok {
		o, ok = s.previous[stream]
	}
	return o, ok
}
