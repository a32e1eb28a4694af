package node

import (
	"time"

	"goldcrestwick/internal/process/member"
)

const (
	// memberLogWindow is the time over which changes of members are counted for the log.
	memberLogWindow = time.Second
	// maxLoggedMembers is the number of changes in a memberLogWindow that are logged one by
	// one. When a fleet starts, each node sees two changes of each member within seconds.
	maxLoggedMembers = 16
)

// memberLog holds what the log needs of the members' changes. Only the goroutine that applies
// views uses it. The zero value is ready for use.
type memberLog struct {
	// view is the most recently logged view.
	view *member.View
	// windowEnd is the end of the current window, and logged counts the changes that were
	// logged one by one in it.
	windowEnd time.Time
	logged    int
	// rest counts the further changes.
	rest memberChanges
	// due receives a value at the end of a window with further changes; it is nil if there
	// are none.
	due <-chan time.Time
	// noneReadySince is since when the region has had no ready member, zero if it has one.
	noneReadySince time.Time
}

// memberChanges counts changes of members by what they changed to.
type memberChanges struct{ joining, ready, leaving, suspect, gone int }

// add counts a change to a member's entry.
func (c *memberChanges) add(m member.Member) {
	switch {
	case m.Suspect:
		c.suspect++
	case m.State == member.Joining:
		c.joining++
	case m.State == member.Ready:
		c.ready++
	default:
		c.leaving++
	}
}

// take reports whether a change may be logged by itself. If not, it has to be counted in rest.
func (l *memberLog) take(now time.Time) bool {
	if l.due == nil && !now.Before(l.windowEnd) {
		l.windowEnd, l.logged = now.Add(memberLogWindow), 0
	}
	if l.logged < maxLoggedMembers {
		l.logged++
		return true
	}
	if l.due == nil {
		l.due = time.After(l.windowEnd.Sub(now))
	}
	return false
}

// logMembers logs the members that joined, left or changed their state: the first changes of a
// second one by one, and the number of the others at its end.
func (n *Node) logMembers(v *member.View) {
	old := n.memberLog.view
	n.memberLog.view = v
	n.logNoneReady(v)
	if old == nil {
		old = &member.View{}
	}
	now := time.Now()
	for _, m := range v.Members {
		before, known := old.Find(m.ID)
		if known && before.State == m.State && before.Suspect == m.Suspect {
			continue
		}
		if m.Suspect {
			n.storeOriginsOf(m.ID)
		}
		if !n.memberLog.take(now) {
			n.memberLog.rest.add(m)
			continue
		}
		n.Log.Info("member_changed", "member", m.ID, "state", m.State, "suspect", m.Suspect, "known_before", known,
			"incarnation", m.Incarnation, "members", len(v.Members))
	}
	for _, m := range old.Members {
		if _, still := v.Find(m.ID); still {
			continue
		}
		if !n.memberLog.take(now) {
			n.memberLog.rest.gone++
			continue
		}
		n.Log.Info("member_gone", "member", m.ID, "incarnation", m.Incarnation, "members", len(v.Members))
	}
}

// logMemberSummary logs the number of the changes that were not logged one by one.
func (n *Node) logMemberSummary() {
	l := &n.memberLog
	c := l.rest
	l.rest, l.due = memberChanges{}, nil
	n.Log.Info("members_changed", "joining", c.joining, "ready", c.ready, "leaving", c.leaving, "suspect", c.suspect, "gone", c.gone,
		"members", len(l.view.Members))
}

// logNoneReady logs the time in which the region of this node, once it had a ready member, has
// none to which callers are sent and which owns cells.
func (n *Node) logNoneReady(v *member.View) {
	counts := memberChanges{}
	for _, m := range v.Members {
		if m.Region == n.Process.Region {
			counts.add(m)
		}
	}
	l := &n.memberLog
	hasReady := len(v.Ready(n.Process.Region)) > 0
	switch {
	case !hasReady && l.noneReadySince.IsZero() && counts.leaving > 0:
		l.noneReadySince = time.Now()
		n.Log.Warn("no_node_ready", "leaving", counts.leaving, "joining", counts.joining, "suspect", counts.suspect)
	case hasReady && !l.noneReadySince.IsZero():
		n.Log.Info("node_ready_again", "after", time.Since(l.noneReadySince), "ready", counts.ready, "leaving", counts.leaving)
		l.noneReadySince = time.Time{}
	}
}
