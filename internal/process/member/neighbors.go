package member

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"goldcrestwick/internal/process/ident"
)

const (
	// maxFullMesh is the number of members up to which a node probes all others.
	// In a larger fleet it probes only its neighbors, so that the connections and
	// the first contacts of a node stay the same when the fleet grows.
	maxFullMesh = 32
	// zoneSuccessors is the number of successors in a node's availability zone that
	// are its neighbors: the 1st, 2nd, 4th and so on, so that news crosses a zone in
	// a logarithmic number of steps.
	zoneSuccessors = 4
	// farSuccessors is the number of its neighbors in the ring of all members, at
	// equal distances.
	farSuccessors = 2
)

// isLarge reports whether the fleet has more than maxFullMesh members, or will have when the
// listed nodes have started. A node of a starting fleet would otherwise connect to each member
// that it knows, up to maxFullMesh, and close most of these connections later.
func (l *List) isLarge(ctx context.Context) bool {
	return len(l.View().Members) > maxFullMesh || l.Seeds != nil && len(l.Seeds(ctx)) >= maxFullMesh
}

// neighbors returns the members that a node probes: all others in a small fleet,
// and otherwise some successors in two rings in the order of the hashed
// identifiers, one of the node's availability zone and one of all members. Each
// member is then probed by as many nodes as it probes itself.
func neighbors(self ident.NodeID, members []Member, isLarge bool) []Member {
	others := func() []Member {
		return slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.ID == self })
	}
	if !isLarge {
		return others()
	}
	ring := slices.Clone(members)
	slices.SortFunc(ring, func(a, b Member) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(string(a.ID)), xxhash.Sum64String(string(b.ID))), cmp.Compare(a.ID, b.ID))
	})
	at := slices.IndexFunc(ring, func(m Member) bool { return m.ID == self })
	if at < 0 {
		return others()
	}
	chosen := map[ident.NodeID]Member{}
	for i := range farSuccessors {
		m := ring[(at+1+i*len(ring)/farSuccessors)%len(ring)]
		chosen[m.ID] = m
	}
	zone := slices.DeleteFunc(slices.Clone(ring), func(m Member) bool { return m.Zone != ring[at].Zone })
	at = slices.IndexFunc(zone, func(m Member) bool { return m.ID == self })
	for i := range zoneSuccessors {
		m := zone[(at+1<<i)%len(zone)]
		chosen[m.ID] = m
	}
	delete(chosen, self)
	result := make([]Member, 0, len(chosen))
	for _, m := range chosen {
		result = append(result, m)
	}
	return result
}

// Neighbors returns the members that this node probes, none of them suspect, in
// random order. What it tells them spreads to the others by gossip.
func (l *List) Neighbors(ctx context.Context) []Member {
	list := slices.DeleteFunc(neighbors(l.self.ID, l.View().Members, l.isLarge(ctx)), func(m Member) bool { return m.Suspect })
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}
