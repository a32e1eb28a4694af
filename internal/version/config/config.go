// Package config parses and validates the settings of the scheduler: the tree
// that teams share, and the settings of one process.
//
// A tree of INI files is a directory. root.ini holds the settings of the whole fleet; each
// teams/NAME.ini is the subtree of one team and can refer only to that team's
// tiers, accounts, pools, endpoints and rules. Parsing collects every fault with
// its file, section, key and line, and returns either a complete tree or all
// findings, never part of a tree. NewTree builds a tree from other sources.
//
// # Usage
//
//	tree, err := config.Load(os.DirFS("examples/ekin"), 1)
//	var findings config.Findings
//	if errors.As(err, &findings) {
//		return findings // each with file, line, section and key
//	}
//	pool := tree.Pool("ekin/reports")
//
// A Tree is immutable once loaded, so many goroutines can share it and a
// request can keep using the version with which it was admitted.
package config

import (
	"net/http"
	"sort"
	"strings"
	"time"

	"goldcrestwick/internal/process/ident"
)

// Tree is one accepted version of the settings.
type Tree struct {
	Version ident.Version
	// Region is empty in a tree from NewTree.
	Region            ident.Region
	Limits            Limits
	Teams             []*Team
	pools             map[ident.PoolID]*Pool
	accounts          map[ident.ClientAccount]*Account
	accountsByKeyHash map[[sha256Bytes]byte]*Account
	// poolsByModel, poolsByService and operatorsByKeyHash are nil in a tree from
	// NewTree.
	poolsByModel       map[string][]*Pool
	poolsByService     map[string][]*Pool
	operatorsByKeyHash map[[sha256Bytes]byte]*Operator
	// routesByHost holds the routes of each host, longest prefix first. It and
	// tiersByRank are nil in a tree of INI files.
	routesByHost map[string][]*Route
	tiersByRank  map[rankPair]*Tier
}

// Operator is authorized to change files of the tree, see CanWrite.
type Operator struct {
	Name string
	// Team is empty for operators of root.ini.
	Team ident.Team
	// KeyHash is the SHA-256 hash of the operator's key.
	KeyHash [sha256Bytes]byte
}

// CanWrite reports whether the operator is authorized to change a file of the
// tree. An operator of a team can change that team's file. An operator of
// root.ini can change root.ini and create files for new teams.
func (o *Operator) CanWrite(file string, exists bool) bool {
	if o.Team == "" {
		return file == rootFileName || !exists && teamOfFile(file) != ""
	}
	return teamOfFile(file) == o.Team
}

// OperatorByKeyHash returns the operator whose key has the given SHA-256 hash, or
// nil.
func (t *Tree) OperatorByKeyHash(hash [sha256Bytes]byte) *Operator { return t.operatorsByKeyHash[hash] }

