package member

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/process/ident"
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
	_, ok := l.nextTarget(l.isLarge(t.Context()))
	qt.Assert(t, ok, qt.IsTrue)
	l.Merge(fleetOf(180))
	probed := map[ident.NodeID]bool{}
	for range 2 * maxFullMesh {
		m, _ := l.nextTarget(l.isLarge(t.Context()))
		probed[m.ID] = true
	}
	qt.Check(t, len(probed) <= zoneSuccessors+farSuccessors, qt.IsTrue, qt.Commentf("%d members", len(probed)))
}

// TestNeighborsOfStartingFleet guards against a node that connects to every member that it
// knows while most nodes of a large fleet are still starting.
func TestNeighborsOfStartingFleet(t *testing.T) {
	l := &List{Seeds: func(context.Context) []Member { return fleetOf(40) }}
	l.Start(Member{ID: "self", Region: "r", State: Ready, Incarnation: 1})
	l.Merge(fleetOf(20))
	qt.Check(t, len(l.Neighbors(t.Context())) <= zoneSuccessors+farSuccessors, qt.IsTrue)
	l.Seeds = func(context.Context) []Member { return fleetOf(maxFullMesh - 1) }
	qt.Check(t, l.Neighbors(t.Context()), qt.HasLen, 20)
}

// A message that came before Start made Merge panic with the list locked, and the link's
// handler recovered from it: the node then never started.
func TestMessageBeforeStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var l List
		received := Member{ID: "b", State: Ready, Incarnation: 1}
		qt.Check(t, l.Merge([]Member{received}), qt.HasLen, 0)
		qt.Check(t, l.All(), qt.HasLen, 0)
		l.Start(Member{ID: "a", State: Joining, Incarnation: 1})
		l.Merge([]Member{received})
		qt.Check(t, l.View().Members, qt.HasLen, 2)
	})
}
