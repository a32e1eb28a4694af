package member

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/request/ident"
)

// fleetOf returns the entries of a number of ready members.
func fleetOf(count int) []Member {
	var members []Member
	for i := range count {
		members = append(members, Member{ID: ident.NodeID(fmt.Sprintf("m%03d", i)), Region: "r", State: Ready, Incarnation: 1})
	}
	return members
}

// TestLeavingDelayedByStart checks that the entry of a leaving member is sent as often as
// any, though hundreds of entries of the fleet's start are still to be sent.
func TestLeavingDelayedByStart(t *testing.T) {
	l := &List{}
	l.Start(Member{ID: "self", Region: "r", State: Ready, Incarnation: 1})
	members := fleetOf(180)
	l.Merge(members)
	leaving := members[7]
	leaving.State, leaving.Incarnation = Leaving, 2
	l.Merge([]Member{leaving})
	// Merge has sent it once, with its reply.
	for i := range 20 {
		l.mu.Lock()
		sent := l.nextUpdates()
		l.mu.Unlock()
		qt.Assert(t, sent, qt.Contains, leaving, qt.Commentf("transmission %d", i+2))
	}
}

// TestRoundOfSmallFleetGoesOn checks that a node which began a round of probes when it knew
// few members probes only its neighbors once it knows many.
func TestRoundOfSmallFleetGoesOn(t *testing.T) {
	l := &List{}
	l.Start(Member{ID: "self", Region: "r", State: Ready, Incarnation: 1})
	l.Merge(fleetOf(maxFullMesh - 2))
	_, ok := l.nextTarget()
	qt.Assert(t, ok, qt.IsTrue)
	l.Merge(fleetOf(180))
	probed := map[ident.NodeID]bool{}
	for range 2 * maxFullMesh {
		m, _ := l.nextTarget()
		probed[m.ID] = true
	}
	qt.Check(t, len(probed) <= zoneSuccessors+farSuccessors, qt.IsTrue, qt.Commentf("%d members", len(probed)))
}
