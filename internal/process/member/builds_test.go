package member

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestRelayedByEarlierBuild guards against a member that raises its incarnation with each message
// of a node of an earlier build, which passes its entry on without the fields that it does not
// know: the views of all nodes would change without end.
func TestRelayedByEarlierBuild(t *testing.T) {
	l := &List{}
	self := Member{ID: "a", State: Ready, Incarnation: 5, Capacity: 400, HasNoPath: true}
	l.Start(self)
	changes := 0
	l.Changed = func(*View) { changes++ }
	relayed := self
	relayed.Capacity, relayed.HasNoPath = 0, false
	for range 3 {
		l.Merge([]Member{{ID: "b", State: Ready, Incarnation: 1}, relayed})
	}
	qt.Check(t, l.Self(), qt.Equals, self)
	qt.Check(t, changes, qt.Equals, 1)

	// What others may say of it by themselves is refuted.
	for _, change := range []func(*Member){
		func(m *Member) { m.Suspect = true },
		func(m *Member) { m.State = Dead },
		func(m *Member) { m.Incarnation++ },
	} {
		said := l.Self()
		change(&said)
		l.Merge([]Member{said})
		qt.Check(t, l.Self().Incarnation, qt.Equals, said.Incarnation+1)
	}
}

// TestUnknownState guards against a member in a state of a later build that is taken for dead, and
// passed on as dead to nodes that know the state.
func TestUnknownState(t *testing.T) {
	l := &List{}
	l.Start(Member{ID: "a", State: Ready, Incarnation: 1})
	later := Member{ID: "b", State: Dead + 1, Incarnation: 1}
	l.Merge([]Member{later})
	qt.Check(t, l.View().Members, qt.HasLen, 2)
	qt.Check(t, l.View().Ready(""), qt.HasLen, 1)
	qt.Check(t, l.All(), qt.Contains, later)
	qt.Check(t, later.State.String(), qt.Equals, "unknown")
}

// TestFieldsLostInRelay guards against members that are known for good without their capacity or
// the loss of their path, since a node of an earlier build passed their entry on first: nodes
// would choose different owners.
func TestFieldsLostInRelay(t *testing.T) {
	l := &List{}
	l.Start(Member{ID: "a", State: Ready, Incarnation: 1})
	whole := Member{ID: "b", State: Ready, Incarnation: 5, Settings: 3, Capacity: 400, HasNoPath: true, IsClosing: true}
	relayed := Member{ID: "b", State: Ready, Incarnation: 5}
	for _, update := range []Member{relayed, whole, relayed} {
		l.Merge([]Member{update})
	}
	known, _ := l.View().Find("b")
	qt.Check(t, known, qt.Equals, whole)
	suspected := relayed
	suspected.Suspect = true
	l.Merge([]Member{suspected})
	l.Merge([]Member{whole})
	known, _ = l.View().Find("b")
	qt.Check(t, known.Suspect, qt.IsTrue)
	qt.Check(t, known.Capacity, qt.Equals, 400)
}
