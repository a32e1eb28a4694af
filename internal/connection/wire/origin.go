package wire

import "goldcrestwick/internal/request/ident"

// Origins reports the releases that began streams.
type Origins struct {
	// Streams holds the identifiers of the streams that each release began.
	Streams map[string][]string `cbor:"1,keyasint"`
}

// FromOrigins converts releases by stream.
func FromOrigins(origins map[ident.RequestID]ident.Release) Origins {
	m := Origins{Streams: map[string][]string{}}
	for stream, release := range origins {
		m.Streams[string(release)] = append(m.Streams[string(release)], string(stream))
	}
	return m
}

// ToOrigins converts received releases to releases by stream.
func (m Origins) ToOrigins() map[ident.RequestID]ident.Release {
	origins := map[ident.RequestID]ident.Release{}
	for release, streams := range m.Streams {
		for _, stream := range streams {
			origins[ident.RequestID(stream)] = ident.Release(release)
		}
	}
	return origins
}

// OriginQuery asks for the release that began a stream of a pool.
type OriginQuery struct {
	Stream string `cbor:"1,keyasint"`
	Pool   string `cbor:"2,keyasint"`
}

// OriginReply is the reply to OriginQuery. Release is valid if IsKnown is set. Otherwise
// SoleRelease is the pool's only release if HasSole is set, and SoleFor the time for which
// the replier knows of no other, 0 if its list of endpoints may be outdated. IsMixed is set if
// the pool has several.
type OriginReply struct {
	IsKnown     bool   `cbor:"1,keyasint,omitempty"`
	Release     string `cbor:"2,keyasint,omitempty"`
	HasSole     bool   `cbor:"3,keyasint,omitempty"`
	SoleRelease string `cbor:"4,keyasint,omitempty"`
	SoleFor     int64  `cbor:"5,keyasint,omitempty"`
	IsMixed     bool   `cbor:"6,keyasint,omitempty"`
}
