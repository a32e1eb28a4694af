// Package fanout decides which nodes read the store's tables for the fleet, and
// from whom a node takes the changes.
//
// Each call to the store costs the platform something, and the store has a limit of
// calls for the whole fleet. In a small fleet every node reads the tables itself. In
// a larger one, one node of each availability zone reads them and hands the changes
// to the other nodes of its zone. A node whose reader is silent, or has not read
// the store for a while, turns to the readers of other zones and, if those do not
// help, reads the store itself for some time.
//
// The load pattern behind it is a fleet that grows: the calls to the store follow
// the number of zones and not that of nodes.
//
// # Usage
//
//	readers := fanout.Readers(view, region)
//	reader, ok := source.Next(self, readers, now)
//	switch {
//	case !ok: // read the store
//	default: // follow the reader; if it fails:
//		source.Failed(reader.ID, now)
//	}
package fanout

import (
	"time"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/member"
)

const (
	// MinFleet is the number of ready nodes in a region from which on only some of
	// them read the store. Smaller fleets make few calls, and gain more from having
	// every node see the store's changes itself.
	MinFleet = 24
	// retryFailed is how long a reader that failed is not tried again.
	retryFailed = 4 * time.Second
	// maxFailures is the number of readers that may fail within retryFailed before
	// the node reads the store itself: one reader can be frozen or cut off, but if
	// two are, the node's own way to the store is the surer one.
	maxFailures = 2
	// readerKey is the key of the rendezvous hashing among the nodes of a zone.
	readerKey = "store_readers"
)

// Readers returns the nodes of a region that read the store for the others: one of
// each availability zone, with the largest capacity there.
// It returns nil if the region has fewer than MinFleet ready nodes, so that every
// node reads the store.
func Readers(v *member.View, region ident.Region) []member.Member { return Choose(v.Ready(region)) }

// Choose returns the nodes that read the store for the others among the given nodes of a
// region, none of which leaves. It returns nil if there are fewer than MinFleet.
func Choose(ready []member.Member) []member.Member {
	if len(ready) < MinFleet {
		return nil
	}
	byZone := map[ident.AvailabilityZone]member.Member{}
	var zones []ident.AvailabilityZone
	for _, m := range ready {
		if m.Suspect {
			continue
		}
		best, ok := byZone[m.Zone]
		if !ok {
			zones = append(zones, m.Zone)
		}
		if !ok || isPreferred(m, best) {
			byZone[m.Zone] = m
		}
	}
	readers := make([]member.Member, len(zones))
	for i, zone := range zones {
		readers[i] = byZone[zone]
	}
	return readers
}

// isPreferred reports whether m is a better reader than other: it has more capacity
// or, with the same capacity, a higher score.
func isPreferred(m, other member.Member) bool {
	if m.Capacity != other.Capacity {
		return m.Capacity > other.Capacity
	}
	return Score(m.ID) > Score(other.ID)
}

// Score returns the rank of a node among the possible readers with the same capacity; a higher
// one is preferred.
func Score(id ident.NodeID) uint64 { return member.Score(readerKey, string(id)) }

// Source chooses where one node gets the store's changes. The zero value is ready
// for use. It is not safe for concurrent use.
type Source struct {
	// failedAt holds when each reader last failed.
	failedAt map[ident.NodeID]time.Time
}

// Next returns the reader to follow. It returns false if the node reads the store
// itself: because it is a reader, because there are none, or because maxFailures of
// them have failed lately. The reader of the node's own zone goes first.
func (s *Source) Next(self member.Member, readers []member.Member, now time.Time) (reader member.Member, ok bool) {
	for id, at := range s.failedAt {
		if now.Sub(at) >= retryFailed {
			delete(s.failedAt, id)
		}
	}
	if len(s.failedAt) >= maxFailures {
		return member.Member{}, false
	}
	var others []member.Member
	for _, r := range readers {
		_, hasFailed := s.failedAt[r.ID]
		switch {
		case r.ID == self.ID:
			return member.Member{}, false
		case hasFailed:
		case r.Zone == self.Zone:
			return r, true
		default:
			others = append(others, r)
		}
	}
	return member.Owner(others, string(self.ID))
}

// Failed records that a reader did not answer, does not read the store, or has not
// been able to read it.
func (s *Source) Failed(id ident.NodeID, now time.Time) {
	if s.failedAt == nil {
		s.failedAt = map[ident.NodeID]time.Time{}
	}
	s.failedAt[id] = now
}
