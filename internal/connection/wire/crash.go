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
	Traits   []uint64 `cbor:"4,keyasint"`
	Pool     string   `cbor:"5,keyasint,omitempty"`
	SentAge  int64    `cbor:"6,keyasint,omitempty"`
}

// FromCrashes converts crashes.
func FromCrashes(crashes []poison.Crash, now time.Time) Crashes {
	var m Crashes
	for _, c := range crashes {
		m.Crashes = append(m.Crashes, Crash{
			Endpoint: string(c.Endpoint.ID), Started: c.Endpoint.StartedUnixMilli, Pool: string(c.Endpoint.Pool),
			Age: int64(now.Sub(c.At)), SentAge: int64(now.Sub(c.SentAt)), Traits: convertInts[uint64](c.Traits),
		})
	}
	return m
}

// ToCrashes converts received crashes.
func (m Crashes) ToCrashes(now time.Time) []poison.Crash {
	var crashes []poison.Crash
	for _, c := range m.Crashes {
		crashes = append(crashes, poison.Crash{
			Endpoint: poison.Endpoint{Pool: ident.PoolID(c.Pool), ID: ident.Endpoint(c.Endpoint), StartedUnixMilli: c.Started},
			SentAt:   now.Add(-max(time.Duration(c.SentAge), 0)), At: now.Add(-max(time.Duration(c.Age), 0)),
			Traits: convertInts[ident.Trait](c.Traits),
		})
	}
	return crashes
}

// CompletedTraits asks when requests with traits last completed. The reply has
// the time since then in Ages, for each trait of which it is known.
type CompletedTraits struct {
	Traits []uint64         `cbor:"1,keyasint,omitempty"`
	Ages   map[uint64]int64 `cbor:"2,keyasint,omitempty"`
}

// FromSuspects asks about suspects.
func FromSuspects(suspects []poison.Suspect) CompletedTraits {
	var m CompletedTraits
	for _, s := range suspects {
		m.Traits = append(m.Traits, uint64(s.Trait))
	}
	return m
}

// ToTraits returns the traits that are asked about.
func (m CompletedTraits) ToTraits() []ident.Trait { return convertInts[ident.Trait](m.Traits) }

// FromTraitTimes converts the times of a reply to ages, or the ends of quarantines to
// remaining times if isEnd is set.
func FromTraitTimes(times map[ident.Trait]time.Time, now time.Time, isEnd bool) map[uint64]int64 {
	if len(times) == 0 {
		return nil
	}
	m := map[uint64]int64{}
	for trait, at := range times {
		m[uint64(trait)] = int64(now.Sub(at))
		if isEnd {
			m[uint64(trait)] = -m[uint64(trait)]
		}
	}
	return m
}
