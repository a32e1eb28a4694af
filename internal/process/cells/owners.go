package cells

import (
	"slices"
	"sync"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/member"
	"goldcrestwick/internal/process/roster"
	"goldcrestwick/internal/process/sched"
)

// maxPreferred bounds the nodes in a preference list: a cell's owner and its standby
// nodes.
const maxPreferred = 4

// ownerTable caches the preference lists of the cells for one view of the members
// and of the endpoints, since every grant request needs one.
type ownerTable struct {
	members *member.View
	roster  *roster.View
	// candidates holds the members that can own cells.
	candidates []member.Member

	mu    sync.Mutex
	lists map[ident.CellID][]member.Member
}

// PreferenceList returns the first nodes in the order in which requesters try
// them for a cell: its owner, then the standby nodes.
func (m *Manager) PreferenceList(id ident.CellID) []member.Member {
	self := m.Self()
	if m.Policy != sched.Fair {
		return []member.Member{self}
	}
	members, endpoints := m.Members(), m.Roster()
	t := m.owners.Load()
	if t == nil || t.members != members || t.roster != endpoints {
		t = &ownerTable{
			members: members, roster: endpoints, candidates: candidates(members, self.Region), lists: map[ident.CellID][]member.Member{},
		}
		m.owners.Store(t)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	list, ok := t.lists[id]
	if !ok {
		list = preferenceList(t.candidates, id, endpoints.Zone(id))
		t.lists[id] = list
	}
	return list
}

// Owner returns the node that runs a cell according to this node's view.
func (m *Manager) Owner(id ident.CellID) (member.Member, bool) {
	list := m.PreferenceList(id)
	if len(list) == 0 {
		return member.Member{}, false
	}
	return list[0], true
}

// candidates returns the members of a region that can own cells: those that serve and,
// while most members are still joining, those as well. The load pattern behind it is
// a fleet that starts at once: its first ready nodes would own every cell, one after
// the other, and ask all members for each of them.
func candidates(v *member.View, region ident.Region) []member.Member {
	serving := v.Serving(region)
	var joining []member.Member
	for _, m := range v.Members {
		if m.State == member.Joining && (region == "" || m.Region == region) {
			joining = append(joining, m)
		}
	}
	if len(joining) <= len(serving) {
		return serving
	}
	return slices.Concat(serving, joining)
}

// preferenceList ranks the nodes for a cell. Nodes of the cell's availability zone,
// if it has one, go before the others, because each grant takes two messages between
// the cell's node and an entry node, which mostly is in that zone. Within a zone,
// nodes with much capacity go first.
func preferenceList(candidates []member.Member, id ident.CellID, zone ident.AvailabilityZone) []member.Member {
	key, list := id.String(), make([]member.Member, 0, maxPreferred)
	for _, isOwnZone := range []bool{true, false} {
		isInGroup := func(n *member.Member) bool { return (zone == "" || n.Zone == zone) == isOwnZone }
		largest := 0
		for i := range candidates {
			if isInGroup(&candidates[i]) {
				largest = max(largest, candidates[i].Capacity)
			}
		}
		for _, isLarge := range []bool{true, false} {
			list = appendBest(list, candidates, key, func(n *member.Member) bool {
				return isInGroup(n) && (2*n.Capacity >= largest) == isLarge
			})
			if len(list) == maxPreferred {
				return list
			}
		}
	}
	return list
}

// appendBest appends the selected members with the highest scores for a key to a list, up to its
// maxPreferred-th place. A node ranks each cell of a fleet after each change of its view, so that
// sorting all members would be most of what a large fleet does while it starts.
func appendBest(list, members []member.Member, key string, isSelected func(*member.Member) bool) []member.Member {
	first, scores := len(list), [maxPreferred]uint64{}
	for i := range members {
		if !isSelected(&members[i]) {
			continue
		}
		score := member.Score(key, string(members[i].ID))
		at := len(list)
		for at > first && score > scores[at-1] {
			at--
		}
		if at == maxPreferred {
			continue
		}
		if len(list) < maxPreferred {
			list = append(list, member.Member{})
		}
		copy(list[at+1:], list[at:])
		copy(scores[at+1:], scores[at:])
		list[at], scores[at] = members[i], score
	}
	return list
}

func (m *Manager) notifyOwnership(id ident.CellID, isOwner bool) {
	if m.OwnershipChanged != nil {
		m.OwnershipChanged(id, isOwner)
	}
}
