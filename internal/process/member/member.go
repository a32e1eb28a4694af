// Package member tracks which nodes of the scheduler are alive, without a
// coordination service.
//
// Each node probes the others, or in a larger fleet its neighbors, in turn. When a probe fails, the node requests
// indirect probes from a few other nodes, then suspects the target, and declares
// it dead after SuspicionTimeout. Updates are piggybacked on probes and their
// responses, a bounded number per message, and from time to time two nodes
// exchange their full lists. A suspected node refutes the suspicion by raising
// its incarnation. The platform's list of instances lags and is used only for
// discovery: a listed node that does not respond is never counted as alive.
//
// The protocol is SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent
// Infection-style Process Group Membership Protocol", DSN 2002).
//
// # Usage
//
//	list := &member.List{Probe: probe, IndirectProbe: indirectProbe, Sync: sync, Seeds: seeds}
//	list.Start(self)
//	go list.Run(ctx)
//	owner, ok := list.View().Owner(region, "ekin/reports#0")
package member

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"goldcrestwick/internal/process/ident"
)

// State is a member's lifecycle state.
type State uint8

// The states. A member reports the first three itself, and Dead when it ends gracefully;
// otherwise the other members declare it dead.
const (
	Joining State = iota
	Ready
	Leaving
	Dead
)

// String returns the state in lower case. A member in a state above Dead, of a later build, lives
// and is not Ready.
func (s State) String() string {
	return [...]string{"joining", "ready", "leaving", "dead", "unknown"}[min(s, Dead+1)]
}

// Member is the membership entry of one node.
type Member struct {
	ID     ident.NodeID
	Region ident.Region
	Zone   ident.AvailabilityZone
	// PeerAddress and CallerAddress are IP addresses with ports.
	PeerAddress   string
	CallerAddress string
	State         State
	// Suspect is set when the member did not respond to probes, until it refutes the
	// suspicion.
	Suspect bool
	// Incarnation orders the updates about a member; only the member itself
	// raises it.
	Incarnation uint64
	// Settings is the settings version in force on the member.
	Settings ident.Version
	// Capacity is the processor time of the member's instance in thousandths of a
	// core; 0 means unknown.
	Capacity int
	// HasNoPath is set while the member cannot reach the endpoints. Other members serve
	// its requests; it may own cells.
	HasNoPath bool
	// IsClosing is set in the last part of Leaving, when the member refuses new requests that
	// may last longer than the member.
	IsClosing bool
}

// supersedes reports whether the update m replaces the entry old.
func (m Member) supersedes(old Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	return m.precedence() > old.precedence()
}

// completedBy returns the entry with the fields that it lacks and another entry of the same
// incarnation has. Both are of one entry of the member, which nodes of earlier builds pass on
// without the fields that they do not know.
func (m Member) completedBy(other Member) Member {
	if m.Incarnation != other.Incarnation {
		return m
	}
	m.Settings = cmp.Or(m.Settings, other.Settings)
	m.Capacity = cmp.Or(m.Capacity, other.Capacity)
	m.HasNoPath = m.HasNoPath || other.HasNoPath
	m.IsClosing = m.IsClosing || other.IsClosing
	return m
}

func (m Member) precedence() int {
	switch {
	case m.State == Dead:
		return 2
	case m.Suspect:
		return 1
	default:
		return 0
	}
}

// View is an immutable snapshot of all members that are not dead, ordered by
// identifier.
type View struct {
	Members []Member
	// ready and serving cache the results of Ready and Serving by region.
	ready, serving sync.Map
}

// Find returns a member by its identifier.
func (v *View) Find(id ident.NodeID) (Member, bool) {
	i, ok := slices.BinarySearchFunc(v.Members, id, func(m Member, id ident.NodeID) int {
		return cmp.Compare(m.ID, id)
	})
	if !ok {
		return Member{}, false
	}
	return v.Members[i], true
}

// Ready returns the members of a region that are ready; an empty region means all regions.
// The caller must not change the result.
func (v *View) Ready(region ident.Region) []Member {
	return v.cached(&v.ready, region, func() []Member {
		return v.filter(region, func(m *Member) bool { return m.State == Ready })
	})
}

// Serving returns the members of a region that serve callers and own cells: the ready ones, or
// those that leave while there are none, since nobody else is left when all nodes are stopped
// within seconds. Among these, the ones that are closing or suspect serve last. The caller must
// not change the result.
func (v *View) Serving(region ident.Region) []Member {
	return v.cached(&v.serving, region, func() []Member {
		serving := v.Ready(region)
		if len(serving) == 0 {
			serving = v.filter(region, func(m *Member) bool { return m.State == Leaving && !m.IsClosing && !m.Suspect })
		}
		if len(serving) == 0 {
			serving = v.filter(region, func(m *Member) bool { return m.State == Leaving })
		}
		return serving
	})
}