// Limits bounds the resources that one entry node spends on its callers.
type Limits struct {
	// BodyBytes is the largest request body.
	BodyBytes int64
	// HeaderBytes is the largest request header.
	HeaderBytes int64
	// TotalBodyBytes bounds the total size of the request bodies that a node buffers.
	TotalBodyBytes int64
	// OpenRequests bounds the requests that a node serves concurrently.
	OpenRequests int
	// HeaderTimeout bounds the time until a caller's header is complete.
	HeaderTimeout time.Duration
	// BodyTimeout bounds the time until a caller's body is complete.
	BodyTimeout time.Duration
	// IdleTimeout is how long a connection without a request stays open.
	IdleTimeout time.Duration
	// WriteTimeout bounds one write to a caller that does not read.
	WriteTimeout time.Duration
	// DefaultDeadline applies to requests without a deadline of their own.
	DefaultDeadline time.Duration
	// MaxDeadline is the longest deadline that a caller can set.
	MaxDeadline time.Duration
	// AddressesTTL is how long callers can cache the answer of /v1/addresses.
	AddressesTTL time.Duration
	// ClaimRetention is how long the outcome of a request with an idempotency
	// key is kept.
	ClaimRetention time.Duration
	// ClaimWritesPerSecond bounds the claim transactions per second of the whole fleet.
	ClaimWritesPerSecond float64
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

// Tier is one service tier.
type Tier struct {
	Name string
	// Rank orders tiers: 0 is the highest.
	Rank ident.Tier
	// GroupEnd is the rank of the lowest tier that shares service with this one:
	// under overload, each tier of the group gets a share of its demand, and
	// higher tiers get a larger one. A value not greater than Rank means that
	// the tier shares service with no lower tier.
	GroupEnd ident.Tier
	// Deadline is the default for requests of the tier without a deadline of
	// their own; if 0, Limits.DefaultDeadline applies.
	Deadline time.Duration
}

// Account is one client account.
type Account struct {
	ID ident.ClientAccount
	// KeyHash is the SHA-256 hash of the bearer key.
	KeyHash [sha256Bytes]byte
	Tier    *Tier
	// Weight is the share of the account within its tier, relative to the weights
	// of the tier's other accounts.
	Weight int
	// RequestsPerSecond is the rate limit on requests; 0 means no limit.
	RequestsPerSecond float64
	// TokensPerSecond is the rate limit on tokens; 0 means no limit.
	TokensPerSecond float64
	// ConcurrentRequests bounds the requests in flight; 0 means no limit.
	ConcurrentRequests int
	// BurstTokens is the burst size of the token rate limit; 0 means the tokens
	// of one second.
	BurstTokens float64
	// DefaultTokens is the number of tokens charged for a request that states no
	// token counts.
	DefaultTokens ident.Tokens
	Team          *Team
	tierName      string
}

// Pool is a model or a service, served by a set of interchangeable endpoints.
type Pool struct {
	ID   ident.PoolID
	Kind ident.EndpointKind
	// Model is the model name in callers' requests, for model runners.
	Model string
	// Service is the path element below /services, for application runners.
	Service string
	// CellSize is the mean number of endpoints in a cell.
	CellSize int
	// QueueRequests and QueueTokens bound the queue of a cell.
	QueueRequests int
	QueueTokens   ident.Tokens
	// FirstTokenTarget and InterTokenTarget are the latency targets for model
	// runners: time to first token and inter-token latency.
	FirstTokenTarget time.Duration
	InterTokenTarget time.Duration
	// InitialWindow is the congestion window of a new endpoint, in tokens.
	InitialWindow ident.Tokens
	// Slots is the number of requests that an endpoint runs concurrently; 0
	// means unknown.
	Slots int
	// CacheTokens is the KV cache capacity of an endpoint, which prompts and
	// answers share; 0 means unknown.
	CacheTokens ident.Tokens
	// TokensPerEvent is how many tokens one event of a stream carries.
	TokensPerEvent int
	// EventGapTarget is the longest time between two events of a stream that is in time; 0
	// means no target.
	EventGapTarget time.Duration
	// CallTimeout bounds one call to an application runner.
	CallTimeout time.Duration
	// NonIdempotent lists the operations that must not run twice.
	NonIdempotent      []Operation
	Team               *Team
	nonIdempotentTexts []string
}

// Operation is one method and path pattern of a service.
type Operation struct {
	Method string
	// Path is a pattern: one that ends in * matches every path that begins with
	// the rest, any other one only the same path.
	Path string
}

// Endpoint is one model runner or application runner listed in the settings.
// Address can be empty if the platform's instance list provides it.
type Endpoint struct {
	ID         ident.Endpoint
	Pool       *Pool
	Zone       ident.AvailabilityZone
	Generation string
	Address    string
	// ChecksFencing reports whether the endpoint rejects stale fencing numbers.
	ChecksFencing bool
	poolName      string
}

// Rule assigns matching requests to a tier. The first matching rule wins.
type Rule struct {
	Name string
	// Account and Pool are names within the team; an empty name matches any.
	Account string
	Pool    string
	// MaxOutputTokens is the largest output limit that the rule matches; 0
	// matches any.
	MaxOutputTokens ident.Tokens
	Tier            *Tier
	tierName        string
}

// Pool returns the pool with the given identifier, or nil.
func (t *Tree) Pool(id ident.PoolID) *Pool { return t.pools[id] }

// Account returns the client account with the given identifier, or nil.
func (t *Tree) Account(id ident.ClientAccount) *Account { return t.accounts[id] }

// AccountByKeyHash returns the account whose key has the given SHA-256 hash, or
// nil. Its running time depends only on the hash, not on the key.
func (t *Tree) AccountByKeyHash(hash [sha256Bytes]byte) *Account { return t.accountsByKeyHash[hash] }

// Pools returns all pools, sorted by identifier.
func (t *Tree) Pools() []*Pool {
	all := make([]*Pool, 0, len(t.pools))
	for _, p := range t.pools {
		all = append(all, p)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	return all
}

// PoolFor returns the pool of the account's team that serves the named model or
// service. It returns nil if the team has none, and always in a tree from NewTree.
func (t *Tree) PoolFor(account *Account, kind ident.EndpointKind, name string) *Pool {
	byName := t.poolsByModel
	if kind == ident.ApplicationRunner {
		byName = t.poolsByService
	}
	for _, p := range byName[name] {
		if p.Team == account.Team {
			return p
		}
	}
	return nil
}

// TierOf returns the tier of a request: that of the first matching rule of the
// account's team, or else the account's own tier. maxOutput is the request's
// limit of output tokens.
func (a *Account) TierOf(pool *Pool, maxOutput ident.Tokens) *Tier {
	for _, r := range a.Team.Rules {
		if r.matches(a, pool, maxOutput) {
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

func (r *Rule) matches(a *Account, pool *Pool, maxOutput ident.Tokens) bool {
	if r.Account != "" && r.Account != a.ID.Name() {
		return false
	}
	if r.Pool != "" && string(r.Pool) != poolNameInTeam(pool.ID) {
		return false
	}
	return r.MaxOutputTokens == 0 || maxOutput <= r.MaxOutputTokens
}

// IsIdempotent reports whether an operation of the pool may run twice.
func (p *Pool) IsIdempotent(method, path string) bool {
	for _, op := range p.NonIdempotent {
		if op.Matches(method, path) {
			return false
		}
	}
	return true
}

// Matches reports whether the operation applies to a method and path.
func (o Operation) Matches(method, path string) bool {
	if o.Method != method {
		return false
	}
	if prefix, ok := strings.CutSuffix(o.Path, "*"); ok {
		return strings.HasPrefix(path, prefix)
	}
	return o.Path == path
}

// poolNameInTeam returns the pool's identifier without the team.
func poolNameInTeam(id ident.PoolID) string {
	_, name, _ := strings.Cut(string(id), "/")
	return name
}

// parseOperation parses "METHOD /path".
func parseOperation(text string) (Operation, bool) {
	method, path, ok := strings.Cut(text, " ")
	path = strings.TrimSpace(path)
	if !ok || !strings.HasPrefix(path, "/") || !allowedMethods[method] {
		return Operation{}, false
	}
	return Operation{method, path}, true
}

var allowedMethods = map[string]bool{
	http.MethodGet: true, http.MethodPost: true, http.MethodPut: true,
	http.MethodPatch: true, http.MethodDelete: true,
}
