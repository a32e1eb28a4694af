package member

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/tick"
)

// List is a node's local membership list. Set the function fields, call Start,
// then Run. Methods are safe for concurrent use.
type List struct {
	// Probe sends updates to a member and returns the updates in its response.
	Probe func(ctx context.Context, to Member, updates []Member) ([]Member, error)
	// IndirectProbe requests that one member probe another; it returns an error
	// if that probe fails.
	IndirectProbe func(ctx context.Context, via, target Member) error
	// Sync exchanges full lists with a member.
	Sync func(ctx context.Context, to Member, all []Member) ([]Member, error)
	// Seeds, if not nil, returns the members in the platform's list of instances, or
	// the last known ones.
	Seeds func(ctx context.Context) []Member
	// Changed, if not nil, is called after each change of the view, without a lock.
	// Concurrent calls are possible and may get the views in another order than that
	// of the changes.
	Changed func(*View)

	// urgent is set when a member is known to leave or to be dead that was not
	// before.
	urgent     tick.Signal
	view       atomic.Pointer[View]
	mu         sync.Mutex
	self       Member
	all        map[ident.NodeID]*record
	probeOrder []ident.NodeID
}

// record is an entry of the list.
type record struct {
	Member
	// since is when the entry was last replaced.
	since time.Time
	// transmits counts how many times the last update was transmitted.
	transmits int
	// hasLeft is set on a dead member that was leaving, or has said itself that it ends.
	hasLeft bool
}

// Start sets this node's own entry. The incarnation should be higher than in any
// earlier run of the node, such as the Unix time in milliseconds.
func (l *List) Start(self Member) {
	l.mu.Lock()
	l.self = self
	l.all = map[ident.NodeID]*record{self.ID: {Member: self, since: time.Now()}}
	v := l.publish()
	l.mu.Unlock()
	l.notifyChanged(v)
}

// View returns the current view, which is empty before Start.
func (l *List) View() *View {
	if v := l.view.Load(); v != nil {
		return v
	}
	return &View{}
}

// Self returns this node's own entry.
func (l *List) Self() Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.self
}

// SetSelf changes this node's own entry and raises its incarnation, so that the
// change spreads. Before Start there is no entry, and it does nothing.
func (l *List) SetSelf(change func(*Member)) {
	l.mu.Lock()
	if l.all == nil {
		l.mu.Unlock()
		return
	}
	change(&l.self)
	l.self.Incarnation++
	l.all[l.self.ID] = &record{Member: l.self, since: time.Now()}
	v := l.publish()
	l.mu.Unlock()
	l.notifyChanged(v)
}

// Merge merges the updates of another node and returns updates for the response. The first one of a
// probe is the sender's own entry, and the response then corrects what the sender says about itself;
// that of a list from All, or of a lone suspicion, can be about any member. Before Start it does nothing: peers reach a node that has just been restarted before it has
// its own entry.
func (l *List) Merge(updates []Member) []Member {
	l.mu.Lock()
	if l.all == nil {
		l.mu.Unlock()
		return nil
	}
	isChanged := false
	for _, m := range updates {
		isChanged = l.merge(m) || isChanged
	}
	v := l.View()
	if isChanged {
		v = l.publish()
	}
	reply := l.replyTo(updates)
	l.mu.Unlock()
	if isChanged {
		l.notifyChanged(v)
	}
	return reply
}

// merge merges one update and reports whether it changed the list. The caller holds
// l.mu.
func (l *List) merge(m Member) bool {
	if m.ID == l.self.ID {
		return l.refute(m)
	}
	old := l.all[m.ID]
	if old == nil && m.State == Dead {
		return false
	}
	if old != nil && !m.supersedes(old.Member) {
		completed := old.completedBy(m)
		isCompleted := completed != old.Member
		old.Member = completed
		return isCompleted
	}
	if old != nil {
		m = m.completedBy(old.Member)
	}
	if old != nil && m.State >= Leaving && old.State < m.State {
		l.urgent.Set()
	}
	// Members that are declared dead by others were suspect before.
	hasLeft := old != nil && m.State == Dead && (!m.Suspect || old.State == Leaving || old.hasLeft)
	l.all[m.ID] = &record{Member: m, since: time.Now(), hasLeft: hasLeft}
	return true
}

// refute raises this node's incarnation above that of m, if m is an update about
// this node that is later than its own entry or in which others have changed its state.
// It reports whether it did. Nodes of earlier builds pass the entry on without the
// fields that they do not know, which needs no answer.
func (l *List) refute(m Member) bool {
	isSame := m.Incarnation == l.self.Incarnation && m.State == l.self.State && m.Suspect == l.self.Suspect
	if m.Incarnation < l.self.Incarnation || isSame {
		return false
	}
	l.self.Incarnation = m.Incarnation + 1
	l.all[l.self.ID] = &record{Member: l.self, since: time.Now()}
	return true
}

// All returns every entry, dead members included, for an exchange of full lists.
func (l *List) All() []Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make([]Member, 0, len(l.all))
	for _, r := range l.all {
		all = append(all, r.Member)
	}
	return all
}

