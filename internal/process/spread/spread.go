// Package spread decides which entry nodes the callers of an availability zone use.
//
// Callers look the addresses up often, connect to random ones of them and leave the
// connections to addresses that are missing from a later answer. In a large fleet
// the answer has only some of the nodes, and it must therefore not change from one
// look-up to the next: that would make every caller connect anew each time, and a
// connection costs a small node more than a request does. The nodes are mostly those
// of the caller's own zone, so that requests and answers do not cross zones twice,
// and some of other zones, for the case that the whole zone cannot be reached.
//
// # Usage
//
//	for _, m := range spread.ForCallers(view.Ready(region), zone) { ... }
package spread

import (
	"goldcrestwick/internal/process/member"
	"goldcrestwick/internal/request/ident"
)

const (
	// smallFleet is the number of nodes up to which callers may use all of them.
	smallFleet = 24
	// maxNodes bounds the nodes for one zone, since callers take no more addresses.
	maxNodes = 64
	// minZoneNodes is the number of nodes from which on a zone serves its own callers.
	minZoneNodes = 6
	// farNodes is the number of nodes of other zones that such callers may use too.
	farNodes = 3
)

// ForCallers returns the nodes among the ready ones that the callers of a zone
// should use, without those that are suspect. The same nodes give the same result.
func ForCallers(ready []member.Member, zone ident.AvailabilityZone) []member.Member {
	var near, far []member.Member
	for _, m := range ready {
		switch {
		case m.Suspect:
		case m.Zone == zone:
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}
	key := "callers/" + string(zone)
	others := maxNodes
	if len(near)+len(far) > smallFleet && len(near) >= minZoneNodes {
		others = farNodes
	}
	near = member.Ranked(near, key)
	near = near[:min(len(near), maxNodes-min(others, farNodes))]
	far = member.Ranked(far, key)
	return append(near, far[:min(len(far), others, maxNodes-len(near))]...)
}
