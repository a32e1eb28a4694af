package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Profile is the request mix of one example deployment.
type Profile struct {
	Name  string
	Team  string
	Kinds []RequestKind
}

// RequestKind is one kind of request in a Profile.
type RequestKind struct {
	Name string
	// Share is the relative share of the kind in the requests; each turn of a
	// chat is a request.
	Share float64
	// Accounts are chosen with equal probability.
	Accounts          []string
	Tier              string
	Model             string
	Service           string
	Method            string
	Path              string
	HasIdempotencyKey bool
	// PromptTokens and OutputTokens hold the lowest and the highest length,
	// which is log-uniformly distributed between them.
	PromptTokens [2]float64
	OutputTokens [2]float64
	// SystemPromptTokens is the length of the system message that starts all
	// prompts of the kind.
	SystemPromptTokens int
	// Turns is the number of turns of a chat. Each turn's prompt contains all
	// earlier turns and their answers. 0 means 1.
	Turns    int
	Deadline time.Duration
}

const (
	ekinTeam      = "ekin"
	sabarmatiTeam = "sabarmati"
)

// Profiles holds the request mixes of the two example deployments by name.
//
// The profile ekin models a crop data service: mostly short labels and summaries,
// some long reports, archive requests, and calls to a subsidy service. The profile
// sabarmati models a size finder for children's bikes: short size answers and frame
// lookups, chats of six turns, and calls to a bike booking service.
var Profiles = map[string]Profile{
	"ekin": {Name: "ekin", Team: ekinTeam, Kinds: []RequestKind{
		{
			Name: "crop_label", Share: 0.42, Accounts: []string{"grain_union", "agronomists", "co_op_offices"}, Tier: "label",
			Model: "crop-reader", PromptTokens: [2]float64{60, 300}, OutputTokens: [2]float64{2, 10}, SystemPromptTokens: 64, Deadline: 3 * time.Second,
		},
		{
			Name: "parcel_summary", Share: 0.28, Accounts: []string{"agronomists", "co_op_offices", "seed_traders"}, Tier: "summary",
			Model: "crop-reader", PromptTokens: [2]float64{300, 1500}, OutputTokens: [2]float64{40, 160}, SystemPromptTokens: 128, Deadline: 15 * time.Second,
		},
		{
			Name: "field_report", Share: 0.15, Accounts: []string{"grain_union", "co_op_offices"}, Tier: "report",
			Model: "season-writer", PromptTokens: [2]float64{1500, 6000}, OutputTokens: [2]float64{150, 600}, SystemPromptTokens: 512, Deadline: 60 * time.Second,
		},
		{
			Name: "night_archive", Share: 0.08, Accounts: []string{"archive"}, Tier: "archive",
			Model: "season-writer", PromptTokens: [2]float64{1000, 4000}, OutputTokens: [2]float64{100, 400}, SystemPromptTokens: 512, Deadline: 60 * time.Second,
		},
		{
			Name: "subsidy_claim", Share: 0.03, Accounts: []string{"co_op_offices"}, Tier: "label",
			Service: "subsidy", Method: "POST", Path: "/claims", HasIdempotencyKey: true, Deadline: 10 * time.Second,
		},
		{
			Name: "acreage_read", Share: 0.04, Accounts: []string{"agronomists"}, Tier: "label",
			Service: "subsidy", Method: "GET", Path: "/acreage/42", Deadline: 5 * time.Second,
		},
	}},
	"sabarmati": {Name: "sabarmati", Team: sabarmatiTeam, Kinds: []RequestKind{
		{
			Name: "size_answer", Share: 0.34, Accounts: []string{"shop_north", "shop_river", "shop_old_town"}, Tier: "counter",
			Model: "size-finder", PromptTokens: [2]float64{120, 500}, OutputTokens: [2]float64{8, 40}, SystemPromptTokens: 96, Deadline: 4 * time.Second,
		},
		{
			Name: "frame_lookup", Share: 0.20, Accounts: []string{"catalogue"}, Tier: "lookup",
			Model: "size-finder", PromptTokens: [2]float64{40, 150}, OutputTokens: [2]float64{4, 16}, Deadline: 5 * time.Second,
		},
		{
			Name: "fitting_chat", Share: 0.36, Accounts: []string{"shop_north", "shop_river", "shop_old_town", "home_parents"}, Tier: "chat",
			Model: "fit-advisor", PromptTokens: [2]float64{150, 600}, OutputTokens: [2]float64{40, 200}, SystemPromptTokens: 512, Turns: 6, Deadline: 60 * time.Second,
		},
		{
			Name: "bike_booking", Share: 0.04, Accounts: []string{"shop_north", "shop_river"}, Tier: "counter",
			Service: "bikes", Method: "POST", Path: "/bookings", HasIdempotencyKey: true, Deadline: 10 * time.Second,
		},
		{
			Name: "stock_read", Share: 0.06, Accounts: []string{"catalogue"}, Tier: "lookup",
			Service: "bikes", Method: "GET", Path: "/stock/7", Deadline: 5 * time.Second,
		},
	}},
}

