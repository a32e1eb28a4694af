package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Profile is a mix of requests like one deployment's.
type Profile struct {
	Name    string
	Team    string
	Classes []Class
}

// Class is one kind of request in a mix.
type Class struct {
	Name string
	// Share weighs the class among the arrivals.
	Share float64
	// Accounts are used evenly.
	Accounts []string
	Tier     string
	Model    string
	Service  string
	Method   string
	Path     string
	// Keyed requests carry an idempotency key.
	Keyed bool
	// Prompt and Output bound the lengths in tokens; they are spread evenly
	// over the logarithm.
	Prompt [2]float64
	Output [2]float64
	// Shared is the length in tokens of the instruction that all prompts of
	// the class begin with.
	Shared int
	// Turns is the number of turns of a chat; each turn sends all earlier
	// ones again.
	Turns    int
	Deadline time.Duration
}

const (
	ekinTeam      = "ekin"
	sabarmatiTeam = "sabarmati"
)

// Profiles are the mixes of the two deployments.
var Profiles = map[string]Profile{
	"ekin": {Name: "ekin", Team: ekinTeam, Classes: []Class{
		{
			Name: "crop_label", Share: 0.42, Accounts: []string{"grain_union", "agronomists", "co_op_offices"}, Tier: "label",
			Model: "crop-reader", Prompt: [2]float64{60, 300}, Output: [2]float64{2, 10}, Shared: 64, Deadline: 3 * time.Second,
		},
		{
			Name: "parcel_summary", Share: 0.28, Accounts: []string{"agronomists", "co_op_offices", "seed_traders"}, Tier: "summary",
			Model: "crop-reader", Prompt: [2]float64{300, 1500}, Output: [2]float64{40, 160}, Shared: 128, Deadline: 15 * time.Second,
		},
		{
			Name: "field_report", Share: 0.15, Accounts: []string{"grain_union", "co_op_offices"}, Tier: "report",
			Model: "season-writer", Prompt: [2]float64{1500, 6000}, Output: [2]float64{150, 600}, Shared: 512, Deadline: 60 * time.Second,
		},
		{
			Name: "night_archive", Share: 0.08, Accounts: []string{"archive"}, Tier: "archive",
			Model: "season-writer", Prompt: [2]float64{1000, 4000}, Output: [2]float64{100, 400}, Shared: 512, Deadline: 60 * time.Second,
		},
		{
			Name: "subsidy_claim", Share: 0.03, Accounts: []string{"co_op_offices"}, Tier: "label",
			Service: "subsidy", Method: "POST", Path: "/claims", Keyed: true, Deadline: 10 * time.Second,
		},
		{
			Name: "acreage_read", Share: 0.04, Accounts: []string{"agronomists"}, Tier: "label",
			Service: "subsidy", Method: "GET", Path: "/acreage/42", Deadline: 5 * time.Second,
		},
	}},
	"sabarmati": {Name: "sabarmati", Team: sabarmatiTeam, Classes: []Class{
		{
			Name: "size_answer", Share: 0.34, Accounts: []string{"shop_north", "shop_river", "shop_old_town"}, Tier: "counter",
			Model: "size-finder", Prompt: [2]float64{120, 500}, Output: [2]float64{8, 40}, Shared: 96, Deadline: 4 * time.Second,
		},
		{
			Name: "frame_lookup", Share: 0.20, Accounts: []string{"catalogue"}, Tier: "lookup",
			Model: "size-finder", Prompt: [2]float64{40, 150}, Output: [2]float64{4, 16}, Deadline: 5 * time.Second,
		},
		{
			Name: "fitting_chat", Share: 0.36, Accounts: []string{"shop_north", "shop_river", "shop_old_town", "home_parents"}, Tier: "chat",
			Model: "fit-advisor", Prompt: [2]float64{150, 600}, Output: [2]float64{40, 200}, Shared: 512, Turns: 6, Deadline: 60 * time.Second,
		},
		{
			Name: "bike_booking", Share: 0.04, Accounts: []string{"shop_north", "shop_river"}, Tier: "counter",
			Service: "bikes", Method: "POST", Path: "/bookings", Keyed: true, Deadline: 10 * time.Second,
		},
		{
			Name: "stock_read", Share: 0.06, Accounts: []string{"catalogue"}, Tier: "lookup",
			Service: "bikes", Method: "GET", Path: "/stock/7", Deadline: 5 * time.Second,
		},
	}},
}

// FindProfile returns a profile by its name.
func FindProfile(name string) (Profile, error) {
	p, ok := Profiles[name]
	if !ok {
		return Profile{}, eris.Errorf("there is no profile %q; known are ekin and sabarmati", name)
	}
	return p, nil
}

// call is one planned request.
type call struct {
	at      time.Duration
	class   *Class
	account string
	id      int
	output  int
	// turns holds the text of each turn of a chat; other calls have one.
	turns []string
}

// plan draws the arrivals of a run: a Poisson process whose every draw comes
// from the seed.
func plan(p Profile, rate float64, length time.Duration, seed uint64) []call {
	random := rand.New(rand.NewPCG(seed, 1)) //nolint:gosec // a plan must be repeatable.
	var calls []call
	for at := 0.0; ; {
		at += random.ExpFloat64() / rate
		if at >= length.Seconds() {
			return calls
		}
		c := call{at: time.Duration(at * float64(time.Second)), class: pick(p, random), id: len(calls)}
		c.account = c.class.Accounts[random.IntN(len(c.class.Accounts))]
		c.output = int(spread(c.class.Output, random))
		for turn := range max(c.class.Turns, 1) {
			tokens := int(spread(c.class.Prompt, random))
			c.turns = append(c.turns, prose(fmt.Sprintf("%s %d/%d seed %d ", c.class.Name, c.id, turn, seed), tokens, random))
		}
		calls = append(calls, c)
	}
}

func pick(p Profile, random *rand.Rand) *Class {
	sum := 0.0
	for i := range p.Classes {
		sum += p.Classes[i].weight()
	}
	at := random.Float64() * sum
	for i := range p.Classes {
		if at -= p.Classes[i].weight(); at < 0 {
			return &p.Classes[i]
		}
	}
	return &p.Classes[len(p.Classes)-1]
}

// weight makes a chat of several turns arrive once for all of them.
func (c *Class) weight() float64 { return c.Share / float64(max(c.Turns, 1)) }

func spread(bounds [2]float64, random *rand.Rand) float64 {
	if bounds[0] <= 0 {
		return 0
	}
	return bounds[0] * math.Pow(bounds[1]/bounds[0], random.Float64())
}

var words = strings.Fields("wheat frame season parcel wheel acre inch child field north moisture saddle report stem river stock yield pedal rain height")

func prose(start string, tokens int, random *rand.Rand) string {
	var b strings.Builder
	b.WriteString(start)
	for b.Len() < tokens*bytesPerToken {
		b.WriteString(words[random.IntN(len(words))])
		b.WriteByte(' ')
	}
	return b.String()
}

const bytesPerToken = 4

// shared returns the instruction that all prompts of a class begin with.
func (c *Class) shared() string {
	random := rand.New(rand.NewPCG(uint64(len(c.Name)), 7)) //nolint:gosec // the same in every run.
	return prose("instruction for "+c.Name+": ", c.Shared, random)
}