// publish builds the view from the list, stores and returns it. The caller holds
// l.mu.
func (l *List) publish() *View {
	v := &View{}
	for _, r := range l.all {
		if r.State != Dead {
			v.Members = append(v.Members, r.Member)
		}
	}
	slices.SortFunc(v.Members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	l.view.Store(v)
	return v
}

func (l *List) notifyChanged(v *View) {
	if l.Changed != nil {
		l.Changed(v)
	}
}

// RecentlyFailed returns the number of members that this node has recorded as dead
// for less than the given time and that did not leave. They may be
// partitioned rather than dead. Dead members are forgotten after tombstoneTTL.
func (l *List) RecentlyFailed(within time.Duration) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	failed := 0
	for _, r := range l.all {
		if r.State == Dead && !r.hasLeft && time.Since(r.since) < within {
			failed++
		}
	}
	return failed
}

// Run probes members, exchanges lists with random members and contacts seeds until
// the context ends.
func (l *List) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { tick.Every(ctx, ProbeInterval, l.probeNext) })
	tasks.Go(func() { tick.Every(ctx, SyncInterval, l.syncOne) })
	tasks.Go(func() { l.spreadUrgent(ctx) })
	tasks.Go(func() { l.seedPeriodically(ctx) })
}

// probeNext probes the next neighbor of a shuffled round, so that each of them is
// probed within two rounds.
func (l *List) probeNext(ctx context.Context) {
	l.expire()
	target, ok := l.nextTarget(l.isLarge(ctx))
	if !ok {
		return
	}
	l.mu.Lock()
	updates := l.nextUpdates()
	l.mu.Unlock()
	probeCtx, cancel := context.WithTimeout(ctx, ProbeTimeout)
	defer cancel()
	response, err := l.Probe(probeCtx, target, updates)
	if err == nil {
		l.Merge(response)
		return
	}
	if ctx.Err() == nil && !l.probeIndirectly(ctx, target) {
		l.suspect(target)
	}
}

// spreadUrgent passes on at once, to urgentFanOut neighbors, that a member leaves or
// is dead: callers must not be sent to it for longer than needed. Small fleets have
// no need for it.
func (l *List) spreadUrgent(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.urgent.C():
		}
		if list := l.Neighbors(ctx); l.isLarge(ctx) {
			for _, m := range list[:min(len(list), urgentFanOut)] {
				l.pass(ctx, m)
			}
		}
		if !tick.Sleep(ctx, urgentPause) {
			return
		}
	}
}

// pass exchanges updates with a member. A failure is left to the regular probes.
func (l *List) pass(ctx context.Context, to Member) {
	ctx, cancel := context.WithTimeout(ctx, ProbeTimeout)
	defer cancel()
	l.mu.Lock()
	updates := l.nextUpdates()
	l.mu.Unlock()
	if response, err := l.Probe(ctx, to, updates); err == nil {
		l.Merge(response)
	}
}

// nextTarget returns the next member of the round and starts a new round at the end
// of one. It returns false if there is no other member.
func (l *List) nextTarget(isLarge bool) (Member, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.probeOrder) > zoneSuccessors+farSuccessors && isLarge {
		// The round began when the known fleet was small enough to probe all of it.
		l.probeOrder = nil
	}
	for range 2 {
		for len(l.probeOrder) > 0 {
			id := l.probeOrder[0]
			l.probeOrder = l.probeOrder[1:]
			if r := l.all[id]; r != nil && r.State != Dead {
				return r.Member, true
			}
		}
		for _, m := range neighbors(l.self.ID, l.View().Members, isLarge) {
			l.probeOrder = append(l.probeOrder, m.ID)
		}
		rand.Shuffle(len(l.probeOrder), func(i, j int) { l.probeOrder[i], l.probeOrder[j] = l.probeOrder[j], l.probeOrder[i] })
	}
	return Member{}, false
}

func (l *List) otherMembers() []Member {
	var others []Member
	for _, m := range l.View().Members {
		if m.ID != l.self.ID {
			others = append(others, m)
		}
	}
	return others
}

// probeIndirectly reports whether any of up to indirectProbes random members can
// reach the target.
func (l *List) probeIndirectly(ctx context.Context, target Member) bool {
	relays := slices.DeleteFunc(l.otherMembers(), func(m Member) bool { return m.ID == target.ID || m.Suspect })
	rand.Shuffle(len(relays), func(i, j int) { relays[i], relays[j] = relays[j], relays[i] })
	relays = relays[:min(len(relays), indirectProbes)]
	ctx, cancel := context.WithTimeout(ctx, 2*ProbeTimeout)
	defer cancel()
	results := make(chan error, len(relays))
	for _, via := range relays {
		go func() { results <- l.IndirectProbe(ctx, via, target) }()
	}
	isReached := false
	for range relays {
		if err := <-results; err == nil {
			isReached = true
			cancel()
		}
	}
	return isReached
}

func (l *List) suspect(target Member) {
	target.Suspect = true
	l.Merge([]Member{target})
}

// expire declares members dead that were suspected for longer than
// SuspicionTimeout, and deletes dead members after tombstoneTTL.
func (l *List) expire() {
	now := time.Now()
	l.mu.Lock()
	isChanged := false
	for id, r := range l.all {
		switch {
		case r.State == Dead && now.Sub(r.since) > tombstoneTTL:
			delete(l.all, id)
		case r.State != Dead && r.Suspect && now.Sub(r.since) > SuspicionTimeout:
			dead := r.Member
			dead.State = Dead
			l.all[id] = &record{Member: dead, since: now, hasLeft: r.State == Leaving}
			isChanged = true
		}
	}
	v := l.View()
	if isChanged {
		v = l.publish()
	}
	l.mu.Unlock()
	if isChanged {
		l.notifyChanged(v)
	}
}
