// Package spread decides which entry nodes the callers of an availability zone use.
//
// Callers look the addresses up often, connect to random ones of them and leave the
// connections to addresses that are missing from a later answer. In a large fleet
// the answer has only some of the nodes, and it must therefore not change from one
// look-up to the next: that would make every caller connect anew each time, and a
// connection costs a small node more than a request does.
//
// The nodes are divided into groups of about the same size, each with nodes of all
// zones, and the zones of the callers into as many. The load pattern behind it is a
// zone whose callers ask for more than those of others: its load comes to nodes, and
// so to cells, of all zones. A zone that cannot be reached leaves its callers the
// nodes of the other zones.
//
// # Usage
//
//	for _, m := range spread.ForCallers(view.Ready(region), zones, zone) { ... }
package spread

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/member"
)

const (
	// maxNodes bounds the nodes in an answer, since callers take no more addresses.
	maxNodes = 64
	// wholeFleet is the number of nodes up to which callers may use all of them.
	wholeFleet = 60
)

// ForCallers returns the nodes among the ready ones that the callers of a zone
// should use, without those that are suspect. zones lists all availability zones of
// the region. The same arguments give the same nodes.
func ForCallers(ready []member.Member, zones []ident.AvailabilityZone, zone ident.AvailabilityZone) []member.Member {
	usable := slices.DeleteFunc(slices.Clone(ready), func(m member.Member) bool { return m.Suspect })
	count := groupCount(len(usable), len(zones))
	if count > 1 {
		group := groupOf(zones, zone) % count
		usable = slices.DeleteFunc(usable, func(m member.Member) bool {
			return int(xxhash.Sum64String(string(m.ID))%uint64(count)) != group
		})
	}
	ranked := member.Ranked(usable, "callers/"+string(zone))
	return ranked[:min(len(ranked), maxNodes)]
}

// groupCount returns the number of groups: the least divisor of the number of zones,
// so that each group serves as many zones, with which a group has at most wholeFleet
// nodes, or the number of zones.
func groupCount(nodes, zones int) int {
	for count := 1; count < zones; count++ {
		if zones%count == 0 && nodes <= count*wholeFleet {
			return count
		}
	}
	return max(zones, 1)
}

// groupOf returns the zone's place in the order of the zones, or that of the first
// zone for an unknown one.
func groupOf(zones []ident.AvailabilityZone, zone ident.AvailabilityZone) int {
	sorted := slices.Sorted(slices.Values(zones))
	return max(slices.Index(sorted, zone), 0)
}
