// Package quota enforces the rate and concurrency limits of client accounts
// across the whole fleet.
//
// Each account has a coordinator node, chosen by rendezvous hashing, which holds
// the account's token buckets for the whole fleet. Entry nodes acquire tokens
// from it for each request. A node that cannot reach the coordinator falls back
// to a local share of the limits, which the coordinator allocates to the nodes
// by their recent demand.
//
// # Usage
//
//	limiter := &quota.Limiter{}
//	release, result, retryAfter := limiter.Admit(ctx, account, tokens, now)
//	if result == quota.Admitted {
//		defer func() { release(ran) }()
//	}
//
// On the coordinator, which sends the results to the entry nodes:
//
//	coordinator, allocator := &quota.Coordinator{}, &quota.Allocator{}
//	result, retryAfter := coordinator.Acquire(account, request, now)
//	share := allocator.Allocate(account.ID, node, demand, nodes, now)
//
// On the entry node, with the share that the coordinator sent:
//
//	limiter.SetShare(account.ID, share)
package quota

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/version/config"
)

const (
	// equalFraction of a limit is divided equally among the nodes when demand
	// exceeds the limit, so that a node without recent demand can admit
	// requests at once.
	equalFraction = 0.2
	// demandWeight is the weight of the last second in the moving average.
	demandWeight = 0.3
	// demandTTL is how long the demand that a node reported is used.
	demandTTL = 3 * time.Second
	// refusedWindow is the time after a refusal by the coordinator in which an account
	// counts as over its limit.
	refusedWindow = 2 * time.Second
	// burstPeriod times the rate is the default burst.
	burstPeriod = time.Second
	// maxDebtTime is the longest time for which one request may leave a bucket in debt: the
	// account's other callers are refused meanwhile.
	maxDebtTime = 8 * time.Second
	// maxBurst is the largest burst; a larger one has no effect that a caller could see.
	maxBurst = 1 << 53
	// maxRetryAfter bounds the time until a request may be retried that is larger than its
	// account's limits ever allow.
	maxRetryAfter = time.Hour
)

// Limiter enforces account limits on an entry node. The zero value is ready for
// use and safe for concurrent use.
type Limiter struct {
	// EqualShare returns the share of an account's limits that applies until
	// the coordinator has allocated one: 1 over the number of nodes. Nil is
	// a share of 1.
	EqualShare func() float64
	// Acquire takes a request's tokens from the account's buckets on its
	// coordinator; ok is false when the coordinator could not be reached. Nil
	// uses the local shares alone.
	Acquire func(ctx context.Context, a *config.Account, req AcquireRequest) (result Result, retryAfter time.Duration, ok bool)

	mu       sync.Mutex
	accounts map[ident.ClientAccount]*account
}

type account struct {
	requests *rate.Limiter
	tokens   *rate.Limiter
	refused  refusedSize
	// refusedAt is when the coordinator last refused a request of this node.
	refusedAt   time.Time
	inFlight    int
	share       float64
	isAllocated bool
	// offered is the load since the last call of Demand, refused requests
	// included, as a fraction of the account's limits per second; demand is its
	// moving average.
	offered float64
	demand  float64
	// pendingRefunds are acquisitions from the coordinator whose requests did
	// not run.
	pendingRefunds []pendingRefund
}

// Result is Admitted or names the limit that refused the request.
type Result string

// The results.
const (
	Admitted        Result = ""
	RequestsLimit   Result = "requests_per_second"
	TokensLimit     Result = "tokens_per_second"
	ConcurrentLimit Result = "concurrent_requests"
)

// Admit charges a request of the given number of tokens to the account's
// limits. If the request is admitted, the caller must call release when the
// request ends. Otherwise retryAfter is the time until the rate allows it, or one
// second for ConcurrentLimit.
func (l *Limiter) Admit(ctx context.Context, a *config.Account, tokens ident.Tokens, now time.Time) (release Release, result Result, retryAfter time.Duration) {
	return l.admit(ctx, a, AcquireRequest{Tokens: tokens}, now)
}

