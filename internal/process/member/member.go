// Package member knows which nodes of the scheduler live, without any
// coordination service.
//
// Each node probes one other in turn; when that fails it asks a few more to
// probe in its place, then suspects the node, and after a while declares it
// dead. What changed travels with the probes and their answers, a bounded
// number of updates in each, and now and then two nodes exchange their whole
// lists. A node that hears itself suspected raises its incarnation and so
// clears its name. The platform's lagging list of instances only seeds the
// search: a node that is listed and does not answer is never counted live.
//
// The method is SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent
// Infection-style Process Group Membership Protocol", DSN 2002).
//
// # Usage
//
//	list := &member.List{Probe: probe, IndirectProbe: indirectProbe, Sync: sync}
//	list.Start(self)
//	go list.Run(ctx, seeds)
//	owner, ok := list.View().Owner(region, "ekin/reports#0")
package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"goldcrestwick/internal/request/ident"
)

// State is a member's stage of life.
type State uint8

// The states. A member declares the first three of itself; the others find
// the last.
const (
	Joining State = iota
	Ready
	Leaving
	Dead
)

// String returns the state in lower case.
func (s State) String() string {
	return [...]string{"joining", "ready", "leaving", "dead"}[min(s, Dead)]
}

// Member is one node as the others know it.
type Member struct {
	ID     ident.NodeID
	Region ident.Region
	Zone   ident.AvailabilityZone
	// PeerAddress and CallerAddress are IP addresses with ports.
	PeerAddress   string
	CallerAddress string
	State         State
	// Suspect is set while the member does not answer.
	Suspect bool
	// Incarnation orders what is said of a member; only the member raises it.
	Incarnation uint64
	// Settings is the settings version in force on the member.
	Settings ident.Version
}

// supersedes reports whether what m says replaces what old says.
func (m Member) supersedes(old Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	return m.gravity() > old.gravity()
}

func (m Member) gravity() int {
	switch {
	case m.State == Dead:
		return 2
	case m.Suspect:
		return 1
	default:
		return 0
	}
}

// View is an immutable picture of all members that are not dead, ordered by
// identifier.
type View struct {
	Members []Member
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

// Ready returns the members of a region that take new work; an empty region
// means all regions.
func (v *View) Ready(region ident.Region) []Member {
	var ready []Member
	for _, m := range v.Members {
		if m.State == Ready && (region == "" || m.Region == region) {
			ready = append(ready, m)
		}
	}
	return ready
}

// Owner returns the ready member of a region that is first for a key by
// rendezvous hashing, so that a member that comes or goes moves only its own
// share of the keys.
func (v *View) Owner(region ident.Region, key string) (Member, bool) {
	return Owner(v.Ready(region), key)
}

// Owner returns the first of some members for a key by rendezvous hashing.
func Owner(members []Member, key string) (Member, bool) {
	var best Member
	var most uint64
	found := false
	for _, m := range members {
		if score := Score(key, string(m.ID)); !found || score > most {
			best, most, found = m, score, true
		}
	}
	return best, found
}

// Ranked returns members in the order of rendezvous hashing for a key.
func Ranked(members []Member, key string) []Member {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b Member) int {
		return cmp.Compare(Score(key, string(b.ID)), Score(key, string(a.ID)))
	})
	return ranked
}

// Score is the rendezvous weight of a member for a key.
func Score(key, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(key) //nolint:errcheck // xxhash never fails.
	d.Write([]byte{0}) //nolint:errcheck // xxhash never fails.
	d.WriteString(id)  //nolint:errcheck // xxhash never fails.
	return d.Sum64()
}

// The times of the protocol.
const (
	ProbeInterval = 500 * time.Millisecond
	ProbeTimeout  = 400 * time.Millisecond
	// SuspectTime is how long a suspect can clear its name.
	SuspectTime = 2 * time.Second
	// SyncInterval is the time between exchanges of short whole lists.
	SyncInterval = 15 * time.Second
	// syncMembers is the length of list up to which every interval counts.
	syncMembers = 64
	// SeedInterval is the time between looks at the platform's list.
	SeedInterval = 5 * time.Second
	// seedsAtOnce bounds the listed nodes that one look contacts: when all nodes
	// of a fleet start together, contacts between all of them cost more than the
	// rounds of gossip that they save.
	seedsAtOnce = 12
	// tombstoneTime keeps the dead in mind, so that late gossip does not
	// bring them back.
	tombstoneTime  = 2 * time.Minute
	indirectProbes = 2
	// maxUpdates bounds the gossip in one message.
	maxUpdates = 8
	// spreadFactor times log2 of the number of members is how often an update
	// is passed on.
	spreadFactor = 3
)
