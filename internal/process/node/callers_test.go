package node

import (
	"context"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/connection/front"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/member"
	"goldcrestwick/internal/request/refuse"
	"goldcrestwick/internal/version/config"
)

const (
	memberCount = 9
	zoneCount   = 3
)

// newNodeWithMembers returns the ready node n0 whose view has the other members,
// without those for which isGone returns true.
func newNodeWithMembers(t *testing.T, tree *config.Tree, isGone func(int) bool) *Node {
	n := &Node{Tree: tree, Process: config.Process{Name: "n0", Zone: "z0", Region: "r"}}
	n.tree.Store(tree)
	n.members.Start(member.Member{ID: "n0", Region: "r", Zone: "z0", State: member.Ready, CallerAddress: "a0"})
	var others []member.Member
	for i := 1; i < memberCount; i++ {
		if !isGone(i) {
			others = append(others, member.Member{
				ID: ident.NodeID(fmt.Sprint("n", i)), Region: "r", Zone: ident.AvailabilityZone(fmt.Sprint("z", i%zoneCount)),
				State: member.Ready, CallerAddress: fmt.Sprint("a", i),
			})
		}
	}
	n.members.Merge(others)
	qt.Assert(t, n.isReady(), qt.IsTrue)
	return n
}

func treeWithAccounts(t *testing.T, accounts int) *config.Tree {
	text := "[tier.top]\nrank = 0\n"
	for i := range accounts {
		weight := 1
		if i == 0 {
			weight = accounts
		}
		text += fmt.Sprintf("[account.a%d]\nkey_sha256 = %064x\ntier = top\nweight = %d\n", i, i+1, weight)
	}
	tree, err := config.Parse(map[string][]byte{"root.ini": []byte("[fleet]\nregion = r\n"), "teams/team.ini": []byte(text)}, 1)
	qt.Assert(t, err, qt.IsNil)
	return tree
}

// TestAddresses checks how accounts are distributed: the largest account uses all
// nodes, each account uses at least two zones with the caller's own first, and the
// loss of a node changes the addresses only of accounts that used it.
func TestAddresses(t *testing.T) {
	tree := treeWithAccounts(t, 60)
	complete := newNodeWithMembers(t, tree, func(int) bool { return false })
	withoutN4 := newNodeWithMembers(t, tree, func(i int) bool { return i == 4 })
	perNode := map[ident.NodeID]int{}
	for i, account := range tree.Teams[0].Accounts {
		list := complete.addresses(account, "z1")
		zones, inZone := map[ident.AvailabilityZone]bool{}, true
		used := map[ident.NodeID]bool{}
		for _, a := range list {
			qt.Assert(t, a.Zone == "z1" && !inZone, qt.IsFalse, qt.Commentf("addresses in the caller's zone must come first: %v", list))
			inZone = a.Zone == "z1"
			zones[a.Zone] = true
			used[a.Node] = true
			perNode[a.Node]++
		}
		qt.Assert(t, len(zones) >= 2, qt.IsTrue)
		if i == 0 {
			qt.Assert(t, list, qt.HasLen, memberCount)
		}
		moved := 0
		for _, a := range withoutN4.addresses(account, "z1") {
			if !used[a.Node] {
				moved++
			}
		}
		allowed := 0
		if used["n4"] {
			allowed = 1
		}
		qt.Assert(t, moved <= allowed, qt.IsTrue, qt.Commentf("%s: %d addresses changed", account.ID, moved))
	}
	// 59 accounts with 3 addresses and one with 9 make about 21 per node. Twice
	// that on one node would overload it.
	for id, n := range perNode {
		qt.Assert(t, n < 2*(59*minAddresses+memberCount)/memberCount, qt.IsTrue, qt.Commentf("%s has %d addresses", id, n))
	}
	qt.Assert(t, perNode, qt.HasLen, memberCount)
}

// TestResumeTokens checks that a resume token cannot be created or modified without
// the key, nor used by another account.
func TestResumeTokens(t *testing.T) {
	n := newNodeWithMembers(t, treeWithAccounts(t, 2), func(int) bool { return false })
	n.resumeKey = []byte("key")
	text := n.newResumeToken(front.ResumePoint{Account: "team/a0", Request: "r1"})
	got, ok := n.parseResumeToken(text)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, got.Request, qt.Equals, "r1")
	for i := range text {
		changed := []byte(text)
		changed[i] ^= 1
		_, ok := n.parseResumeToken(string(changed))
		qt.Assert(t, ok && string(changed) != text, qt.IsFalse)
	}
	qt.Assert(t, n.resume(context.Background(), "team/a1", text, 0, nil).Reason, qt.Equals, refuse.BadResumeToken)
}
