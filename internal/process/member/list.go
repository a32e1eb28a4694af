package member

import (
	"cmp"
	"context"
	"math/bits"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"goldcrestwick/internal/process/tick"
	"goldcrestwick/internal/request/ident"
)

// List is a node's own list of members. Set the function fields, call Start,
// then Run. Methods are safe for concurrent use.
type List struct {
	// Probe sends updates to a member and returns the updates in its answer.
	Probe func(ctx context.Context, to Member, updates []Member) ([]Member, error)
	// IndirectProbe asks one member to probe another; it fails when that failed.
	IndirectProbe func(ctx context.Context, via, target Member) error
	// Sync exchanges whole lists with a member.
	Sync func(ctx context.Context, to Member, all []Member) ([]Member, error)
	// Seeds returns the members that the platform lists, as far as known.
	Seeds func(ctx context.Context) []Member
	// Changed is called after the view changed. Nil is allowed.
	Changed func(*View)

	view atomic.Pointer[View]
	mu   sync.Mutex
	self Member
	all  map[ident.NodeID]*record
	turn []ident.NodeID
}

type record struct {
	Member
	since time.Time
	// sent counts how often the last update was passed on.
	sent int
	// left is set on a dead member that had said it was leaving.
	left bool
}

// Start sets this node's own entry. The incarnation should be higher than in
// the node's earlier life; the Unix time in milliseconds is.
func (l *List) Start(self Member) {
	l.mu.Lock()
	l.self = self
	l.all = map[ident.NodeID]*record{self.ID: {Member: self, since: time.Now()}}
	v := l.publish()
	l.mu.Unlock()
	l.changed(v)
}

// View returns the present picture.
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

// SetSelf changes this node's own entry and spreads the change.
func (l *List) SetSelf(change func(*Member)) {
	l.mu.Lock()
	change(&l.self)
	l.self.Incarnation++
	l.all[l.self.ID] = &record{Member: l.self, since: time.Now()}
	v := l.publish()
	l.mu.Unlock()
	l.changed(v)
}

// Merge takes in what another node said and returns updates in answer.
func (l *List) Merge(updates []Member) []Member {
	l.mu.Lock()
	dirty := false
	for _, m := range updates {
		dirty = l.merge(m) || dirty
	}
	v := l.View()
	if dirty {
		v = l.publish()
	}
	reply := l.updates()
	l.mu.Unlock()
	if dirty {
		l.changed(v)
	}
	return reply
}

// merge reports whether the update changed anything.
func (l *List) merge(m Member) bool {
	if m.ID == l.self.ID {
		return l.defend(m)
	}
	old := l.all[m.ID]
	if old == nil && m.State == Dead {
		return false
	}
	if old != nil && !m.supersedes(old.Member) {
		return false
	}
	left := old != nil && m.State == Dead && (old.State == Leaving || old.left)
	l.all[m.ID] = &record{Member: m, since: time.Now(), left: left}
	return true
}

// defend answers a claim about this node itself that is not its own word.
func (l *List) defend(m Member) bool {
	if m.Incarnation < l.self.Incarnation || m == l.self {
		return false
	}
	l.self.Incarnation = m.Incarnation + 1
	l.all[l.self.ID] = &record{Member: l.self, since: time.Now()}
	return true
}

// All returns every entry, for an exchange of whole lists.
func (l *List) All() []Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make([]Member, 0, len(l.all))
	for _, r := range l.all {
		all = append(all, r.Member)
	}
	return all
}

// updates picks the least often sent entries that have turns left, and this
// node's own in any case: whoever talks to a node knows its state, also when
// the update that told it was lost.
func (l *List) updates() []Member {
	limit := spreadFactor * bits.Len(uint(len(l.all)))
	var fresh []*record
	for _, r := range l.all {
		if r.sent < limit && r.ID != l.self.ID {
			fresh = append(fresh, r)
		}
	}
	slices.SortFunc(fresh, func(a, b *record) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(a.ID, b.ID))
	})
	fresh = fresh[:min(len(fresh), maxUpdates-1)]
	picked := []Member{l.self}
	for _, r := range fresh {
		r.sent++
		picked = append(picked, r.Member)
	}
	return picked
}

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

func (l *List) changed(v *View) {
	if l.Changed != nil {
		l.Changed(v)
	}
}

// RecentlyFailed returns how many members died without leaving in so long a time. They
// may be cut off rather than dead.
func (l *List) RecentlyFailed(within time.Duration) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	missed := 0
	for _, r := range l.all {
		if r.State == Dead && !r.left && time.Since(r.since) < within {
			missed++
		}
	}
	return missed
}

