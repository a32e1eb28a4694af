package wire

import (
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/sched"
)

// Started reports that a request has left its prefill phase, and how many
// requests its endpoint had at that time. Known is false if the endpoint did not
// report its counts.
type Started struct {
	Known   bool `cbor:"1,keyasint,omitempty"`
	Running int  `cbor:"2,keyasint,omitempty"`
	Waiting int  `cbor:"3,keyasint,omitempty"`
	// RateLimit is the endpoint's limit on requests per second, 0 for none.
	RateLimit float64 `cbor:"4,keyasint,omitempty"`
	// Pace is how long work takes on the endpoint's host, in percent of what is usual.
	Pace int `cbor:"5,keyasint,omitempty"`
}

// FromStatement converts an endpoint's statement, nil if there is none.
func FromStatement(s *sched.Statement) Started {
	if s == nil {
		return Started{}
	}
	m := Started{RateLimit: float64(s.RateLimit)}
	if s.Occupancy != nil {
		m.Known, m.Running, m.Waiting, m.Pace = true, s.Occupancy.Running, s.Occupancy.Waiting, s.Occupancy.Pace
	}
	return m
}

// ToStatement converts a received statement.
func (m Started) ToStatement() sched.Statement {
	s := sched.Statement{RateLimit: max(ident.Rate(m.RateLimit), 0)}
	if m.Known {
		s.Occupancy = &sched.Occupancy{Running: m.Running, Waiting: m.Waiting, Pace: m.Pace}
	}
	return s
}

// FromLimits converts endpoints' rate limits.
func FromLimits(limits map[ident.Endpoint]ident.Rate) map[string]float64 {
	return convertLimits[string, float64](limits)
}

// ToLimits converts received rate limits. Negative ones become 0.
func ToLimits(limits map[string]float64) map[ident.Endpoint]ident.Rate {
	return convertLimits[ident.Endpoint, ident.Rate](limits)
}

// convertLimits converts a map of limits by endpoint; an empty one becomes nil.
func convertLimits[Name ~string, Limit ~float64, FromName ~string, FromLimit ~float64](from map[FromName]FromLimit) map[Name]Limit {
	if len(from) == 0 {
		return nil
	}
	to := map[Name]Limit{}
	for name, limit := range from {
		to[Name(name)] = max(Limit(limit), 0)
	}
	return to
}
