package config

import (
	"cmp"
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"
	"time"

	"goldcrestwick/internal/process/ident"
)

// RouteKind defines how often a request of a route may be executed.
type RouteKind uint8

// The kinds of route.
const (
	// NonIdempotent requests may be executed at most once.
	NonIdempotent RouteKind = iota
	// Idempotent requests may be executed more than once.
	Idempotent
	// Stream requests are answered by an event stream. They may be executed
	// more than once only if the route is resumable.
	Stream
)

// String returns the kind in snake_case.
func (k RouteKind) String() string {
	return [...]string{"non_idempotent", "idempotent", "stream"}[min(k, Stream)]
}

// Route holds the policy for requests to one host below one path prefix.
type Route struct {
	Name string
	// Host is in lower case, without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   RouteKind
	// Resumable reports whether an interrupted stream can be continued at
	// another endpoint.
	Resumable bool
	// Timeout bounds the time until the answer is complete.
	Timeout time.Duration
	// FirstAnswerTarget is the latency objective: the time to the first event of a
	// stream, or to the complete answer.
	FirstAnswerTarget time.Duration
	// MaxAttempts bounds the number of endpoints to which one request is sent.
	MaxAttempts int
	// Rank orders requests of accounts with equal rank; 0 is the highest. For
	// requests without an account, or whose account has no tier, it also replaces
	// the account's rank.
	Rank ident.Tier
	// Public reports whether the route accepts requests without an account.
	Public bool
	// Shares divides the requests among pools by weight. It must not be empty.
	Shares []PoolShare
}

// PoolShare is the weight of a pool on a route.
type PoolShare struct {
	Pool   *Pool
	Weight int
}

// IsRetryable reports whether a request that may have been executed can be sent
// again.
func (r *Route) IsRetryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// FindPool returns the pool with an identifier, or nil if the route does not lead there.
func (r *Route) FindPool(id ident.PoolID) *Pool {
	for _, share := range r.Shares {
		if share.Pool.ID == id {
			return share.Pool
		}
	}
	return nil
}

// PoolAt returns the pool at the given point, in [0, 1), of the cumulative
// weights. A uniformly random point selects each pool in proportion to its
// weight. If all weights are 0, PoolAt returns the last pool.
func (r *Route) PoolAt(point float64) *Pool {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	remaining := point * float64(total)
	for _, s := range r.Shares {
		if remaining -= float64(s.Weight); remaining < 0 {
			return s.Pool
		}
	}
	return r.Shares[len(r.Shares)-1].Pool
}

