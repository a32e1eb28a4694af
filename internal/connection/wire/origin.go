package wire

import (
	"goldcrestwick/internal/process/origin"
	"goldcrestwick/internal/request/ident"
)

// Origins reports the origins of streams of one pool.
type Origins struct {
	Pool string `cbor:"1,keyasint"`
	// Streams holds the identifiers of the streams that each release began.
	Streams map[string][]string `cbor:"2,keyasint"`
}

// FromOrigins converts the releases by stream of a pool.
func FromOrigins(pool ident.PoolID, releases map[ident.RequestID]ident.Release) Origins {
	m := Origins{string(pool), map[string][]string{}}
	for stream, release := range releases {
		m.Streams[string(release)] = append(m.Streams[string(release)], string(stream))
	}
	return m
}

// ToOrigins converts received origins.
func (m Origins) ToOrigins() map[ident.RequestID]origin.Origin {
	origins := map[ident.RequestID]origin.Origin{}
	for release, streams := range m.Streams {
		for _, stream := range streams {
			origins[ident.RequestID(stream)] = origin.Origin{Pool: ident.PoolID(m.Pool), Release: ident.Release(release)}
		}
	}
	return origins
}

// OriginQuery asks for the origin of a stream that is taken up in a pool.
type OriginQuery struct {
	Stream string `cbor:"1,keyasint"`
	Pool   string `cbor:"2,keyasint"`
}

// OriginReply is the reply to OriginQuery. Pool and Release are valid if IsKnown is set.
// Otherwise SoleRelease is the only release of the query's pool if HasSole is set, and
// SoleFor the time for which the replier knows of no other, 0 if its list of endpoints may be
// outdated. IsMixed is set if the pool has several.
type OriginReply struct {
	IsKnown     bool   `cbor:"1,keyasint,omitempty"`
	Pool        string `cbor:"2,keyasint,omitempty"`
	Release     string `cbor:"3,keyasint,omitempty"`
	HasSole     bool   `cbor:"4,keyasint,omitempty"`
	SoleRelease string `cbor:"5,keyasint,omitempty"`
	SoleFor     int64  `cbor:"6,keyasint,omitempty"`
	IsMixed     bool   `cbor:"7,keyasint,omitempty"`
}

// ToOrigin converts the origin of a stream that is known.
func (m OriginReply) ToOrigin() origin.Origin {
	return origin.Origin{Pool: ident.PoolID(m.Pool), Release: ident.Release(m.Release)}
}
