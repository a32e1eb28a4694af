package wire

import (
	"slices"
	"time"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/poison"
)

// Crashes is poison.Report on the wire.
type Crashes struct {
	Crashes []Crash `cbor:"1,keyasint"`
	// Completed has the time since the latest completion of a request with each trait.
	Completed map[uint64]int64 `cbor:"2,keyasint,omitempty"`
	Working   []Working        `cbor:"3,keyasint,omitempty"`
	Blamed    []uint64         `cbor:"4,keyasint,omitempty"`
	// Known has the time since the crash of each endpoint run of which the sender knows.
	Known []Working `cbor:"5,keyasint,omitempty"`
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

// Working has the time since an endpoint that seemed to have crashed completed a request, or
// since it crashed.
type Working struct {
	Endpoint string `cbor:"1,keyasint"`
	Started  int64  `cbor:"2,keyasint,omitempty"`
	Pool     string `cbor:"3,keyasint,omitempty"`
	Age      int64  `cbor:"4,keyasint"`
}

// CrashQuery asks for the evidence of crashes of a pool. The reply is Crashes; what does not
// fit into it is sent to the asking node as reports.
type CrashQuery struct {
	Pool string `cbor:"1,keyasint"`
	Node string `cbor:"2,keyasint,omitempty"`
}

const (
	// maxReportBytes bounds the estimated size of a message, which may have 1 MiB and arrays
	// and maps of 65,536 elements. As each element counts with 9 bytes or more, it bounds
	// their number as well.
	maxReportBytes = 1 << 19
	// crashBytes, workingBytes, agedTraitBytes and traitBytes bound the encoded sizes without
	// the names.
	crashBytes, workingBytes, agedTraitBytes, traitBytes = 64, 40, 18, 9
	// maxCrashTraits is the number of traits after which a crash is continued in another entry.
	maxCrashTraits = 1000
)

// reportParts are the messages of one report.
type reportParts struct {
	parts []Crashes
	size  int
}

// withRoom returns the message that the next element of a size belongs to.
func (p *reportParts) withRoom(size int) *Crashes {
	if len(p.parts) == 0 || p.size+size > maxReportBytes {
		p.parts, p.size = append(p.parts, Crashes{}), 0
	}
	p.size += size
	return &p.parts[len(p.parts)-1]
}

// Split returns messages with the content of m that fit into frames. They are to be sent in
// their order: known runs come first, and blamed traits after their crashes.
func (m Crashes) Split() []Crashes {
	var p reportParts
	sizeOf := func(w Working) int { return workingBytes + len(w.Endpoint) + len(w.Pool) }
	for _, w := range m.Known {
		part := p.withRoom(sizeOf(w))
		part.Known = append(part.Known, w)
	}
	for _, c := range m.Crashes {
		for traits := range slices.Chunk(c.Traits, maxCrashTraits) {
			part := p.withRoom(crashBytes + len(c.Endpoint) + len(c.Pool) + traitBytes*len(traits))
			c.Traits = traits
			part.Crashes = append(part.Crashes, c)
		}
	}
	for _, w := range m.Working {
		part := p.withRoom(sizeOf(w))
		part.Working = append(part.Working, w)
	}
	for trait, age := range m.Completed {
		part := p.withRoom(agedTraitBytes)
		if part.Completed == nil {
			part.Completed = map[uint64]int64{}
		}
		part.Completed[trait] = age
	}
	for _, trait := range m.Blamed {
		part := p.withRoom(traitBytes)
		part.Blamed = append(part.Blamed, trait)
	}
	return p.parts
}

// FromReport converts a report.
func FromReport(r poison.Report, now time.Time) Crashes {
	m := Crashes{Completed: FromTraitTimes(r.Completed, now, false), Blamed: convertInts[uint64](r.Blamed)}
	for _, c := range r.Crashes {
		m.Crashes = append(m.Crashes, Crash{
			Endpoint: string(c.Endpoint.ID), Started: c.Endpoint.StartedUnixMilli, Pool: string(c.Endpoint.Pool),
			Age: int64(now.Sub(c.At)), SentAge: int64(now.Sub(c.SentAt)), Traits: convertInts[uint64](c.Traits),
		})
	}
	m.Working, m.Known = fromEndpointTimes(r.Working, now), fromEndpointTimes(r.Known, now)
	return m
}

func fromEndpointTimes(times map[poison.Endpoint]time.Time, now time.Time) (m []Working) {
	for endpoint, at := range times {
		m = append(m, Working{
			Endpoint: string(endpoint.ID), Started: endpoint.StartedUnixMilli, Pool: string(endpoint.Pool), Age: int64(now.Sub(at)),
		})
	}
	return m
}

// ToReport converts a received report.
func (m Crashes) ToReport(now time.Time) poison.Report {
	r := poison.Report{Blamed: convertInts[ident.Trait](m.Blamed)}
	before := func(age int64) time.Time { return now.Add(-max(time.Duration(age), 0)) }
	for _, c := range m.Crashes {
		r.Crashes = append(r.Crashes, poison.Crash{
			Endpoint: endpointOf(c.Pool, c.Endpoint, c.Started), SentAt: before(c.SentAge), At: before(c.Age),
			Traits: convertInts[ident.Trait](c.Traits),
		})
	}
	if len(m.Completed) > 0 {
		r.Completed = map[ident.Trait]time.Time{}
	}
	for trait, age := range m.Completed {
		r.Completed[ident.Trait(trait)] = before(age)
	}
	toTimes := func(all []Working) map[poison.Endpoint]time.Time {
		if len(all) == 0 {
			return nil
		}
		times := map[poison.Endpoint]time.Time{}
		for _, w := range all {
			times[endpointOf(w.Pool, w.Endpoint, w.Started)] = before(w.Age)
		}
		return times
	}
	r.Working, r.Known = toTimes(m.Working), toTimes(m.Known)
	return r
}

func endpointOf(pool, id string, started int64) poison.Endpoint {
	return poison.Endpoint{Pool: ident.PoolID(pool), ID: ident.Endpoint(id), StartedUnixMilli: started}
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
