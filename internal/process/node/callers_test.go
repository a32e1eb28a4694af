package node

import (
	"context"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/connection/front"
	"goldcrestwick/internal/process/member"
	"goldcrestwick/internal/request/ident"
	"goldcrestwick/internal/request/refuse"
	"goldcrestwick/internal/version/config"
)

const (
	nodes = 9
	zones = 3
)

// withMembers returns a node that sees so many ready members, but for those
// that are gone.
func withMembers(t *testing.T, tree *config.Tree, gone func(int) bool) *Node {
	n := &Node{Tree: tree, Process: config.Process{Name: "n0", Zone: "z0", Region: "r"}}
	n.tree.Store(tree)
	n.members.Start(member.Member{ID: "n0", Region: "r", Zone: "z0", State: member.Ready, CallerAddress: "a0"})
	var others []member.Member
	for i := 1; i < nodes; i++ {
		if !gone(i) {
			others = append(others, member.Member{
				ID: ident.NodeID(fmt.Sprint("n", i)), Region: "r", Zone: ident.AvailabilityZone(fmt.Sprint("z", i%zones)),
				State: member.Ready, CallerAddress: fmt.Sprint("a", i),
			})
		}
	}
	n.members.Merge(others)
	qt.Assert(t, n.isReady(), qt.IsTrue)
	return n
}

func accountsTree(t *testing.T, accounts int) *config.Tree {
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

// TestAddresses checks how accounts are spread: the largest over all nodes,
// each over two zones or more with the caller's own first, and that a node
// that goes changes the answer of no account that did not use it.
func TestAddresses(t *testing.T) {
	tree := accountsTree(t, 60)
	full := withMembers(t, tree, func(int) bool { return false })
	less := withMembers(t, tree, func(i int) bool { return i == 4 })
	perNode := map[ident.NodeID]int{}
	for i, account := range tree.Teams[0].Accounts {
		list := full.addresses(account, "z1")
		seen, inZone := map[ident.AvailabilityZone]bool{}, true
		used := map[ident.NodeID]bool{}
		for _, a := range list {
			qt.Assert(t, a.Zone == "z1" && !inZone, qt.IsFalse, qt.Commentf("the own zone comes first: %v", list))
			inZone = a.Zone == "z1"
			seen[a.Zone] = true
			used[a.Node] = true
			perNode[a.Node]++
		}
		qt.Assert(t, len(seen) >= 2, qt.IsTrue)
		if i == 0 {
			qt.Assert(t, list, qt.HasLen, nodes)
		}
		moved := 0
		for _, a := range less.addresses(account, "z1") {
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
	// 60 accounts with 3 addresses and one with 9 give about 21 each; twice
	// that on one node would overload it.
	for id, n := range perNode {
		qt.Assert(t, n < 2*(59*minAddresses+nodes)/nodes, qt.IsTrue, qt.Commentf("%s has %d", id, n))
	}
	qt.Assert(t, perNode, qt.HasLen, nodes)
}

// TestResumeTokens checks that a token cannot be made or changed without the
// key, nor used by another account.
func TestResumeTokens(t *testing.T) {
	n := withMembers(t, accountsTree(t, 2), func(int) bool { return false })
	n.resumeKey = []byte("key")
	text := n.resumeToken(front.ResumePoint{Account: "team/a0", Request: "r1"})
	got, ok := n.readToken(text)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, got.Request, qt.Equals, "r1")
	for i := range text {
		changed := []byte(text)
		changed[i] ^= 1
		_, ok := n.readToken(string(changed))
		qt.Assert(t, ok && string(changed) != text, qt.IsFalse)
	}
	qt.Assert(t, n.resume(context.Background(), "team/a1", text, 0, nil).Reason, qt.Equals, refuse.BadResume)
}
