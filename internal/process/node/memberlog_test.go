package node

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/member"
)

// TestMemberLog guards against a log that grows with the fleet: the first 16 changes of a second
// are logged one by one, and the others are counted in one line, none of them lost.
func TestMemberLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		n := &Node{Log: log.New(&out)}
		show := func(state member.State, from, to int) {
			v := &member.View{}
			for i := from; i < to; i++ {
				v.Members = append(v.Members, member.Member{ID: ident.NodeID(fmt.Sprintf("n%03d", i)), State: state})
			}
			n.logMembers(v)
		}
		count := func(line string) int { return strings.Count(out.String(), line) }
		summarize := func() {
			<-n.memberLog.due
			n.logMemberSummary()
		}
		show(member.Joining, 0, 100)
		show(member.Ready, 0, 100)
		qt.Check(t, count("member_changed"), qt.Equals, maxLoggedMembers)
		start := time.Now()
		summarize()
		qt.Check(t, time.Since(start), qt.Equals, memberLogWindow)
		qt.Check(t, count("members_changed joining=84 ready=100 leaving=0 suspect=0 gone=0 members=100"), qt.Equals, 1)
		out.Reset()
		show(member.Ready, 30, 100)
		qt.Check(t, count("member_gone"), qt.Equals, maxLoggedMembers)
		summarize()
		qt.Check(t, count("members_changed joining=0 ready=0 leaving=0 suspect=0 gone=14 members=70"), qt.Equals, 1)
		out.Reset()
		time.Sleep(2 * memberLogWindow)
		show(member.Leaving, 30, 46)
		qt.Check(t, count("member_changed"), qt.Equals, maxLoggedMembers)
		// The 54 others are gone.
		summarize()
		qt.Check(t, count("gone=54 members=16"), qt.Equals, 1)
	})
}

// TestMemberLogSummary guards against a summary that waits for the next change of a member.
func TestMemberLogSummary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		n := &Node{Log: log.New(&out)}
		v := &member.View{}
		for i := range 40 {
			v.Members = append(v.Members, member.Member{ID: ident.NodeID(fmt.Sprintf("n%03d", i)), State: member.Ready})
		}
		n.logMembers(v)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go n.applyViews(ctx)
		time.Sleep(memberLogWindow + time.Millisecond)
		synctest.Wait()
		qt.Check(t, strings.Count(out.String(), "members_changed joining=0 ready=24 leaving=0 suspect=0 gone=0 members=40"), qt.Equals, 1)
		cancel()
		synctest.Wait()
	})
}
