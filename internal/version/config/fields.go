package config

import (
	"slices"
	"time"

	"goldcrestwick/internal/process/ident"
)

// Upper bounds of the integers in tree settings.
const (
	maxRequests = 1_000_000
	maxTokens   = 1_000_000_000
	maxCellSize = 256
	maxWeight   = 1000
)

func defaultLimits() Limits {
	return Limits{
		BodyBytes:            4 << 20,
		HeaderBytes:          32 << 10,
		TotalBodyBytes:       64 << 20,
		OpenRequests:         4096,
		HeaderTimeout:        10 * time.Second,
		BodyTimeout:          30 * time.Second,
		IdleTimeout:          2 * time.Minute,
		WriteTimeout:         30 * time.Second,
		DefaultDeadline:      2 * time.Minute,
		MaxDeadline:          2 * time.Hour,
		AddressesTTL:         20 * time.Second,
		ClaimRetention:       24 * time.Hour,
		ClaimWritesPerSecond: 200,
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
		InitialWindow:    16384,
		CallTimeout:      30 * time.Second,
	}
}

var fleetFields = []field[Tree]{
	{"region", true, stringSetter(func(t *Tree) *ident.Region { return &t.Region })},
}

var limitFields = []field[Limits]{
	{"body", false, byteSizeSetter(func(l *Limits) *int64 { return &l.BodyBytes })},
	{"header", false, byteSizeSetter(func(l *Limits) *int64 { return &l.HeaderBytes })},
	{"held_bodies", false, byteSizeSetter(func(l *Limits) *int64 { return &l.TotalBodyBytes })},
	{"open_requests", false, integerSetter(func(l *Limits) *int { return &l.OpenRequests }, 1, maxRequests)},
	{"header_timeout", false, durationSetter(func(l *Limits) *time.Duration { return &l.HeaderTimeout })},
	{"body_timeout", false, durationSetter(func(l *Limits) *time.Duration { return &l.BodyTimeout })},
	{"idle_timeout", false, durationSetter(func(l *Limits) *time.Duration { return &l.IdleTimeout })},
	{"write_timeout", false, durationSetter(func(l *Limits) *time.Duration { return &l.WriteTimeout })},
	{"deadline", false, durationSetter(func(l *Limits) *time.Duration { return &l.DefaultDeadline })},
	{"deadline_limit", false, durationSetter(func(l *Limits) *time.Duration { return &l.MaxDeadline })},
	{"addresses_ttl", false, durationSetter(func(l *Limits) *time.Duration { return &l.AddressesTTL })},
	{"claim_retention", false, durationSetter(func(l *Limits) *time.Duration { return &l.ClaimRetention })},
	{"claim_writes_per_second", false, rateSetter(func(l *Limits) *float64 { return &l.ClaimWritesPerSecond })},
}

var tierFields = []field[Tier]{
	{"rank", true, integerSetter(func(t *Tier) *ident.Tier { return &t.Rank }, 0, ident.MaxTiers-1)},
	{"deadline", false, durationSetter(func(t *Tier) *time.Duration { return &t.Deadline })},
}

var accountFields = []field[Account]{
	{"key_sha256", true, hashSetter(func(a *Account) *[sha256Bytes]byte { return &a.KeyHash })},
	{"tier", true, stringSetter(func(a *Account) *string { return &a.tierName })},
	{"weight", false, integerSetter(func(a *Account) *int { return &a.Weight }, 1, maxWeight)},
	{"requests_per_second", false, rateSetter(func(a *Account) *float64 { return &a.RequestsPerSecond })},
	{"tokens_per_second", false, rateSetter(func(a *Account) *float64 { return &a.TokensPerSecond })},
	{"concurrent_requests", false, integerSetter(func(a *Account) *int { return &a.ConcurrentRequests }, 1, maxRequests)},
}

var poolFields = []field[Pool]{
	{"kind", true, enumSetter(func(p *Pool) *ident.EndpointKind { return &p.Kind }, map[string]ident.EndpointKind{
		"model_runner": ident.ModelRunner, "application_runner": ident.ApplicationRunner,
	})},
	{"model", false, stringSetter(func(p *Pool) *string { return &p.Model })},
	{"service", false, stringSetter(func(p *Pool) *string { return &p.Service })},
	{"cell_size", false, integerSetter(func(p *Pool) *int { return &p.CellSize }, 1, maxCellSize)},
	{"queue_requests", false, integerSetter(func(p *Pool) *int { return &p.QueueRequests }, 1, maxRequests)},
	{"queue_tokens", false, integerSetter(func(p *Pool) *ident.Tokens { return &p.QueueTokens }, 1, maxTokens)},
	{"first_token_target", false, durationSetter(func(p *Pool) *time.Duration { return &p.FirstTokenTarget })},
	{"between_tokens_target", false, durationSetter(func(p *Pool) *time.Duration { return &p.InterTokenTarget })},
	{"window_tokens", false, integerSetter(func(p *Pool) *ident.Tokens { return &p.InitialWindow }, 1, maxTokens)},
	{"call_timeout", false, durationSetter(func(p *Pool) *time.Duration { return &p.CallTimeout })},
	{"non_idempotent", false, listSetter(func(p *Pool) *[]string { return &p.nonIdempotentTexts })},
}

var endpointFields = []field[Endpoint]{
	{"pool", true, stringSetter(func(e *Endpoint) *string { return &e.poolName })},
	{"availability_zone", true, stringSetter(func(e *Endpoint) *ident.AvailabilityZone { return &e.Zone })},
	{"generation", false, stringSetter(func(e *Endpoint) *string { return &e.Generation })},
	{"address", false, urlSetter(func(e *Endpoint) *string { return &e.Address })},
	{"order_fencing", false, enumSetter(func(e *Endpoint) *bool { return &e.ChecksFencing }, map[string]bool{
		"checked": true, "ignored": false,
	})},
}

var operatorFields = []field[Operator]{
	{"key_sha256", true, hashSetter(func(o *Operator) *[sha256Bytes]byte { return &o.KeyHash })},
}

var ruleFields = []field[Rule]{
	{"account", false, stringSetter(func(r *Rule) *string { return &r.Account })},
	{"pool", false, stringSetter(func(r *Rule) *string { return &r.Pool })},
	{"output_tokens_at_most", false, integerSetter(func(r *Rule) *ident.Tokens { return &r.MaxOutputTokens }, 1, maxTokens)},
	{"tier", true, stringSetter(func(r *Rule) *string { return &r.tierName })},
}

func sortStrings(s []string) { slices.Sort(s) }
