package wire

import (
	"time"

	"goldcrestwick/internal/process/poison"
	"goldcrestwick/internal/request/ident"
)

// Crashes reports crashed endpoints.
type Crashes struct {
	Crashes []Crash `cbor:"1,keyasint"`
}

// Crash is poison.Crash on the wire.
type Crash struct {
	Endpoint string   `cbor:"1,keyasint"`
	Started  int64    `cbor:"2,keyasint,omitempty"`
	Age      int64    `cbor:"3,keyasint"`
	Parts    []uint64 `cbor:"4,keyasint"`
}

// FromCrashes converts crashes.
func FromCrashes(crashes []poison.Crash, now time.Time) Crashes {
	var m Crashes
	for _, c := range crashes {
		m.Crashes = append(m.Crashes, Crash{
			string(c.Endpoint.ID), c.Endpoint.StartedUnixMilli, int64(now.Sub(c.At)), convertInts[uint64](c.Parts),
		})
	}
	return m
}

// ToCrashes converts received crashes.
func (m Crashes) ToCrashes(now time.Time) []poison.Crash {
	var crashes []poison.Crash
	for _, c := range m.Crashes {
		crashes = append(crashes, poison.Crash{
			Endpoint: poison.Endpoint{ID: ident.Endpoint(c.Endpoint), StartedUnixMilli: c.Started},
			At:       now.Add(-max(time.Duration(c.Age), 0)), Parts: convertInts[ident.PromptPart](c.Parts),
		})
	}
	return crashes
}

// CompletedParts asks when requests with parts of prompts last completed. The reply has
// the time since then in Ages, for each part of which it is known.
type CompletedParts struct {
	Parts []uint64         `cbor:"1,keyasint,omitempty"`
	Ages  map[uint64]int64 `cbor:"2,keyasint,omitempty"`
}

// FromSuspects asks about suspects.
func FromSuspects(suspects []poison.Suspect) CompletedParts {
	var m CompletedParts
	for _, s := range suspects {
		m.Parts = append(m.Parts, uint64(s.Part))
	}
	return m
}

// ToParts returns the parts that are asked about.
func (m CompletedParts) ToParts() []ident.PromptPart { return convertInts[ident.PromptPart](m.Parts) }

// FromPartTimes converts the times of a reply to ages, or the ends of quarantines to
// remaining times if isEnd is set.
func FromPartTimes(times map[ident.PromptPart]time.Time, now time.Time, isEnd bool) map[uint64]int64 {
	if len(times) == 0 {
		return nil
	}
	m := map[uint64]int64{}
	for part, at := range times {
		m[uint64(part)] = int64(now.Sub(at))
		if isEnd {
			m[uint64(part)] = -m[uint64(part)]
		}
	}
	return m
}
