// Package config reads the settings of the scheduler: the tree that teams
// share, and the settings of one process.
//
// A tree is a directory. root.ini holds what belongs to the whole fleet; each
// teams/NAME.ini is the subtree of one team and can name only its own tiers,
// accounts, pools, endpoints and rules. Reading collects every fault with its
// file, section, key and line, and returns either a complete tree or all the
// findings, never a part of a tree.
//
// # Usage
//
//	tree, err := config.Load(os.DirFS("examples/ekin"), 1)
//	if err != nil {
//		var findings config.Findings
//		errors.As(err, &findings) // each with its place
//	}
//	pool := tree.Pool("ekin/reports")
//
// A Tree is immutable once loaded, so many goroutines can share it and a
// request can keep the version by which it is judged.
package config

import (
	"net/http"
	"sort"
	"strings"
	"time"

	"goldcrestwick/internal/request/ident"
)

// Tree is one accepted version of the settings.
type Tree struct {
	Version  ident.Version
	Region   ident.Region
	Limits   Limits
	Teams    []*Team
	pools    map[ident.PoolID]*Pool
	accounts map[ident.ClientAccount]*Account
	byKey    map[[hashBytes]byte]*Account
	models   map[string][]*Pool
	services map[string][]*Pool
	// operators holds the operators by the hashes of their keys.
	operators map[[hashBytes]byte]*Operator
	// routes holds each host's routes, the longest prefix first.
	routes map[string][]*Route
	tiers  map[ranks]*Tier
}

// Operator may change one file of the tree.
type Operator struct {
	Name string
	// Team is empty for operators of root.ini.
	Team    ident.Team
	KeyHash [hashBytes]byte
}

// MayWrite reports whether the operator may change a file of the tree: its own
// team's, or root.ini and files of teams that do not exist yet.
func (o *Operator) MayWrite(file string, exists bool) bool {
	if o.Team == "" {
		return file == rootFile || !exists && teamOf(file) != ""
	}
	return teamOf(file) == o.Team
}

// OperatorByKey returns the operator whose key has a SHA-256, or nil.
func (t *Tree) OperatorByKey(hash [hashBytes]byte) *Operator { return t.operators[hash] }

// Limits bounds what one entry node holds for its callers.
type Limits struct {
	// BodyBytes is the largest request body.
	BodyBytes int64
	// HeaderBytes is the largest request header.
	HeaderBytes int64
	// HeldBytes bounds the request bodies that a node holds at once.
	HeldBytes int64
	// OpenRequests bounds the requests that a node serves at once.
	OpenRequests int
	// HeaderTimeout bounds the time until a caller's header is complete.
	HeaderTimeout time.Duration
	// BodyTimeout bounds the time until a caller's body is complete.
	BodyTimeout time.Duration
	// IdleTimeout closes connections without a request.
	IdleTimeout time.Duration
	// WriteTimeout bounds one write to a caller that does not read.
	WriteTimeout time.Duration
	// Deadline applies when the caller gives none.
	Deadline time.Duration
	// DeadlineLimit is the longest deadline that a caller can ask for.
	DeadlineLimit time.Duration
	// AddressesTTL is how long callers keep the answer of /v1/addresses.
	AddressesTTL time.Duration
	// ClaimRetention is how long a keyed outcome is kept.
	ClaimRetention time.Duration
	// ClaimWrites bounds the claim transactions of the whole fleet a second.
	ClaimWrites float64
}

// Team is the subtree of one team.
type Team struct {
	ID        ident.Team
	Tiers     []*Tier
	Accounts  []*Account
	Pools     []*Pool
	Endpoints []*Endpoint
	Rules     []*Rule
}

// Tier is one tier of service.
type Tier struct {
	Name string
	// Rank orders tiers: 0 is the highest.
	Rank ident.Tier
	// GroupEnd is the lowest tier that shares service with this one: while not all
	// can be served, each gets a part of what it asks for, higher ones more. A
	// GroupEnd that is not below Rank is none.
	GroupEnd ident.Tier
	// Deadline applies to requests of the tier that give none; 0 leaves it
	// to Limits.Deadline.
	Deadline time.Duration
}

// Account is one client account.
type Account struct {
	ID ident.ClientAccount
	// KeyHash is the SHA-256 of the bearer key.
	KeyHash [hashBytes]byte
	Tier    *Tier
	// Weight is the share of the account within its tier.
	Weight int
	// Requests and Tokens bound the rate a second; 0 is without limit.
	Requests float64
	Tokens   float64
	// Concurrent bounds the requests in flight; 0 is without limit.
	Concurrent int
	// BurstTokens may come at once; 0 takes a second's worth of Tokens.
	BurstTokens float64
	// PlainTokens is what a request without token counts counts for.
	PlainTokens ident.Tokens
	Team        *Team
	tierName    string
}

