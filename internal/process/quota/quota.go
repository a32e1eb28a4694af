// Package quota holds the limits of client accounts over the whole fleet.
//
// The account's home node, found by rendezvous hashing, has one bucket for the
// whole fleet, from which the entry nodes draw each request. A node that cannot
// reach the home falls back to a share of the rates, which the home divides
// among the nodes by what each was lately asked for.
//
// # Usage
//
//	k := &quota.Limiter{}
//	release, result, retry := k.Admit(ctx, account, tokens, now)
//	if result == quota.Admitted {
//		defer func() { release(ran) }()
//	}
//	result, retry := coordinator.Take(account, request, now) // on the coordinator
//	share := allocator.Allocate(accountID, node, demand, nodes, now) // on the coordinator
//	k.SetShare(accountID, share)
package quota

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"goldcrestwick/internal/request/ident"
	"goldcrestwick/internal/version/config"
)

const (
	// evenPart of a limit is divided evenly when demand is over the limit, so
	// that a node without recent demand can begin at once.
	evenPart = 0.2
	// demandWeight is the weight of the last second in the moving mean.
	demandWeight = 0.3
	// demandLife is how long a node's word on its demand counts.
	demandLife = 3 * time.Second
	// burstTime is how much of a rate may come at once.
	burstTime = time.Second
)

// Limiter holds one entry node's shares. The zero value is ready for use and
// safe for concurrent use.
type Limiter struct {
	// EqualShare is the share of an account before its home has said another: one
	// over the number of nodes. Zero counts as 1.
	EqualShare func() float64
	// Acquire takes a request from the account's bucket at its home; ok is false
	// when the home could not be asked. Nil draws from the shares alone.
	Acquire func(ctx context.Context, a *config.Account, ask AcquireRequest) (verdict Result, retry time.Duration, ok bool)

	mu       sync.Mutex
	accounts map[ident.ClientAccount]*account
}

type account struct {
	requests *rate.Limiter
	tokens   *rate.Limiter
	running  int
	share    float64
	lent     bool
	// asked sums up what was asked for since the last look, as a part of the
	// whole limit a second; demand is its moving mean.
	asked  float64
	demand float64
	// unused are requests drawn from the home that did not run.
	unused []drawn
}

// Result says which limit stopped a request.
type Result string

// The verdicts.
const (
	Admitted        Result = ""
	RequestsLimit   Result = "requests_per_second"
	TokensLimit     Result = "tokens_per_second"
	ConcurrentLimit Result = "concurrent_requests"
)

// Admit takes a request of so many tokens from the account's limits. When it is
// admitted, release must be called at its end. Otherwise retry is when there
// will be room by rate.
func (k *Limiter) Admit(ctx context.Context, a *config.Account, tokens ident.Tokens, now time.Time) (release Release, verdict Result, retry time.Duration) {
	at, back, ok := k.enter(a, tokens, now)
	if !ok {
		return nil, ConcurrentLimit, time.Second
	}
	isFree := a.Requests <= 0 && a.Tokens <= 0
	isDrawn := false
	if !isFree && k.Acquire != nil {
		verdict, retry, isDrawn = k.Acquire(ctx, a, AcquireRequest{Tokens: tokens, Refund: back})
	}
	if !isFree && !isDrawn {
		verdict, retry = k.takeShare(at, tokens, now)
	}
	if verdict != Admitted {
		k.leave(at)
		return nil, verdict, retry
	}
	var once sync.Once
	return func(ran bool) {
		once.Do(func() {
			if !ran && !isFree {
				k.giveBack(a, at, tokens, isDrawn, now)
			}
			k.leave(at)
		})
	}, Admitted, 0
}

// giveBack returns what a request took at a time that did not run.
func (k *Limiter) giveBack(a *config.Account, at *account, tokens ident.Tokens, isDrawn bool, took time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if isDrawn {
		at.unused = append(at.unused, drawn{took, tokens})
		k.returnLater(a, at)
		return
	}
	now := time.Now()
	if now.Sub(took) < backLife {
		giveBack(at.requests, 1, now)
		giveBack(at.tokens, int(tokens), now)
	}
}

// enter counts a request in flight, and takes what others gave back.
func (k *Limiter) enter(a *config.Account, tokens ident.Tokens, now time.Time) (at *account, back Refund, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	at = k.account(a, now)
	at.asked += part(a, tokens)
	if a.Concurrent > 0 && at.running >= k.concurrent(a, at) {
		return nil, Refund{}, false
	}
	at.running++
	return at, at.takeBack(now), true
}

// takeShare takes a request from this node's own share.
func (k *Limiter) takeShare(at *account, tokens ident.Tokens, now time.Time) (Result, time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if retry, ok := take(at.requests, now, 1); !ok {
		return RequestsLimit, retry
	}
	if retry, ok := take(at.tokens, now, int(tokens)); !ok {
		giveBack(at.requests, 1, now)
		return TokensLimit, retry
	}
	return Admitted, 0
}