// Run probes until the context ends.
func (l *List) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { tick.Every(ctx, ProbeInterval, l.probeNext) })
	tasks.Go(func() { tick.Every(ctx, SyncInterval, l.syncOne) })
	tasks.Go(func() { tick.Every(ctx, SeedInterval, l.Seed) })
}

// Seed exchanges lists with listed nodes that are not known to live: with all
// of a few, and with some of many, who tell of the others.
func (l *List) Seed(ctx context.Context) {
	if l.Seeds == nil {
		return
	}
	unknown := slices.DeleteFunc(slices.Clone(l.Seeds(ctx)), func(m Member) bool {
		known, ok := l.View().Find(m.ID)
		return ok && !known.Suspect || m.ID == l.self.ID
	})
	rand.Shuffle(len(unknown), func(i, j int) { unknown[i], unknown[j] = unknown[j], unknown[i] })
	var tasks sync.WaitGroup
	for _, m := range unknown[:min(len(unknown), seedsAtOnce)] {
		tasks.Go(func() { l.syncWith(ctx, m) })
	}
	tasks.Wait()
}

// syncOne exchanges whole lists with one member. Long lists are exchanged less
// often, so that the bytes a second stay about the same.
func (l *List) syncOne(ctx context.Context) {
	others := l.others()
	if len(others) > 0 && rand.IntN(1+len(others)/syncMembers) == 0 {
		l.syncWith(ctx, others[rand.IntN(len(others))])
	}
}

func (l *List) syncWith(ctx context.Context, m Member) {
	ctx, cancel := context.WithTimeout(ctx, 2*ProbeTimeout)
	defer cancel()
	if all, err := l.Sync(ctx, m, l.All()); err == nil {
		l.Merge(all)
	}
}

// probeNext probes the next member in a shuffled round, so that each is
// probed within two rounds.
func (l *List) probeNext(ctx context.Context) {
	l.bury()
	target, ok := l.next()
	if !ok {
		return
	}
	l.mu.Lock()
	updates := l.updates()
	l.mu.Unlock()
	probing, cancel := context.WithTimeout(ctx, ProbeTimeout)
	defer cancel()
	answer, err := l.Probe(probing, target, updates)
	if err == nil {
		l.Merge(answer)
		return
	}
	if ctx.Err() == nil && !l.probeIndirectly(ctx, target) {
		l.suspect(target)
	}
}

func (l *List) next() (Member, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for range 2 {
		for len(l.turn) > 0 {
			id := l.turn[0]
			l.turn = l.turn[1:]
			if r := l.all[id]; r != nil && r.State != Dead {
				return r.Member, true
			}
		}
		for id, r := range l.all {
			if id != l.self.ID && r.State != Dead {
				l.turn = append(l.turn, id)
			}
		}
		rand.Shuffle(len(l.turn), func(i, j int) { l.turn[i], l.turn[j] = l.turn[j], l.turn[i] })
	}
	return Member{}, false
}

func (l *List) others() []Member {
	var others []Member
	for _, m := range l.View().Members {
		if m.ID != l.self.ID {
			others = append(others, m)
		}
	}
	return others
}

func (l *List) probeIndirectly(ctx context.Context, target Member) bool {
	helpers := slices.DeleteFunc(l.others(), func(m Member) bool { return m.ID == target.ID || m.Suspect })
	rand.Shuffle(len(helpers), func(i, j int) { helpers[i], helpers[j] = helpers[j], helpers[i] })
	helpers = helpers[:min(len(helpers), indirectProbes)]
	ctx, cancel := context.WithTimeout(ctx, 2*ProbeTimeout)
	defer cancel()
	answers := make(chan error, len(helpers))
	for _, via := range helpers {
		go func() { answers <- l.IndirectProbe(ctx, via, target) }()
	}
	reached := false
	for range helpers {
		if err := <-answers; err == nil {
			reached = true
			cancel()
		}
	}
	return reached
}

func (l *List) suspect(target Member) {
	target.Suspect = true
	l.Merge([]Member{target})
}

// bury declares suspects dead whose time is over and forgets old tombstones.
func (l *List) bury() {
	now := time.Now()
	l.mu.Lock()
	dirty := false
	for id, r := range l.all {
		switch {
		case r.State == Dead && now.Sub(r.since) > tombstoneTime:
			delete(l.all, id)
		case r.State != Dead && r.Suspect && now.Sub(r.since) > SuspectTime:
			dead := r.Member
			dead.State = Dead
			l.all[id] = &record{Member: dead, since: now, left: r.State == Leaving}
			dirty = true
		}
	}
	v := l.View()
	if dirty {
		v = l.publish()
	}
	l.mu.Unlock()
	if dirty {
		l.changed(v)
	}
}