// RouteFor returns the route of the host with the longest matching path prefix,
// or nil. The host must be in lower case, without a port.
func (t *Tree) RouteFor(host, path string) *Route {
	for _, r := range t.routesByHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// PoolsLeft returns the pools to which each route, by name, leads, but leads no longer in a
// later version of the settings.
func (t *Tree) PoolsLeft(next *Tree) map[string][]*Pool {
	left := map[string][]*Pool{}
	for _, routes := range t.routesByHost {
		for _, r := range routes {
			later := next.RouteFor(r.Host, r.Prefix)
			if later == nil || later.Name != r.Name {
				continue
			}
			for _, s := range r.Shares {
				if !slices.ContainsFunc(later.Shares, func(l PoolShare) bool { return l.Pool.ID == s.Pool.ID }) {
					left[r.Name] = append(left[r.Name], s.Pool)
				}
			}
		}
	}
	return left
}

// StreamPools returns the pools, sorted, to which each stream route leads, by its name.
func (t *Tree) StreamPools() map[string][]ident.PoolID {
	all := map[string][]ident.PoolID{}
	for _, routes := range t.routesByHost {
		for _, r := range routes {
			if r.Kind != Stream {
				continue
			}
			for _, s := range r.Shares {
				all[r.Name] = append(all[r.Name], s.Pool.ID)
			}
		}
	}
	for name, pools := range all {
		slices.Sort(pools)
		all[name] = slices.Compact(pools)
	}
	return all
}

// rankPair is the priority of a request. The account's rank takes precedence
// over the route's.
type rankPair struct{ account, route ident.Tier }

// rankPairOf returns the ranks of requests of an account on a route. Without an
// account, or one with a tier, the route's rank counts as the account's too.
func rankPairOf(a *Account, r *Route) rankPair {
	if a == nil || a.Tier == nil {
		return rankPair{r.Rank, r.Rank}
	}
	return rankPair{a.Tier.Rank, r.Rank}
}

// SharesStreams reports whether a stream route leads to a pool and to others, so that a route
// does not tell in which pool a stream began.
func (t *Tree) SharesStreams(id ident.PoolID) bool {
	for _, routes := range t.routesByHost {
		for _, r := range routes {
			if r.Kind == Stream && len(r.Shares) > 1 && slices.ContainsFunc(r.Shares, func(s PoolShare) bool { return s.Pool.ID == id }) {
				return true
			}
		}
	}
	return false
}

// HasStreams reports whether answers of a pool may be streams, so that the software releases
// of its endpoints matter: it has model runners, or a stream route leads to it.
func (t *Tree) HasStreams(id ident.PoolID) bool {
	if p := t.Pool(id); p != nil && p.Kind == ident.ModelRunner {
		return true
	}
	for _, routes := range t.routesByHost {
		for _, r := range routes {
			if r.Kind == Stream && slices.ContainsFunc(r.Shares, func(s PoolShare) bool { return s.Pool.ID == id }) {
				return true
			}
		}
	}
	return false
}

// TierFor returns the tier of the requests of an account on a route. A nil account
// stands for requests without one. TierFor returns nil for an account or route
// whose pair of ranks the tree does not have.
func (t *Tree) TierFor(a *Account, r *Route) *Tier { return t.tiersByRank[rankPairOf(a, r)] }

// rankTiers creates one tier for each pair of ranks in use, ordered by the
// account's rank and then the route's. Tiers with the same account rank share
// service, because the operator prioritizes by the account's rank. If there are
// more than ident.MaxTiers pairs, the remaining ones use the lowest tier.
func rankTiers(spec TreeSpec) (map[rankPair]*Tier, []*Tier) {
	accounts := append([]*Account{nil}, spec.Team.Accounts...)
	tierOf := map[rankPair]*Tier{}
	var order []rankPair
	for _, r := range spec.Routes {
		for _, a := range accounts {
			pair := rankPairOf(a, r)
			if _, ok := tierOf[pair]; !ok {
				tierOf[pair] = nil
				order = append(order, pair)
			}
		}
	}
	slices.SortFunc(order, func(a, b rankPair) int {
		return cmp.Or(cmp.Compare(a.account, b.account), cmp.Compare(a.route, b.route))
	})
	var tiers []*Tier
	for i, pair := range order {
		if i < ident.MaxTiers {
			tiers = append(tiers, &Tier{Name: fmt.Sprintf("rank_%d_%d", pair.account, pair.route), Rank: ident.Tier(i)})
		}
		tierOf[pair] = tiers[len(tiers)-1]
	}
	for i, pair := range order[:len(tiers)] {
		for j := i; j < len(tiers) && order[j].account == pair.account; j++ {
			tiers[i].GroupEnd = ident.Tier(j)
		}
	}
	return tierOf, tiers
}

// TreeSpec describes one version of the settings that does not come from INI
// files.
type TreeSpec struct {
	Version ident.Version
	Limits  Limits
	// Team holds the pools and accounts. NewTree replaces its Tiers.
	Team   *Team
	Routes []*Route
	// AccountsByKey maps API keys to accounts.
	AccountsByKey map[string]*Account
	// File is the source that findings name.
	File string
}

// NewTree builds a Tree and checks its routes. It replaces spec.Team.Tiers with one
// tier for each pair of ranks. An error is of type Findings; NewTree then returns a
// tree without the faulty routes as well.
func NewTree(spec TreeSpec) (*Tree, error) {
	t := &Tree{
		Version: spec.Version, Limits: spec.Limits, Teams: []*Team{spec.Team},
		pools: map[ident.PoolID]*Pool{}, accounts: map[ident.ClientAccount]*Account{},
		accountsByKeyHash: map[[sha256Bytes]byte]*Account{}, routesByHost: map[string][]*Route{},
	}
	var findings Findings
	for _, pool := range spec.Team.Pools {
		t.pools[pool.ID] = pool
	}
	for _, a := range spec.Team.Accounts {
		t.accounts[a.ID] = a
	}
	for key, a := range spec.AccountsByKey {
		t.accountsByKeyHash[sha256.Sum256([]byte(key))] = a
	}
	for _, r := range spec.Routes {
		if problem := r.findProblem(); problem != "" {
			findings = append(findings, Finding{File: spec.File, Section: "route." + r.Name, Problem: problem})
			continue
		}
		t.routesByHost[r.Host] = append(t.routesByHost[r.Host], r)
	}
	t.tiersByRank, spec.Team.Tiers = rankTiers(spec)
	for _, routes := range t.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t, findings.Err()
}

// findProblem describes the first fault of the route, or returns "".
func (r *Route) findProblem() string {
	switch {
	case r.Host == "":
		return "the host is empty"
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return fmt.Sprintf("the prefix %q does not begin and end with a slash", r.Prefix)
	case r.Timeout <= 0:
		return "the timeout is missing"
	case len(r.Shares) == 0:
		return "the route has no pool"
	}
	for _, s := range r.Shares {
		if s.Pool == nil || s.Weight < 0 {
			return "a share names no known pool or has a negative weight"
		}
	}
	return ""
}

// NewPool returns a pool with default limits and targets.
func NewPool(id ident.PoolID, team *Team) *Pool { return defaultPool(id, team) }

// DefaultLimits returns the limits that apply where the settings set none.
func DefaultLimits() Limits { return defaultLimits() }
