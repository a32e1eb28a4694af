package wire

import (
	"time"

	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/process/canary"
	"goldcrestwick/internal/process/ident"
)

const (
	// KindRolloutStep is a call by which the node that conducts a rollout tells the others
	// the target's share, and gets the counts of the answers.
	KindRolloutStep = KindDetourEnd + 11 + link.Kind(iota)
	// KindRolloutQuery is a call for what the conductor of a rollout knows of it.
	KindRolloutQuery
)

// RolloutStep tells a node what holds for the requests of a pool.
type RolloutStep struct {
	Pool   string  `cbor:"1,keyasint"`
	Target string  `cbor:"2,keyasint"`
	Share  float64 `cbor:"3,keyasint"`
	// Endpoints is the number of endpoints of the target that may be used, 0 for all.
	Endpoints int `cbor:"4,keyasint,omitempty"`
	// Conductor is the sender, and Fencing its fencing number. Sequence counts its steps.
	Conductor string `cbor:"5,keyasint"`
	Fencing   uint64 `cbor:"6,keyasint"`
	Sequence  uint64 `cbor:"7,keyasint"`
	// Received is the sequence of the latest step whose reply the conductor got from the
	// receiver.
	Received uint64 `cbor:"8,keyasint,omitempty"`
	State    uint8  `cbor:"9,keyasint,omitempty"`
	// IsSealed makes requests wait that are bound to another release than the target.
	IsSealed bool `cbor:"10,keyasint,omitempty"`
	// Clock is the time on the rollout's clock.
	Clock  int64  `cbor:"11,keyasint"`
	Reason string `cbor:"12,keyasint,omitempty"`
}

// RolloutReply is the reply to a step: what the node has counted since the last one whose
// reply the conductor got.
type RolloutReply struct {
	// IsApplied is set if the share holds at the node from now on. If it is not, the node
	// knows another order, or a conductor with the fencing number Fencing.
	IsApplied bool   `cbor:"1,keyasint,omitempty"`
	Fencing   uint64 `cbor:"2,keyasint,omitempty"`
	// Started identifies the run of the node's process.
	Started uint64 `cbor:"3,keyasint,omitempty"`
	// InFlight is the number of requests by release that run with the node as their entry
	// node or were granted by its cells.
	InFlight map[string]int        `cbor:"4,keyasint,omitempty"`
	Counts   []RolloutCount        `cbor:"5,keyasint,omitempty"`
	Arrivals map[string]int        `cbor:"6,keyasint,omitempty"`
	Lost     map[string]int        `cbor:"7,keyasint,omitempty"`
	Entries  []RolloutEntryAnswers `cbor:"8,keyasint,omitempty"`
	// Span is the time in which all this was counted.
	Span  int64         `cbor:"9,keyasint,omitempty"`
	Paces []RolloutPace `cbor:"10,keyasint,omitempty"`
}

// RolloutPace is canary.Pace with its key on the wire.
type RolloutPace struct {
	Endpoint string `cbor:"1,keyasint"`
	Release  string `cbor:"2,keyasint"`
	Route    string `cbor:"3,keyasint,omitempty"`
	Class    uint8  `cbor:"4,keyasint,omitempty"`
	Answers  int    `cbor:"5,keyasint,omitempty"`
	Buckets  int    `cbor:"6,keyasint,omitempty"`
}

// RolloutCount is canary.Count with its key on the wire.
type RolloutCount struct {
	Release    string           `cbor:"1,keyasint"`
	Route      string           `cbor:"2,keyasint,omitempty"`
	Class      uint8            `cbor:"3,keyasint,omitempty"`
	Answers    int              `cbor:"4,keyasint,omitempty"`
	Failures   int              `cbor:"5,keyasint,omitempty"`
	Latency    map[uint8]uint32 `cbor:"6,keyasint,omitempty"`
	InterToken map[uint8]uint32 `cbor:"7,keyasint,omitempty"`
}

// RolloutEntryAnswers is canary.Tally with its key on the wire.
type RolloutEntryAnswers struct {
	Node     string `cbor:"1,keyasint"`
	Release  string `cbor:"2,keyasint"`
	Answers  int    `cbor:"3,keyasint,omitempty"`
	Failures int    `cbor:"4,keyasint,omitempty"`
}

// FromRolloutSample converts what a node has counted.
func FromRolloutSample(s canary.Sample) RolloutReply {
	m := RolloutReply{Arrivals: convertCounts[string](s.Arrivals), Lost: convertCounts[string](s.Lost)}
	for k, c := range s.Counts {
		m.Counts = append(m.Counts, RolloutCount{
			Release: string(k.Release), Route: k.Route, Class: k.Class, Answers: c.Answers, Failures: c.Failures,
			Latency: fromHistogram(&c.Latency), InterToken: fromHistogram(&c.InterToken),
		})
	}
	for k, t := range s.Entries {
		m.Entries = append(m.Entries, RolloutEntryAnswers{string(k.Node), string(k.Release), t.Answers, t.Failures})
	}
	for k, p := range s.Paces {
		m.Paces = append(m.Paces, RolloutPace{string(k.Endpoint), string(k.Release), k.Route, k.Class, p.Answers, p.Buckets})
	}
	return m
}