func (v *View) cached(cache *sync.Map, region ident.Region, find func() []Member) []Member {
	if known, ok := cache.Load(region); ok {
		return known.([]Member) //nolint:errcheck,revive // only this type is stored.
	}
	found := find()
	cache.Store(region, found)
	return found
}

// filter returns the members of a region that are selected; an empty region means all regions.
func (v *View) filter(region ident.Region, isSelected func(*Member) bool) []Member {
	found := make([]Member, 0, len(v.Members))
	for i := range v.Members {
		if m := &v.Members[i]; isSelected(m) && (region == "" || m.Region == region) {
			found = append(found, *m)
		}
	}
	return found
}

// Owner returns the ready member of a region with the highest score for a key
// (rendezvous hashing). When a member joins or leaves, only its own share of the
// keys changes owner. It returns false if the region has no ready member.
func (v *View) Owner(region ident.Region, key string) (Member, bool) {
	return Owner(v.Ready(region), key)
}

// Owner returns the member with the highest score for a key, or false if there are
// no members.
func Owner(members []Member, key string) (Member, bool) {
	var best Member
	var highest uint64
	found := false
	for _, m := range members {
		if score := Score(key, string(m.ID)); !found || score > highest {
			best, highest, found = m, score, true
		}
	}
	return best, found
}

// RankedByCapacity returns the members with at least half of the largest capacity
// before the others, each group sorted by descending score for a key. The load
// pattern behind it is a fleet of small nodes with a few large ones, where a small
// one falls behind if it serves hundreds of calls of other nodes a second.
func RankedByCapacity(members []Member, key string) []Member {
	largest := 0
	for _, m := range members {
		largest = max(largest, m.Capacity)
	}
	var large, small []Member
	for _, m := range members {
		if 2*m.Capacity >= largest {
			large = append(large, m)
		} else {
			small = append(small, m)
		}
	}
	return append(Ranked(large, key), Ranked(small, key)...)
}

// Ranked returns the members sorted by descending score for a key.
func Ranked(members []Member, key string) []Member {
	type place struct {
		score uint64
		index int
	}
	places := make([]place, len(members))
	for i := range members {
		places[i] = place{Score(key, string(members[i].ID)), i}
	}
	slices.SortFunc(places, func(a, b place) int { return cmp.Compare(b.score, a.score) })
	ranked := make([]Member, len(members))
	for i, p := range places {
		ranked[i] = members[p.index]
	}
	return ranked
}

// Score returns the rendezvous hashing weight of a member for a key.
func Score(key, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(key) //nolint:errcheck // xxhash never fails.
	d.Write([]byte{0}) //nolint:errcheck // xxhash never fails.
	d.WriteString(id)  //nolint:errcheck // xxhash never fails.
	return d.Sum64()
}

// The parameters of the protocol.
const (
	// ProbeInterval is the time between the probes that a node sends, each to another
	// member.
	ProbeInterval = 500 * time.Millisecond
	// ProbeTimeout bounds a direct probe. Indirect probes and exchanges of full lists
	// may take twice as long.
	ProbeTimeout = 400 * time.Millisecond
	// SuspicionTimeout is how long a suspected member can refute the suspicion
	// before it is declared dead.
	SuspicionTimeout = 2 * time.Second
	// SyncInterval is the time between exchanges of full lists of up to
	// fullRateSyncMembers members.
	SyncInterval = 15 * time.Second
	// fullRateSyncMembers is the number of members up to which a node syncs in
	// every SyncInterval.
	fullRateSyncMembers = 64
	// SeedInterval is the time between polls of the platform's list.
	SeedInterval = 5 * time.Second
	// fastSeedInterval replaces SeedInterval while less than half of the listed nodes
	// are known.
	fastSeedInterval = time.Second
	// maxSeeds bounds the listed nodes that one poll contacts: when all nodes of
	// a fleet start together, contacting all of them from each costs more than
	// the rounds of gossip that it saves.
	maxSeeds = 12
	// laterSeeds replaces maxSeeds in a node that knows more than enoughMembers
	// members.
	laterSeeds    = 2
	enoughMembers = 8
	// tombstoneTTL is how long dead members stay in the list, so that delayed
	// gossip does not bring them back.
	tombstoneTTL = 2 * time.Minute
	// indirectProbes is the number of members that probe an unresponsive one
	// indirectly.
	indirectProbes = 2
	// maxUpdates bounds the updates in a probe or its response, the sender's own
	// entry included.
	maxUpdates = 8
	// urgentFanOut is the number of neighbors to which a node passes on at once that
	// a member leaves or is dead, and urgentPause is the time between two such rounds.
	urgentFanOut = 2
	urgentPause  = 200 * time.Millisecond
	// transmitFactor times the bit length of the number of entries in the list (its
	// log2, rounded down, plus 1) bounds how many times a node transmits an update.
	transmitFactor = 3
)
