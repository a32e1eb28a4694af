package load

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"goldcrestwick/internal/request/ident"
)

const (
	// histogramLimit is the longest time kept, in microseconds.
	histogramLimit  = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

// Report is the outcome of a run.
type Report struct {
	Profile string  `json:"profile"`
	Seed    uint64  `json:"seed"`
	Rate    float64 `json:"arrivals_per_second"`
	Seconds float64 `json:"seconds"`
	// Tiers are in the order of the profile's classes.
	Tiers []*TierReport `json:"tiers"`
	// Refusals counts by reason and run.
	Refusals map[string]int `json:"refusals"`
	// Foreign counts answers that belonged to another request.
	Foreign int `json:"foreign_answers"`
	// Prompt, Cached and Repeated count prompt tokens as the answers' usage
	// says them; Lost counts those processed for answers that nobody got.
	Prompt int64 `json:"prompt_tokens"`
	Cached int64 `json:"cached_prompt_tokens"`
	Lost   int64 `json:"lost_prefill_tokens"`
	// Wasted is set by whoever has the endpoints at hand: tokens processed
	// although another endpoint had them cached.
	Wasted   int64 `json:"wasted_prefill_tokens"`
	Prefills int64 `json:"prefill_tokens"`

	FirstToken    Percentiles `json:"first_token_ms"`
	BetweenTokens Percentiles `json:"between_tokens_ms"`

	// Example is a request that was answered by a model runner.
	Example ident.RequestID `json:"example_request_id"`

	mu      sync.Mutex
	first   *hdrhistogram.Histogram
	between *hdrhistogram.Histogram
}

// TierReport is the part of one tier.
type TierReport struct {
	Tier    string `json:"tier"`
	Offered int    `json:"offered"`
	Whole   int    `json:"whole"`
	InTime  int    `json:"in_time"`
	Refused int    `json:"refused"`
	Broken  int    `json:"broken"`
	// Goodput is InTime over Offered.
	Goodput float64 `json:"goodput"`
}

// Percentiles are in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

func (r *Report) start(g *Generator) {
	r.Profile, r.Seed, r.Rate = g.Profile.Name, g.Seed, g.Rate
	r.Refusals = map[string]int{}
	r.first = hdrhistogram.New(1, histogramLimit, histogramDigits)
	r.between = hdrhistogram.New(1, histogramLimit, histogramDigits)
	for _, c := range g.Profile.Classes {
		r.tier(c.Tier)
	}
}

func (r *Report) tier(name string) *TierReport {
	for _, t := range r.Tiers {
		if t.Tier == name {
			return t
		}
	}
	t := &TierReport{Tier: name}
	r.Tiers = append(r.Tiers, t)
	return t
}

// skipped counts the turns of a chat that were not sent since one before them
// was not answered; they are offered work that got no answer.
func (r *Report) skipped(c *call, turns int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tier(c.class.Tier).Offered += turns
	if turns > 0 {
		r.Refusals["turn_not_reached"] += turns
	}
}

func (r *Report) add(o outcome, g *Generator) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tier(o.class.Tier)
	t.Offered++
	if o.foreign {
		r.Foreign++
	}
	if !o.whole {
		r.refusal(t, o)
		if g.Prefilled != nil && o.id != "" {
			r.Lost += int64(g.Prefilled(o.id))
		}
		return
	}
	t.Whole++
	if o.inTime() {
		t.InTime++
	}
	r.Prompt += o.prompt
	r.Cached += o.cached
	if o.tokens > 0 {
		r.Example = o.id
		record(r.first, o.first.Sub(o.began))
	}
	if o.tokens > 1 {
		record(r.between, o.ended.Sub(o.first)/time.Duration(o.tokens-1))
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	h.RecordValue(min(max(d.Microseconds(), 1), histogramLimit)) //nolint:errcheck // within the limits.
}

func (r *Report) refusal(t *TierReport, o outcome) {
	name := o.reason
	if o.run != "" {
		name += " " + o.run
	}
	r.Refusals[name]++
	if o.run == "not_run" {
		t.Refused++
		return
	}
	t.Broken++
}

func (r *Report) finish(took time.Duration) {
	r.Seconds = took.Seconds()
	for _, t := range r.Tiers {
		if t.Offered > 0 {
			t.Goodput = float64(t.InTime) / float64(t.Offered)
		}
	}
	r.FirstToken = percentiles(r.first)
	r.BetweenTokens = percentiles(r.between)
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Percentiles{at(50), at(95), at(99)}
}

// Goodput returns the answers in time over all tiers.
func (r *Report) Goodput() int {
	sum := 0
	for _, t := range r.Tiers {
		sum += t.InTime
	}
	return sum
}

// AllWhole reports whether every request got its whole, own answer.
func (r *Report) AllWhole() bool {
	for _, t := range r.Tiers {
		if t.Whole != t.Offered {
			return false
		}
	}
	return r.Foreign == 0
}

// WriteText writes the report for a person.
func (r *Report) WriteText(w io.Writer) error {
	var b strings.Builder
	say := func(form string, args ...any) { fmt.Fprintf(&b, form, args...) }
	say("profile %s, seed %d, %.1f arrivals a second, %.1f s\n\n", r.Profile, r.Seed, r.Rate, r.Seconds)
	table := tabwriter.NewWriter(&b, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "tier\toffered\twhole\tin time\trefused\tbroken\tgoodput\t") //nolint:errcheck // a builder never fails.
	for _, t := range r.Tiers {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%.1f%%\t\n", t.Tier, t.Offered, t.Whole, t.InTime, t.Refused, t.Broken, 100*t.Goodput) //nolint:errcheck // a builder never fails.
	}
	table.Flush() //nolint:errcheck // a builder never fails.
	say("\nfirst token    p50 %.0f ms, p95 %.0f ms, p99 %.0f ms\n", r.FirstToken.P50, r.FirstToken.P95, r.FirstToken.P99)
	say("between tokens p50 %.1f ms, p95 %.1f ms, p99 %.1f ms\n", r.BetweenTokens.P50, r.BetweenTokens.P95, r.BetweenTokens.P99)
	say("prompt tokens  %d answered, of them %d cached\n", r.Prompt, r.Cached)
	say("prefill        %d tokens, wasted %d (cached elsewhere), lost %d (answer not delivered)\n", r.Prefills, r.Wasted, r.Lost)
	for _, name := range r.reasons() {
		say("not answered   %s: %d\n", name, r.Refusals[name])
	}
	say("foreign answers: %d\n", r.Foreign)
	_, err := io.WriteString(w, b.String())
	return err
}

func (r *Report) reasons() []string {
	var names []string
	for name := range r.Refusals {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// WriteJSON writes the report for a program.
func (r *Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// WriteCSV writes a line for each tier.
func (r *Report) WriteCSV(w io.Writer) error {
	c := csv.NewWriter(w)
	c.Write([]string{"profile", "seed", "arrivals_per_second", "tier", "offered", "whole", "in_time", "refused", "broken"}) //nolint:errcheck // seen at the flush.
	for _, t := range r.Tiers {
		c.Write([]string{ //nolint:errcheck // seen at the flush.
			r.Profile, strconv.FormatUint(r.Seed, 10), strconv.FormatFloat(r.Rate, 'f', -1, 64), t.Tier,
			strconv.Itoa(t.Offered), strconv.Itoa(t.Whole), strconv.Itoa(t.InTime), strconv.Itoa(t.Refused), strconv.Itoa(t.Broken),
		})
	}
	c.Flush()
	return c.Error()
}