// part is what a request takes of the account's limits, by the limit that it
// takes most of.
func part(a *config.Account, tokens ident.Tokens) float64 {
	most := 0.0
	if a.Requests > 0 {
		most = 1 / a.Requests
	}
	if a.Tokens > 0 {
		most = max(most, float64(tokens)/a.Tokens)
	}
	return most
}

// take draws n from a limiter. A request larger than the burst needs a full
// bucket and leaves it in debt.
func take(l *rate.Limiter, now time.Time, n int) (time.Duration, bool) {
	if l.Limit() == rate.Inf {
		return 0, true
	}
	first := min(n, l.Burst())
	r := l.ReserveN(now, first)
	if wait := r.DelayFrom(now); wait > 0 {
		r.CancelAt(now)
		return wait, false
	}
	for rest := n - first; rest > 0; rest -= l.Burst() {
		l.ReserveN(now, min(rest, l.Burst()))
	}
	return 0, true
}

func (k *Limiter) leave(at *account) {
	k.mu.Lock()
	defer k.mu.Unlock()
	at.running--
}

func (k *Limiter) concurrent(a *config.Account, at *account) int {
	return max(int(float64(a.Concurrent)*k.shareOf(at)+0.5), 1)
}

func (k *Limiter) shareOf(at *account) float64 {
	if at.lent || k.EqualShare == nil {
		return at.share
	}
	return k.EqualShare()
}

func (k *Limiter) account(a *config.Account, now time.Time) *account {
	if k.accounts == nil {
		k.accounts = map[ident.ClientAccount]*account{}
	}
	at := k.accounts[a.ID]
	isNew := at == nil
	if isNew {
		at = &account{share: 1}
		k.accounts[a.ID] = at
	}
	share := k.shareOf(at)
	at.requests = limited(at.requests, a.Requests, a.Requests*burstTime.Seconds(), share, now)
	at.tokens = limited(at.tokens, a.Tokens, burstOf(a), share, now)
	if isNew && k.Acquire != nil {
		drain(at.requests, 0, now)
		drain(at.tokens, 0, now)
	}
	return at
}

func burstOf(a *config.Account) float64 {
	if a.BurstTokens > 0 {
		return a.BurstTokens
	}
	return a.Tokens * burstTime.Seconds()
}

// limited returns the limiter for a share of a rate and its burst. A new one
// starts with a full bucket.
func limited(l *rate.Limiter, perSecond, atOnce, share float64, now time.Time) *rate.Limiter {
	limit, burst := rate.Inf, 1
	if perSecond > 0 {
		limit = rate.Limit(perSecond * share)
		burst = max(int(atOnce*share), 1)
	}
	if l == nil || l.Limit() == rate.Inf {
		return rate.NewLimiter(limit, burst)
	}
	if l.Limit() != limit {
		l.SetLimitAt(now, limit)
		l.SetBurstAt(now, burst)
	}
	return l
}

// Demand returns what each account is asked for, as a part of its whole
// limits. Call it once a second.
func (k *Limiter) Demand() map[ident.ClientAccount]float64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	all := make(map[ident.ClientAccount]float64, len(k.accounts))
	for id, at := range k.accounts {
		at.demand += demandWeight * (at.asked - at.demand)
		at.asked = 0
		all[id] = at.demand
	}
	return all
}

// SetShare sets the part of an account's limits that its home lends this node.
func (k *Limiter) SetShare(id ident.ClientAccount, share float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if at := k.accounts[id]; at != nil && share > 0 && share <= 1 {
		at.share, at.lent = share, true
	}
}

// Allocator divides the limits of the accounts whose home is this node. The zero
// value is ready for use and safe for concurrent use.
type Allocator struct {
	mu      sync.Mutex
	demands map[ident.ClientAccount]map[ident.NodeID]demand
}

type demand struct {
	rate float64
	at   time.Time
}

// Allocate notes a node's demand, as a part of the account's limits, and returns
// its share among so many nodes. Demand below the limit is met and what is left
// is divided evenly; demand above it is met in proportion. The shares of all
// nodes add up to at most 1 once each has been told anew.
func (l *Allocator) Allocate(id ident.ClientAccount, node ident.NodeID, asked float64, nodes int, now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.demands == nil {
		l.demands = map[ident.ClientAccount]map[ident.NodeID]demand{}
	}
	of := l.demands[id]
	if of == nil {
		of = map[ident.NodeID]demand{}
		l.demands[id] = of
	}
	of[node] = demand{max(asked, 0), now}
	sum := 0.0
	for other, d := range of {
		if now.Sub(d.at) > demandLife {
			delete(of, other)
			continue
		}
		sum += d.rate
	}
	even := 1 / float64(max(nodes, len(of), 1))
	if sum <= 1 {
		return of[node].rate + (1-sum)*even
	}
	return evenPart*even + (1-evenPart)*of[node].rate/sum
}