// AddTo adds the received counts to a sample.
func (m RolloutReply) AddTo(s *canary.Sample) {
	if s.Counts == nil {
		s.Counts, s.Entries = map[canary.Key]canary.Count{}, map[canary.Entry]canary.Tally{}
		s.Arrivals, s.Lost = map[ident.Release]int{}, map[ident.Release]int{}
	}
	for _, c := range m.Counts {
		key := canary.Key{Release: ident.Release(c.Release), Route: c.Route, Class: c.Class}
		sum := s.Counts[key]
		sum.Add(canary.Count{
			Answers: max(c.Answers, 0), Failures: max(c.Failures, 0),
			Latency: toHistogram(c.Latency), InterToken: toHistogram(c.InterToken),
		})
		s.Counts[key] = sum
	}
	for _, e := range m.Entries {
		key := canary.Entry{Node: ident.NodeID(e.Node), Release: ident.Release(e.Release)}
		t := s.Entries[key]
		s.Entries[key] = canary.Tally{Answers: t.Answers + max(e.Answers, 0), Failures: t.Failures + max(e.Failures, 0)}
	}
	if s.Paces == nil && len(m.Paces) > 0 {
		s.Paces = map[canary.PaceKey]canary.Pace{}
	}
	for _, p := range m.Paces {
		key := canary.PaceKey{Key: canary.Key{Release: ident.Release(p.Release), Route: p.Route, Class: p.Class}, Endpoint: ident.Endpoint(p.Endpoint)}
		sum := s.Paces[key]
		s.Paces[key] = canary.Pace{Answers: sum.Answers + max(p.Answers, 0), Buckets: sum.Buckets + max(p.Buckets, 0)}
	}
	for release, n := range m.Arrivals {
		s.Arrivals[ident.Release(release)] += max(n, 0)
	}
	for release, n := range m.Lost {
		s.Lost[ident.Release(release)] += max(n, 0)
	}
}

// FromInFlightByRelease converts numbers of requests by release.
func FromInFlightByRelease(counts map[ident.Release]int) map[string]int {
	return convertCounts[string](counts)
}

// convertCounts converts the keys of counts; none becomes nil.
func convertCounts[To, From ~string](from map[From]int) map[To]int {
	if len(from) == 0 {
		return nil
	}
	to := make(map[To]int, len(from))
	for k, n := range from {
		to[To(k)] = n
	}
	return to
}

// fromHistogram returns the buckets that are not empty.
func fromHistogram(h *canary.Histogram) map[uint8]uint32 {
	var m map[uint8]uint32
	for i, n := range h.Buckets {
		if n > 0 {
			if m == nil {
				m = map[uint8]uint32{}
			}
			m[uint8(i)] = n
		}
	}
	return m
}

// toHistogram ignores unknown buckets.
func toHistogram(m map[uint8]uint32) (h canary.Histogram) {
	for i, n := range m {
		if int(i) < len(h.Buckets) {
			h.Buckets[i] = n
		}
	}
	return h
}

// RolloutQuery asks for the status of a pool's rollout.
type RolloutQuery struct {
	Pool string `cbor:"1,keyasint"`
}

// RolloutStatus is what a node knows of a pool's rollout. IsConducting is set at the node
// that conducts it; others know neither Counts nor Verdict.
type RolloutStatus struct {
	IsKnown      bool           `cbor:"1,keyasint,omitempty"`
	Target       string         `cbor:"2,keyasint,omitempty"`
	Ramp         int64          `cbor:"3,keyasint,omitempty"`
	Version      int64          `cbor:"4,keyasint,omitempty"`
	State        string         `cbor:"5,keyasint,omitempty"`
	Share        float64        `cbor:"6,keyasint,omitempty"`
	Endpoints    int            `cbor:"7,keyasint,omitempty"`
	Verdict      string         `cbor:"8,keyasint,omitempty"`
	Reason       string         `cbor:"9,keyasint,omitempty"`
	Problem      string         `cbor:"10,keyasint,omitempty"`
	Conductor    string         `cbor:"11,keyasint,omitempty"`
	IsConducting bool           `cbor:"12,keyasint,omitempty"`
	Running      int64          `cbor:"13,keyasint,omitempty"` // the time since the order
	OldInFlight  int            `cbor:"14,keyasint,omitempty"`
	Counts       []RolloutCount `cbor:"15,keyasint,omitempty"`
}

// RunningFor returns the time since the order.
func (m RolloutStatus) RunningFor() time.Duration { return time.Duration(m.Running) }

// ToCounts converts received counts.
func (m RolloutStatus) ToCounts() map[canary.Key]canary.Count {
	var s canary.Sample
	RolloutReply{Counts: m.Counts}.AddTo(&s)
	return s.Counts
}
