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