// AdmitResumption is Admit for a request that takes up a stream, which goes before requests
// that begin one: see acquireResumption.
func (l *Limiter) AdmitResumption(ctx context.Context, a *config.Account, tokens ident.Tokens, now time.Time) (release Release, result Result, retryAfter time.Duration) {
	return l.admit(ctx, a, AcquireRequest{Tokens: tokens, IsResumption: true}, now)
}

func (l *Limiter) admit(ctx context.Context, a *config.Account, req AcquireRequest, now time.Time) (release Release, result Result, retryAfter time.Duration) {
	tokens := req.Tokens
	if retryAfter, ok := exceedsLimit(a, tokens); ok {
		return nil, TokensLimit, retryAfter
	}
	acct, refund, ok := l.acquireSlot(a, tokens, now)
	if !ok {
		return nil, ConcurrentLimit, time.Second
	}
	isUnlimited := a.RequestsPerSecond <= 0 && a.TokensPerSecond <= 0
	isFromCoordinator := false
	if !isUnlimited && l.Acquire != nil {
		result, retryAfter, isFromCoordinator = l.Acquire(ctx, a, AcquireRequest{Tokens: tokens, Refund: refund, IsResumption: req.IsResumption})
	}
	switch {
	case isUnlimited:
	case !isFromCoordinator:
		result, retryAfter = l.acquireFromShare(acct, req, now)
	default:
		l.drawFromShare(acct, tokens, result, now)
	}
	if result != Admitted {
		l.releaseSlot(acct)
		return nil, result, retryAfter
	}
	var once sync.Once
	return func(ran bool) {
		once.Do(func() {
			if !ran && !isUnlimited {
				l.refund(a, acct, tokens, isFromCoordinator, now)
			}
			l.releaseSlot(acct)
		})
	}, Admitted, 0
}

// refund refunds one request and its tokens, which were acquired at acquiredAt by a
// request that did not run.
func (l *Limiter) refund(a *config.Account, acct *account, tokens ident.Tokens, isFromCoordinator bool, acquiredAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if isFromCoordinator {
		acct.pendingRefunds = append(acct.pendingRefunds, pendingRefund{acquiredAt, tokens})
		l.scheduleRefund(a, acct)
		return
	}
	now := time.Now()
	if now.Sub(acquiredAt) < refundTTL {
		credit(acct.requests, 1, now)
		credit(acct.tokens, int(tokens), now)
	}
}

// acquireSlot counts a request as in flight and returns the pending refund of
// earlier requests. ok is false when the concurrency limit is reached.
func (l *Limiter) acquireSlot(a *config.Account, tokens ident.Tokens, now time.Time) (acct *account, refund Refund, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	acct = l.account(a, now)
	acct.offered += limitFraction(a, tokens)
	if a.ConcurrentRequests > 0 && acct.inFlight >= l.concurrentLimit(a, acct) {
		return nil, Refund{}, false
	}
	acct.inFlight++
	return acct, acct.takeRefund(now), true
}

// acquireFromShare charges a request to this node's share of the limits.
func (l *Limiter) acquireFromShare(acct *account, req AcquireRequest, now time.Time) (Result, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return acquireBoth(acct.requests, acct.tokens, &acct.refused, req, now)
}

// drawFromShare takes what the coordinator admitted from this node's share too, if it has
// refused requests of the account lately. That may leave the share in debt by about its
// burst.
//
// The load pattern behind it is a slow coordinator, which answers some requests in time
// and not others. Without it the nodes would give out their shares, which add up to the
// limit, besides what the coordinator admits.
func (l *Limiter) drawFromShare(acct *account, tokens ident.Tokens, result Result, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case result != Admitted:
		acct.refusedAt = now
	case now.Sub(acct.refusedAt) < refusedWindow:
		draw(acct.requests, 1, now)
		draw(acct.tokens, int(tokens), now)
	}
}

// limitFraction returns the fraction of the account's limits per second that a
// request uses, for the limit of which it uses the largest fraction.
func limitFraction(a *config.Account, tokens ident.Tokens) float64 {
	most := 0.0
	if a.RequestsPerSecond > 0 {
		most = 1 / a.RequestsPerSecond
	}
	if a.TokensPerSecond > 0 {
		most = max(most, float64(tokens)/a.TokensPerSecond)
	}
	return most
}

