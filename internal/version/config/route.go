package config

import (
	"cmp"
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"
	"time"

	"goldcrestwick/internal/request/ident"
)

// RouteKind says how often a request of a route may run.
type RouteKind uint8

// The kinds of route.
const (
	// NonIdempotent is for requests that are not idempotent.
	NonIdempotent RouteKind = iota
	// Idempotent requests may run again.
	Idempotent
	// Stream answers are event streams. They run once unless the route is
	// resumable.
	Stream
)

// String returns the kind in snake case.
func (r RouteKind) String() string {
	return [...]string{"non_idempotent", "idempotent", "stream"}[min(r, Stream)]
}

// Route says what happens to the requests of one host below one path prefix.
type Route struct {
	Name string
	// Host is in lower case and without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   RouteKind
	// Resumable streams may be continued at another endpoint.
	Resumable bool
	// Timeout is the longest time until the final answer.
	Timeout time.Duration
	// FirstAnswer is the latency objective: the time to the first event of a
	// stream, or to the whole answer.
	FirstAnswer time.Duration
	// Attempts bounds the endpoints that one request may be sent to.
	Attempts int
	// Rank orders the requests of accounts of one rank, and of accounts without
	// a rank.
	Rank ident.Tier
	// Public routes need no account.
	Public bool
	// Shares divide the requests among pools by weight.
	Shares []PoolShare
}

// PoolShare is a pool's part of a route.
type PoolShare struct {
	Pool   *Pool
	Weight int
}

// IsRetryable reports whether a request that may have run can be sent again.
func (r *Route) IsRetryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// PoolAt returns the pool for a point from 0 up to 1 of the route's weights.
func (r *Route) PoolAt(point float64) *Pool {
	sum := 0
	for _, s := range r.Shares {
		sum += s.Weight
	}
	at := point * float64(sum)
	for _, s := range r.Shares {
		if at -= float64(s.Weight); at < 0 {
			return s.Pool
		}
	}
	return r.Shares[len(r.Shares)-1].Pool
}

// RouteFor returns the route of a host with the longest prefix of a path, or
// nil.
func (t *Tree) RouteFor(host, path string) *Route {
	for _, r := range t.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// ranks is the order of a request: the account's comes before the route's.
type ranks struct{ account, route ident.Tier }

func ranksOf(a *Account, r *Route) ranks {
	if a == nil || a.Tier == nil {
		return ranks{r.Rank, r.Rank}
	}
	return ranks{a.Tier.Rank, r.Rank}
}

// TierFor returns the tier of an account's requests on a route; the account is
// nil on public routes.
func (t *Tree) TierFor(a *Account, r *Route) *Tier { return t.tiers[ranksOf(a, r)] }

// rankTiers makes one tier of each pair of ranks in use. Those of one account
// rank share service, since the account's rank is what the operator orders by.
// Pairs past the last tier share it.
func rankTiers(p Parts) (map[ranks]*Tier, []*Tier) {
	accounts := append([]*Account{nil}, p.Team.Accounts...)
	used := map[ranks]*Tier{}
	var order []ranks
	for _, r := range p.Routes {
		for _, a := range accounts {
			pair := ranksOf(a, r)
			if _, ok := used[pair]; !ok {
				used[pair] = nil
				order = append(order, pair)
			}
		}
	}
	slices.SortFunc(order, func(a, b ranks) int {
		return cmp.Or(cmp.Compare(a.account, b.account), cmp.Compare(a.route, b.route))
	})
	var tiers []*Tier
	for i, pair := range order {
		if i < ident.MaxTiers {
			tiers = append(tiers, &Tier{Name: fmt.Sprintf("rank_%d_%d", pair.account, pair.route), Rank: ident.Tier(i)})
		}
		used[pair] = tiers[len(tiers)-1]
	}
	for i, pair := range order[:len(tiers)] {
		for j := i; j < len(tiers) && order[j].account == pair.account; j++ {
			tiers[i].GroupEnd = ident.Tier(j)
		}
	}
	return used, tiers
}

// Parts are one version of the settings that does not come as INI files.
type Parts struct {
	Version ident.Version
	Limits  Limits
	Team    *Team
	Routes  []*Route
	// Keys holds each account by its API keys.
	Keys map[string]*Account
	// File names the source in findings.
	File string
}

// Assemble checks parts and makes a Tree of them. The error is of type
// Findings.
func Assemble(p Parts) (*Tree, error) {
	t := &Tree{
		Version: p.Version, Limits: p.Limits, Teams: []*Team{p.Team},
		pools: map[ident.PoolID]*Pool{}, accounts: map[ident.ClientAccount]*Account{},
		byKey: map[[hashBytes]byte]*Account{}, routes: map[string][]*Route{},
	}
	var findings Findings
	for _, pool := range p.Team.Pools {
		t.pools[pool.ID] = pool
	}
	for _, a := range p.Team.Accounts {
		t.accounts[a.ID] = a
	}
	for key, a := range p.Keys {
		t.byKey[sha256.Sum256([]byte(key))] = a
	}
	for _, r := range p.Routes {
		if problem := r.problem(); problem != "" {
			findings = append(findings, Finding{File: p.File, Section: "route." + r.Name, Problem: problem})
			continue
		}
		t.routes[r.Host] = append(t.routes[r.Host], r)
	}
	t.tiers, p.Team.Tiers = rankTiers(p)
	for _, routes := range t.routes {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t, findings.Err()
}

// problem says what is wrong with a route, or "".
func (r *Route) problem() string {
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

// NewPool returns a pool with the default bounds.
func NewPool(id ident.PoolID, team *Team) *Pool { return defaultPool(id, team) }

// DefaultLimits returns the limits of a node whose settings give none.
func DefaultLimits() Limits { return defaultLimits() }
