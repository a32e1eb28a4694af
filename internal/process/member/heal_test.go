package member

import (
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/process/ident"
)

// TestHealedNodeIsTold replays the messages that leave a healed node and its only contact with
// 2 of 12 members. During the partition n00 has declared all others dead. After it, n01 exchanges
// full lists with n00, and so takes all others for dead as well. The two then probe only each
// other, which uses up the transmissions of these updates before any other node probes n01. The
// others go on to probe n01, and have to hear from it that they are dead: until they refute it,
// n01 ignores them.
func TestHealedNodeIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var all []*List
		for i := range fleetSize {
			l := &List{}
			l.Start(Member{ID: ident.NodeID(nodeName(i)), State: Ready, Incarnation: 1})
			all = append(all, l)
		}
		dead := func(l *List) Member {
			m := l.Self()
			m.State = Dead
			return m
		}
		for _, l := range all {
			for _, other := range all {
				l.Merge([]Member{other.Self()})
				if l != other && (l == all[0] || other == all[0]) {
					l.Merge([]Member{dead(other)})
				}
			}
		}
		n00, n01 := all[0], all[1]
		qt.Assert(t, n00.View().Members, qt.HasLen, 1)
		qt.Assert(t, n01.View().Members, qt.HasLen, fleetSize-1)

		n00.Merge(n01.All())
		n01.Merge(n00.All())
		for range 20 {
			probeOnce(n01, n00)
			probeOnce(n00, n01)
		}
		qt.Assert(t, n00.View().Members, qt.HasLen, 2)
		qt.Assert(t, n01.View().Members, qt.HasLen, 2)

		for range 2 {
			for _, l := range all[2:] {
				probeOnce(l, n01)
				probeOnce(n01, n00)
			}
		}
		qt.Check(t, n00.View().Members, qt.HasLen, fleetSize)
		qt.Check(t, n01.View().Members, qt.HasLen, fleetSize)
	})
}

// probeOnce exchanges one probe and its response.
func probeOnce(from, to *List) {
	from.mu.Lock()
	updates := from.nextUpdates()
	from.mu.Unlock()
	from.Merge(to.Merge(updates))
}

// listWithDeadSender returns a list of 40 other members, one of which is dead there, with that
// one's own entry and the entry in the list.
func listWithDeadSender() (l *List, sender, dead Member) {
	l = &List{}
	l.Start(Member{ID: "self", State: Ready, Incarnation: 1})
	members := fleetOf(40)
	l.Merge(members)
	sender = members[3]
	dead = sender
	dead.State = Dead
	l.Merge([]Member{dead})
	return l, sender, dead
}

// TestCorrectionKeepsToLimit checks that the response to a sender that is dead here has its
// entry, and no more entries than any other response.
func TestCorrectionKeepsToLimit(t *testing.T) {
	l, sender, dead := listWithDeadSender()
	for range 100 {
		reply := l.Merge([]Member{sender})
		qt.Assert(t, reply, qt.Contains, dead)
		qt.Assert(t, len(reply) <= maxUpdates, qt.IsTrue, qt.Commentf("%d entries", len(reply)))
		qt.Assert(t, reply[0].ID, qt.Equals, ident.NodeID("self"))
	}
}

// TestCorrectionDropsNoUpdate guards against entries that count as transmitted although the entry
// about the sender took their place in the response.
func TestCorrectionDropsNoUpdate(t *testing.T) {
	l, sender, _ := listWithDeadSender()
	for range 100 {
		before := map[ident.NodeID]int{}
		for id, r := range l.all {
			before[id] = r.transmits
		}
		sent := map[ident.NodeID]bool{}
		for _, m := range l.Merge([]Member{sender}) {
			sent[m.ID] = true
		}
		for id, r := range l.all {
			qt.Assert(t, r.transmits > before[id] && !sent[id], qt.IsFalse, qt.Commentf("%s", id))
		}
	}
}