func (l *Limiter) releaseSlot(acct *account) {
	l.mu.Lock()
	defer l.mu.Unlock()
	acct.inFlight--
}

// concurrentLimit returns this node's share of the concurrency limit, at least 1.
func (l *Limiter) concurrentLimit(a *config.Account, acct *account) int {
	return max(int(float64(a.ConcurrentRequests)*l.shareOf(acct)+0.5), 1)
}

// shareOf returns the allocated share, or EqualShare until there is one.
func (l *Limiter) shareOf(acct *account) float64 {
	if acct.isAllocated || l.EqualShare == nil {
		return acct.share
	}
	return l.EqualShare()
}

// account returns an account's state, with its limiters set to this node's share
// of the current limits. If there is a coordinator, new limiters start at
// initialFill.
func (l *Limiter) account(a *config.Account, now time.Time) *account {
	if l.accounts == nil {
		l.accounts = map[ident.ClientAccount]*account{}
	}
	acct := l.accounts[a.ID]
	isNew := acct == nil
	if isNew {
		acct = &account{share: 1}
		l.accounts[a.ID] = acct
	}
	share := l.shareOf(acct)
	acct.requests = updateLimiter(acct.requests, a.RequestsPerSecond, a.RequestsPerSecond*burstPeriod.Seconds(), share, now)
	acct.tokens = updateLimiter(acct.tokens, a.TokensPerSecond, burstOf(a), share, now)
	if isNew && l.Acquire != nil {
		drain(acct.requests, 0, now)
		drain(acct.tokens, 0, now)
	}
	return acct
}

// Demand returns the moving average of each account's demand on this node, as a
// fraction of the account's limits. It must be called once a second.
func (l *Limiter) Demand() map[ident.ClientAccount]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make(map[ident.ClientAccount]float64, len(l.accounts))
	for id, acct := range l.accounts {
		acct.demand += demandWeight * (acct.offered - acct.demand)
		acct.offered = 0
		all[id] = acct.demand
	}
	return all
}

// SetShare sets the share of an account's limits that its coordinator allocated
// to this node. Shares of 0 or less, or above 1, are ignored, as are accounts for
// which Admit has not been called.
func (l *Limiter) SetShare(id ident.ClientAccount, share float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if acct := l.accounts[id]; acct != nil && share > 0 && share <= 1 {
		acct.share, acct.isAllocated = share, true
	}
}

// ClearShares makes EqualShare apply to all accounts again. It is used when shares are
// no longer allocated: those that were allocated among fewer nodes would add up to
// more than the limits.
func (l *Limiter) ClearShares() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, acct := range l.accounts {
		acct.isAllocated = false
	}
}

// Allocator divides the limits of the accounts that this node coordinates among
// the nodes. The zero value is ready for use and safe for concurrent use.
type Allocator struct {
	mu      sync.Mutex
	demands map[ident.ClientAccount]map[ident.NodeID]demand
}

type demand struct {
	rate float64
	at   time.Time
}

// Allocate records a node's demand, as a fraction of the account's limits, and
// returns the node's share. If the total demand is within the limits, each node
// gets its demand plus an equal part of the remainder; otherwise it gets a share
// in proportion to its demand. The shares of all nodes add up to at most 1 once
// each node has received a new one.
func (a *Allocator) Allocate(id ident.ClientAccount, node ident.NodeID, requested float64, nodes int, now time.Time) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.demands == nil {
		a.demands = map[ident.ClientAccount]map[ident.NodeID]demand{}
	}
	byNode := a.demands[id]
	if byNode == nil {
		byNode = map[ident.NodeID]demand{}
		a.demands[id] = byNode
	}
	byNode[node] = demand{max(requested, 0), now}
	sum := 0.0
	for other, d := range byNode {
		if now.Sub(d.at) > demandTTL {
			delete(byNode, other)
			continue
		}
		sum += d.rate
	}
	equal := 1 / float64(max(nodes, len(byNode), 1))
	if sum <= 1 {
		return byNode[node].rate + (1-sum)*equal
	}
	return equalFraction*equal + (1-equalFraction)*byNode[node].rate/sum
}
