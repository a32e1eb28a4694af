package wire

import (
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/origin"
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
type OriginReply struct {
	IsKnown bool   `cbor:"1,keyasint,omitempty"`
	Pool    string `cbor:"2,keyasint,omitempty"`
	Release string `cbor:"3,keyasint,omitempty"`
	// IsMixed tells nodes of builds that take up streams at the only release which they have seen
	// that the pool may have others.
	IsMixed bool `cbor:"7,keyasint,omitempty"`
}

// ToOrigin converts the origin of a stream that is known.
func (m OriginReply) ToOrigin() origin.Origin {
	return origin.Origin{Pool: ident.PoolID(m.Pool), Release: ident.Release(m.Release)}
}

// ReleaseQuery asks for what a node knows of the releases of pools.
type ReleaseQuery struct {
	Pools []string `cbor:"1,keyasint"`
}

// Releases holds what a node knows of the releases of pools.
type Releases struct {
	Pools []PoolReleases `cbor:"1,keyasint"`
	// AtUnixMilli is when the call that wrote the rows started, 0 in replies.
	AtUnixMilli int64 `cbor:"2,keyasint,omitempty"`
}

// PoolReleases is origin.Row on the wire, with the releases that the sender admits.
// CompleteSince is in Unix milliseconds.
type PoolReleases struct {
	Pool          string   `cbor:"1,keyasint"`
	Listed        []string `cbor:"2,keyasint,omitempty"`
	Gone          []string `cbor:"3,keyasint,omitempty"`
	Era           int64    `cbor:"4,keyasint,omitempty"`
	Serial        int64    `cbor:"5,keyasint,omitempty"`
	CompleteSince int64    `cbor:"6,keyasint,omitempty"`
	Admitted      []string `cbor:"7,keyasint,omitempty"`
}

// FromPoolReleases converts the row of a pool and the releases that this node admits.
func FromPoolReleases(pool ident.PoolID, row origin.Row, admitted []ident.Release) PoolReleases {
	return PoolReleases{
		Pool: string(pool), Listed: convertNames[string](row.Releases), Gone: convertNames[string](row.Gone), Era: row.Era,
		Serial: row.Serial, CompleteSince: row.CompleteSince, Admitted: convertNames[string](admitted),
	}
}

// ToPoolReleases converts a received row and the releases that its sender admits.
func (m PoolReleases) ToPoolReleases() (pool ident.PoolID, row origin.Row, admitted []ident.Release) {
	row = origin.Row{
		Releases: convertNames[ident.Release](m.Listed), Gone: convertNames[ident.Release](m.Gone), Era: m.Era,
		Serial: m.Serial, CompleteSince: m.CompleteSince,
	}
	return ident.PoolID(m.Pool), row, convertNames[ident.Release](m.Admitted)
}
