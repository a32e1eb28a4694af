package member

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/tick"
)

// seedPeriodically contacts seeds every SeedInterval, or more often while less than
// half of the listed nodes are known.
func (l *List) seedPeriodically(ctx context.Context) {
	sinceLast := time.Duration(0)
	tick.Every(ctx, fastSeedInterval, func(ctx context.Context) {
		sinceLast += fastSeedInterval
		if sinceLast < SeedInterval && (l.Seeds == nil || 2*len(l.View().Members) >= len(l.Seeds(ctx))) {
			return
		}
		sinceLast = 0
		l.Seed(ctx)
	})
}

// Seed exchanges lists with nodes that the platform lists and that are not known
// to be alive. It contacts at most maxSeeds of them, chosen at random but half of them
// in its own availability zone if there are enough, and receives the other members'
// entries from those.
func (l *List) Seed(ctx context.Context) {
	if l.Seeds == nil {
		return
	}
	unknown := slices.DeleteFunc(slices.Clone(l.Seeds(ctx)), func(m Member) bool {
		known, ok := l.View().Find(m.ID)
		return ok && !known.Suspect || m.ID == l.self.ID
	})
	count := maxSeeds
	if len(l.View().Members) > enoughMembers {
		// Gossip brings most of them; this covers the rest.
		count = laterSeeds
	}
	var tasks sync.WaitGroup
	for _, m := range chooseSeeds(unknown, l.Self().Zone, count) {
		tasks.Go(func() { l.syncWith(ctx, m) })
	}
	tasks.Wait()
}

// chooseSeeds returns up to count of the seeds at random, half of them in the given
// zone if there are enough.
func chooseSeeds(seeds []Member, zone ident.AvailabilityZone, count int) []Member {
	rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	var near, rest []Member
	for _, m := range seeds {
		if m.Zone == zone && len(near) < count/2 {
			near = append(near, m)
		} else {
			rest = append(rest, m)
		}
	}
	return append(near, rest[:min(len(rest), count-len(near))]...)
}

// syncOne exchanges full lists with one random member. Long lists are exchanged
// less often, so that the bytes per second stay about the same.
func (l *List) syncOne(ctx context.Context) {
	others := l.otherMembers()
	if len(others) > 0 && rand.IntN(1+len(others)/fullRateSyncMembers) == 0 {
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
