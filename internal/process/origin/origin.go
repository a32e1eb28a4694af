// Package origin remembers which software release began each stream, and decides which
// releases the pools may use.
//
// What two releases generate does not fit together, and endpoints do not check it. A
// stream that a caller takes up at another node therefore has to go on at the release that
// began it, which the node that is asked has to learn: from its own Streams, from those of
// other nodes, or from the store, to which Pending origins are written. If the stream is
// found nowhere, the pool's Row shows whether another release can have begun it: the row is
// complete, because a Listing admits no release that it does not list.
//
// # Usage
//
//	streams.Add("9c41d07be2a35f68", origin.Origin{Pool: "platform/chat", Release: "v1.2"}, time.Now())
//	o, ok := streams.Find("9c41d07be2a35f68")
//
//	listing.Observe(releasesByPool, true, time.Now())
//	row, isChanged := listing.Plan("platform/chat", false, time.Now()) // write it, then Confirm
//	ok := listing.Admits("platform/chat", "v1.2", time.Now())
//	release, ok := row.Sole(era, 30*time.Second, time.Now())
package origin

import (
	"cmp"
	"sync"
	"time"

	"goldcrestwick/internal/process/ident"
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
	// TTL replaces streamTTL if it is not 0.
	TTL time.Duration

	mu sync.Mutex
	// current holds the streams added since rotatedAt, previous those added before.
	current, previous map[ident.RequestID]Origin
	rotatedAt         time.Time
}

// Add records the origin of a stream. It reports whether the stream was unknown. A later
// origin replaces an earlier one: a stream that is taken up is bound to the release that began
// it, so that another release means that the caller has used the identifier for a new stream.
func (s *Streams) Add(stream ident.RequestID, o Origin, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.rotatedAt) > cmp.Or(s.TTL, streamTTL) || len(s.current) >= maxStreams {
		s.previous, s.current, s.rotatedAt = s.current, nil, now
	}
	if s.current == nil {
		s.current = map[ident.RequestID]Origin{}
	}
	_, known := s.find(stream)
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

// All returns the streams of a pool with the releases that began them.
func (s *Streams) All(pool ident.PoolID) map[ident.RequestID]ident.Release {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := map[ident.RequestID]ident.Release{}
	for _, streams := range []map[ident.RequestID]Origin{s.previous, s.current} {
		for stream, o := range streams {
			if o.Pool == pool {
				all[stream] = o.Release
			}
		}
	}
	return all
}
