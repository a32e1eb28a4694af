package config

import (
	"slices"
	"time"

	"goldcrestwick/internal/request/ident"
)

const (
	maxCount    = 1_000_000
	maxTokens   = 1_000_000_000
	maxCellSize = 256
	maxWeight   = 1000
)

func defaultLimits() Limits {
	return Limits{
		BodyBytes:      4 << 20,
		HeaderBytes:    32 << 10,
		HeldBytes:      64 << 20,
		OpenRequests:   4096,
		HeaderTimeout:  10 * time.Second,
		BodyTimeout:    30 * time.Second,
		IdleTimeout:    2 * time.Minute,
		WriteTimeout:   30 * time.Second,
		Deadline:       2 * time.Minute,
		DeadlineLimit:  2 * time.Hour,
		AddressesTTL:   20 * time.Second,
		ClaimRetention: 24 * time.Hour,
		ClaimWrites:    200,
	}
}

func defaultPool(id ident.PoolID, team *Team) *Pool {
	return &Pool{
		ID:               id,
		Team:             team,
		CellSize:         16,
		QueueRequests:    512,
		QueueTokens:      1 << 20,
		FirstTokenTarget: 1100 * time.Millisecond,
		InterTokenTarget: 78 * time.Millisecond,
		Window:           16384,
		CallTimeout:      30 * time.Second,
	}
}

var fleetFields = []field[Tree]{
	{"region", true, text(func(t *Tree) *ident.Region { return &t.Region })},
}

var limitFields = []field[Limits]{
	{"body", false, size(func(l *Limits) *int64 { return &l.BodyBytes })},
	{"header", false, size(func(l *Limits) *int64 { return &l.HeaderBytes })},
	{"held_bodies", false, size(func(l *Limits) *int64 { return &l.HeldBytes })},
	{"open_requests", false, count(func(l *Limits) *int { return &l.OpenRequests }, 1, maxCount)},
	{"header_timeout", false, span(func(l *Limits) *time.Duration { return &l.HeaderTimeout })},
	{"body_timeout", false, span(func(l *Limits) *time.Duration { return &l.BodyTimeout })},
	{"idle_timeout", false, span(func(l *Limits) *time.Duration { return &l.IdleTimeout })},
	{"write_timeout", false, span(func(l *Limits) *time.Duration { return &l.WriteTimeout })},
	{"deadline", false, span(func(l *Limits) *time.Duration { return &l.Deadline })},
	{"deadline_limit", false, span(func(l *Limits) *time.Duration { return &l.DeadlineLimit })},
	{"addresses_ttl", false, span(func(l *Limits) *time.Duration { return &l.AddressesTTL })},
	{"claim_retention", false, span(func(l *Limits) *time.Duration { return &l.ClaimRetention })},
	{"claim_writes_per_second", false, rate(func(l *Limits) *float64 { return &l.ClaimWrites })},
}

var tierFields = []field[Tier]{
	{"rank", true, count(func(t *Tier) *ident.Tier { return &t.Rank }, 0, ident.MaxTiers-1)},
	{"deadline", false, span(func(t *Tier) *time.Duration { return &t.Deadline })},
}

var accountFields = []field[Account]{
	{"key_sha256", true, keyHash(func(a *Account) *[hashBytes]byte { return &a.KeyHash })},
	{"tier", true, text(func(a *Account) *string { return &a.tierName })},
	{"weight", false, count(func(a *Account) *int { return &a.Weight }, 1, maxWeight)},
	{"requests_per_second", false, rate(func(a *Account) *float64 { return &a.Requests })},
	{"tokens_per_second", false, rate(func(a *Account) *float64 { return &a.Tokens })},
	{"concurrent_requests", false, count(func(a *Account) *int { return &a.Concurrent }, 1, maxCount)},
}

var poolFields = []field[Pool]{
	{"kind", true, oneOf(func(p *Pool) *ident.Kind { return &p.Kind }, map[string]ident.Kind{
		"model_runner": ident.ModelRunner, "application_runner": ident.ApplicationRunner,
	})},
	{"model", false, text(func(p *Pool) *string { return &p.Model })},
	{"service", false, text(func(p *Pool) *string { return &p.Service })},
	{"cell_size", false, count(func(p *Pool) *int { return &p.CellSize }, 1, maxCellSize)},
	{"queue_requests", false, count(func(p *Pool) *int { return &p.QueueRequests }, 1, maxCount)},
	{"queue_tokens", false, count(func(p *Pool) *ident.Tokens { return &p.QueueTokens }, 1, maxTokens)},
	{"first_token_target", false, span(func(p *Pool) *time.Duration { return &p.FirstTokenTarget })},
	{"between_tokens_target", false, span(func(p *Pool) *time.Duration { return &p.InterTokenTarget })},
	{"window_tokens", false, count(func(p *Pool) *ident.Tokens { return &p.Window }, 1, maxTokens)},
	{"call_timeout", false, span(func(p *Pool) *time.Duration { return &p.CallTimeout })},
	{"non_idempotent", false, list(func(p *Pool) *[]string { return &p.operations })},
}

var endpointFields = []field[Endpoint]{
	{"pool", true, text(func(e *Endpoint) *string { return &e.poolName })},
	{"availability_zone", true, text(func(e *Endpoint) *ident.AvailabilityZone { return &e.Zone })},
	{"generation", false, text(func(e *Endpoint) *string { return &e.Generation })},
	{"address", false, address(func(e *Endpoint) *string { return &e.Address })},
	{"order_fencing", false, oneOf(func(e *Endpoint) *bool { return &e.ChecksFencing }, map[string]bool{
		"checked": true, "ignored": false,
	})},
}

var operatorFields = []field[Operator]{
	{"key_sha256", true, keyHash(func(o *Operator) *[hashBytes]byte { return &o.KeyHash })},
}

var ruleFields = []field[Rule]{
	{"account", false, text(func(r *Rule) *string { return &r.Account })},
	{"pool", false, text(func(r *Rule) *string { return &r.Pool })},
	{"output_tokens_at_most", false, count(func(r *Rule) *ident.Tokens { return &r.OutputAtMost }, 1, maxTokens)},
	{"tier", true, text(func(r *Rule) *string { return &r.tierName })},
}

func sortStrings(s []string) { slices.Sort(s) }
