package fanout

import (
	"fmt"
	"iter"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/member"
	"goldcrestwick/internal/stand/script"
)

// TestScripts runs scripts of a fleet whose nodes are named ZONE-NUMBER:
//
//	nodes ZONE COUNT CAPACITY     adds ready nodes
//	leave|suspect|restore NAME... changes nodes' states
//	readers NAME...               checks the readers
//	source NAME|store             checks where the node under test reads
//	self NAME                     chooses the node under test
//	fail NAME...                  the node under test finds that readers have failed
//	wait T
func TestScripts(t *testing.T) { script.Run(t, "testdata/*.script", runScript) }

func runScript(t *testing.T, lines iter.Seq[script.Line]) {
	view := &member.View{}
	var self member.Member
	source := &Source{}
	now := time.Unix(1000, 0)
	for line := range lines {
		at := qt.Commentf(line.Position)
		// A view does not change.
		view = &member.View{Members: slices.Clone(view.Members)}
		setMembers := func(change func(*member.Member)) {
			for _, name := range line.Args {
				i := slices.IndexFunc(view.Members, func(m member.Member) bool { return string(m.ID) == name })
				qt.Assert(t, i >= 0, qt.IsTrue, at)
				change(&view.Members[i])
			}
		}
		switch line.Command {
		case "nodes":
			for i := range line.ParseInt(line.Args[1]) {
				view.Members = append(view.Members, member.Member{
					ID: ident.NodeID(fmt.Sprintf("%s-%02d", line.Args[0], i)), Zone: ident.AvailabilityZone(line.Args[0]),
					State: member.Ready, Capacity: line.ParseInt(line.Args[2]),
				})
			}
			slices.SortFunc(view.Members, func(a, b member.Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
		case "leave":
			setMembers(func(m *member.Member) { m.State = member.Leaving })
		case "suspect":
			setMembers(func(m *member.Member) { m.Suspect = true })
		case "restore":
			setMembers(func(m *member.Member) { m.State, m.Suspect = member.Ready, false })
		case "self":
			self, _ = view.Find(ident.NodeID(line.Args[0]))
			source = &Source{}
		case "readers":
			var names []string
			for _, r := range Readers(view, "") {
				names = append(names, string(r.ID))
			}
			qt.Check(t, strings.Join(names, " "), qt.Equals, strings.Join(line.Args, " "), at)
		case "source":
			got := "store"
			if r, ok := source.Next(self, Readers(view, ""), now); ok {
				got = string(r.ID)
			}
			qt.Check(t, got, qt.Equals, line.Args[0], at)
		case "fail":
			for _, name := range line.Args {
				source.Failed(ident.NodeID(name), now)
			}
		case "wait":
			now = now.Add(line.ParseDuration(line.Args[0]))
		default:
			t.Fatalf("%s: unknown command %s", line.Position, line.Command)
		}
	}
}