// FindProfile returns the profile with the given name.
func FindProfile(name string) (Profile, error) {
	p, ok := Profiles[name]
	if !ok {
		return Profile{}, eris.Errorf("there is no profile %q; the profiles are ekin and sabarmati", name)
	}
	return p, nil
}

// plannedRequest is one request of the plan, or one chat with all its turns.
type plannedRequest struct {
	// offset is the time from the start of the run.
	offset    time.Duration
	kind      *RequestKind
	account   string
	index     int
	maxTokens int
	// turns holds the user's text of each turn of a chat; other requests have
	// one entry.
	turns []string
}

// planRequests returns the requests of a run. Their arrivals form a Poisson
// process; all random numbers come from the seed.
func planRequests(p Profile, rate float64, length time.Duration, seed uint64) []plannedRequest {
	random := rand.New(rand.NewPCG(seed, 1)) //nolint:gosec // the plan must be reproducible.
	var planned []plannedRequest
	for at := 0.0; ; {
		at += random.ExpFloat64() / rate
		if at >= length.Seconds() {
			return planned
		}
		next := plannedRequest{offset: time.Duration(at * float64(time.Second)), kind: pickKind(p, random), index: len(planned)}
		next.account = next.kind.Accounts[random.IntN(len(next.kind.Accounts))]
		next.maxTokens = int(logUniform(next.kind.OutputTokens, random))
		for turn := range max(next.kind.Turns, 1) {
			tokens := int(logUniform(next.kind.PromptTokens, random))
			next.turns = append(next.turns, randomText(fmt.Sprintf("%s %d/%d seed %d ", next.kind.Name, next.index, turn, seed), tokens, random))
		}
		planned = append(planned, next)
	}
}

func pickKind(p Profile, random *rand.Rand) *RequestKind {
	sum := 0.0
	for i := range p.Kinds {
		sum += p.Kinds[i].weight()
	}
	at := random.Float64() * sum
	for i := range p.Kinds {
		if at -= p.Kinds[i].weight(); at < 0 {
			return &p.Kinds[i]
		}
	}
	return &p.Kinds[len(p.Kinds)-1]
}

// weight returns the relative arrival rate of the kind: a chat arrives once
// for all its turns.
func (k *RequestKind) weight() float64 { return k.Share / float64(max(k.Turns, 1)) }

// logUniform returns a log-uniformly distributed number within bounds.
func logUniform(bounds [2]float64, random *rand.Rand) float64 {
	if bounds[0] <= 0 {
		return 0
	}
	return bounds[0] * math.Pow(bounds[1]/bounds[0], random.Float64())
}

var vocabulary = strings.Fields("wheat frame season parcel wheel acre inch child field north moisture saddle report stem river stock yield pedal rain height")

// randomText returns prefix followed by random words, at least tokens long if a
// token has bytesPerToken bytes.
func randomText(prefix string, tokens int, random *rand.Rand) string {
	var b strings.Builder
	b.WriteString(prefix)
	for b.Len() < tokens*bytesPerToken {
		b.WriteString(vocabulary[random.IntN(len(vocabulary))])
		b.WriteByte(' ')
	}
	return b.String()
}

const bytesPerToken = 4

// systemPrompt returns the system message that starts all prompts of the kind.
func (k *RequestKind) systemPrompt() string {
	random := rand.New(rand.NewPCG(uint64(len(k.Name)), 7)) //nolint:gosec // the prompt must be the same in every run.
	return randomText("instruction for "+k.Name+": ", k.SystemPromptTokens, random)
}