// Pool is a model or a service with the endpoints that can run it.
type Pool struct {
	ID   ident.PoolID
	Kind ident.Kind
	// Model is the name that callers ask for, for model runners.
	Model string
	// Service is the path element under /services, for application runners.
	Service string
	// CellSize is the mean number of endpoints in a cell.
	CellSize int
	// QueueRequests and QueueTokens bound the waiting requests of a cell.
	QueueRequests int
	QueueTokens   ident.Tokens
	// FirstTokenTarget and InterTokenTarget are the targets for model runners.
	FirstTokenTarget time.Duration
	InterTokenTarget time.Duration
	// Window is the first token window of each endpoint.
	Window ident.Tokens
	// Slots is the number of requests that an endpoint runs at once; 0 is not
	// known.
	Slots int
	// CacheTokens is the memory of an endpoint for prompts and answers; 0 is
	// not known.
	CacheTokens ident.Tokens
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int
	// CallTimeout bounds one call to an application runner.
	CallTimeout time.Duration
	// NonIdempotent lists operations that must not run twice.
	NonIdempotent []Operation
	Team          *Team
	operations    []string
}

// Operation is one method and path pattern of a service. A pattern that ends
// in /* covers every path below it.
type Operation struct {
	Method string
	Path   string
}

// Endpoint is one model runner or application runner known to the settings.
// Address may be empty when the platform's instance list gives it.
type Endpoint struct {
	ID         ident.Endpoint
	Pool       *Pool
	Zone       ident.AvailabilityZone
	Generation string
	Address    string
	// ChecksFencing says whether the endpoint refuses old fencing numbers.
	ChecksFencing bool
	poolName      string
}

// Rule moves matching requests to a tier. The first rule that matches wins.
type Rule struct {
	Name string
	// Account and Pool are names within the team; empty matches any.
	Account string
	Pool    string
	// OutputAtMost matches requests of at most so many output tokens; 0
	// matches any.
	OutputAtMost ident.Tokens
	Tier         *Tier
	tierName     string
}

// Pool returns the pool with an identifier, or nil.
func (t *Tree) Pool(id ident.PoolID) *Pool { return t.pools[id] }

// Account returns the client account with an identifier, or nil.
func (t *Tree) Account(id ident.ClientAccount) *Account { return t.accounts[id] }

// AccountByKey returns the account whose key has a SHA-256, or nil. The time
// it takes depends on the hash alone, not on the key.
func (t *Tree) AccountByKey(hash [hashBytes]byte) *Account { return t.byKey[hash] }

// Pools returns all pools in the order of their identifiers.
func (t *Tree) Pools() []*Pool {
	all := make([]*Pool, 0, len(t.pools))
	for _, p := range t.pools {
		all = append(all, p)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	return all
}

// PoolFor returns the pool that serves a model or a service to an account:
// the pool of its own team. It returns nil when the team has none.
func (t *Tree) PoolFor(account *Account, kind ident.Kind, name string) *Pool {
	named := t.models
	if kind == ident.ApplicationRunner {
		named = t.services
	}
	for _, p := range named[name] {
		if p.Team == account.Team {
			return p
		}
	}
	return nil
}

// TierOf returns the tier of a request by the rules of the account's team.
func (a *Account) TierOf(pool *Pool, output ident.Tokens) *Tier {
	for _, r := range a.Team.Rules {
		if r.matches(a, pool, output) {
			return r.Tier
		}
	}
	return a.Tier
}

// HighestTier returns the highest tier that a request of the account can have.
func (a *Account) HighestTier() *Tier {
	highest := a.Tier
	for _, r := range a.Team.Rules {
		if (r.Account == "" || r.Account == a.ID.Name()) && r.Tier.Rank < highest.Rank {
			highest = r.Tier
		}
	}
	return highest
}

func (r *Rule) matches(a *Account, pool *Pool, output ident.Tokens) bool {
	if r.Account != "" && r.Account != a.ID.Name() {
		return false
	}
	if r.Pool != "" && string(r.Pool) != shortName(pool.ID) {
		return false
	}
	return r.OutputAtMost == 0 || output <= r.OutputAtMost
}

// IsIdempotent reports whether an operation of the pool may run twice.
func (p *Pool) IsIdempotent(method, path string) bool {
	for _, op := range p.NonIdempotent {
		if op.Covers(method, path) {
			return false
		}
	}
	return true
}

// Covers reports whether the operation covers a method and path.
func (o Operation) Covers(method, path string) bool {
	if o.Method != method {
		return false
	}
	if below, ok := strings.CutSuffix(o.Path, "*"); ok {
		return strings.HasPrefix(path, below)
	}
	return o.Path == path
}

func shortName(id ident.PoolID) string {
	_, name, _ := strings.Cut(string(id), "/")
	return name
}

func parseOperation(text string) (Operation, bool) {
	method, path, ok := strings.Cut(text, " ")
	path = strings.TrimSpace(path)
	if !ok || !strings.HasPrefix(path, "/") || !knownMethods[method] {
		return Operation{}, false
	}
	return Operation{method, path}, true
}

var knownMethods = map[string]bool{
	http.MethodGet: true, http.MethodPost: true, http.MethodPut: true,
	http.MethodPatch: true, http.MethodDelete: true,
}
