package wire

import (
	"time"

	"goldcrestwick/internal/process/adapt"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/sched"
)

// EndpointEstimate is sched.EndpointEstimate on the wire.
type EndpointEstimate struct {
	Endpoint          string  `cbor:"1,keyasint"`
	Window            int64   `cbor:"2,keyasint"`
	PrefillRate       float64 `cbor:"3,keyasint"`
	InterTokenLatency int64   `cbor:"4,keyasint"`
	// Slots, Limit and PerUnit are those of adapt.Estimate.
	Slots   int     `cbor:"5,keyasint,omitempty"`
	Limit   int     `cbor:"6,keyasint,omitempty"`
	PerUnit []int64 `cbor:"7,keyasint,omitempty"`
}

// FromEndpointEstimate converts a cell's estimate of an endpoint.
func FromEndpointEstimate(e sched.EndpointEstimate) EndpointEstimate {
	return EndpointEstimate{
		string(e.Endpoint), int64(e.Window), e.PrefillRate, int64(e.InterTokenLatency),
		e.Load.Slots, e.Load.Limit, convertInts[int64](e.Load.PerUnit),
	}
}

// ToEndpointEstimate converts a received estimate of an endpoint.
func (m EndpointEstimate) ToEndpointEstimate() sched.EndpointEstimate {
	return sched.EndpointEstimate{
		Endpoint: ident.Endpoint(m.Endpoint), Window: ident.Tokens(m.Window),
		PrefillRate: m.PrefillRate, InterTokenLatency: time.Duration(m.InterTokenLatency),
		Load: adapt.Estimate{Slots: m.Slots, Limit: m.Limit, PerUnit: convertInts[time.Duration](m.PerUnit)},
	}
}

// Estimates passes a cell's estimates to its standby nodes.
type Estimates struct {
	Pool      string             `cbor:"1,keyasint"`
	Cell      int                `cbor:"2,keyasint"`
	Estimates []EndpointEstimate `cbor:"3,keyasint,omitempty"`
}

// FromEstimates converts a cell's estimates.
func FromEstimates(id ident.CellID, estimates []sched.EndpointEstimate) Estimates {
	m := Estimates{Pool: string(id.Pool), Cell: id.Index}
	for _, e := range estimates {
		m.Estimates = append(m.Estimates, FromEndpointEstimate(e))
	}
	return m
}

// ToEstimates converts received estimates.
func (m Estimates) ToEstimates() (ident.CellID, []sched.EndpointEstimate) {
	estimates := make([]sched.EndpointEstimate, len(m.Estimates))
	for i, e := range m.Estimates {
		estimates[i] = e.ToEndpointEstimate()
	}
	return ident.CellID{Pool: ident.PoolID(m.Pool), Index: m.Cell}, estimates
}
