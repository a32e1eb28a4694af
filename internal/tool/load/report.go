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

	"goldcrestwick/internal/process/ident"
)

const (
	// histogramMaxMicros is the longest duration recorded, in microseconds;
	// longer ones are recorded as this value.
	histogramMaxMicros         = int64(10 * time.Minute / time.Microsecond)
	histogramSignificantDigits = 3
)

// Report holds the results of one workload.
type Report struct {
	Profile string  `json:"profile"`
	Seed    uint64  `json:"seed"`
	Rate    float64 `json:"arrivals_per_second"`
	Seconds float64 `json:"seconds"`
	// Tiers are in the order in which the profile's kinds of requests name them.
	Tiers []*TierReport `json:"tiers"`
	// Failures counts the requests without a complete answer by reason and by
	// the error's run field.
	Failures map[string]int `json:"refusals"`
	// Mismatched counts answers that differ from the expected one, as an answer to
	// another request does.
	Mismatched int `json:"foreign_answers"`
	// PromptTokens and CachedTokens are sums of the usage that the complete
	// answers report. LostPrefillTokens counts prompt tokens processed for requests
	// whose answer was not delivered completely, as far as their request ID is
	// known and Generator.PrefillTokens is set.
	PromptTokens      int64 `json:"prompt_tokens"`
	CachedTokens      int64 `json:"cached_prompt_tokens"`
	LostPrefillTokens int64 `json:"lost_prefill_tokens"`
	// WastedPrefillTokens counts prompt tokens processed although some endpoint,
	// which can be the same one, had them cached; PrefillTokens counts all prompt
	// tokens processed. The code that started the endpoints sets both.
	WastedPrefillTokens int64 `json:"wasted_prefill_tokens"`
	PrefillTokens       int64 `json:"prefill_tokens"`

	// Percentiles over the complete answers. The inter-token latency of an answer is
	// its mean: the time from its first token to its end, divided by the number of
	// its further tokens.
	TimeToFirstToken  Percentiles `json:"first_token_ms"`
	InterTokenLatency Percentiles `json:"between_tokens_ms"`

	// ExampleID is the ID of the last request that a model runner answered completely.
	// It serves as an example whose recorded steps can be shown. It is empty if there
	// is no such request.
	ExampleID ident.RequestID `json:"example_request_id"`

	mu              sync.Mutex
	firstTokenTimes *hdrhistogram.Histogram
	interTokenTimes *hdrhistogram.Histogram
}

// TierReport counts the requests of one tier.
//
// Complete counts the complete answers, which include mismatched answers of services
// but not those of model runners, and InTime those of them that ended by
// their request's deadline. Refused counts the requests that were answered with run
// "not_run", Failed the others that were sent and got no complete answer. Offered
// also counts the turns of a chat that were not sent because an earlier turn failed;
// with such turns, it exceeds the sum of Complete, Refused and Failed.
type TierReport struct {
	Tier     string `json:"tier"`
	Offered  int    `json:"offered"`
	Complete int    `json:"whole"`
	InTime   int    `json:"in_time"`
	Refused  int    `json:"refused"`
	Failed   int    `json:"broken"`
	// Goodput is InTime divided by Offered.
	Goodput float64 `json:"goodput"`
}

// Percentiles holds durations in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

func (r *Report) init(g *Generator) {
	r.Profile, r.Seed, r.Rate = g.Profile.Name, g.Seed, g.Rate
	r.Failures = map[string]int{}
	r.firstTokenTimes = hdrhistogram.New(1, histogramMaxMicros, histogramSignificantDigits)
	r.interTokenTimes = hdrhistogram.New(1, histogramMaxMicros, histogramSignificantDigits)
	for _, k := range g.Profile.Kinds {
		r.tier(k.Tier)
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

// addSkippedTurns counts the turns of a chat that were not sent because an
// earlier turn failed. They count as offered and not answered.
func (r *Report) addSkippedTurns(p *plannedRequest, turns int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tier(p.kind.Tier).Offered += turns
	if turns > 0 {
		r.Failures["turn_not_reached"] += turns
	}
}

func (r *Report) add(o outcome, g *Generator) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tier(o.kind.Tier)
	t.Offered++
	if o.mismatched {
		r.Mismatched++
	}
	if !o.complete {
		r.addFailure(t, o)
		if g.PrefillTokens != nil && o.id != "" {
			r.LostPrefillTokens += int64(g.PrefillTokens(o.id))
		}
		return
	}
	t.Complete++
	if o.inTime() {
		t.InTime++
	}
	r.PromptTokens += o.promptTokens
	r.CachedTokens += o.cachedTokens
	if o.outputTokens > 0 {
		r.ExampleID = o.id
		recordDuration(r.firstTokenTimes, o.firstToken.Sub(o.start))
	}
	if o.outputTokens > 1 {
		recordDuration(r.interTokenTimes, o.end.Sub(o.firstToken)/time.Duration(o.outputTokens-1))
	}
}

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	h.RecordValue(min(max(d.Microseconds(), 1), histogramMaxMicros)) //nolint:errcheck // the value is within the histogram's range.
}

func (r *Report) addFailure(t *TierReport, o outcome) {
	name := o.reason
	if o.run != "" {
		name += " " + o.run
	}
	r.Failures[name]++
	if o.run == "not_run" {
		t.Refused++
		return
	}
	t.Failed++
}

func (r *Report) finish(took time.Duration) {
	r.Seconds = took.Seconds()
	for _, t := range r.Tiers {
		if t.Offered > 0 {
			t.Goodput = float64(t.InTime) / float64(t.Offered)
		}
	}
	r.TimeToFirstToken = percentiles(r.firstTokenTimes)
	r.InterTokenLatency = percentiles(r.interTokenTimes)
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Percentiles{at(50), at(95), at(99)}
}

// TotalInTime returns the number of answers within their deadline over all
// tiers.
func (r *Report) TotalInTime() int {
	sum := 0
	for _, t := range r.Tiers {
		sum += t.InTime
	}
	return sum
}

// AllComplete reports whether every request got the complete answer to its own
// prompt.
func (r *Report) AllComplete() bool {
	for _, t := range r.Tiers {
		if t.Complete != t.Offered {
			return false
		}
	}
	return r.Mismatched == 0
}

// WriteText writes the report as text for people.
func (r *Report) WriteText(w io.Writer) error {
	var b strings.Builder
	printf := func(form string, args ...any) { fmt.Fprintf(&b, form, args...) }
	printf("profile %s, seed %d, %.1f arrivals a second, %.1f s\n\n", r.Profile, r.Seed, r.Rate, r.Seconds)
	table := tabwriter.NewWriter(&b, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "tier\toffered\twhole\tin time\trefused\tbroken\tgoodput\t") //nolint:errcheck // a strings.Builder never fails.
	for _, t := range r.Tiers {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%.1f%%\t\n", t.Tier, t.Offered, t.Complete, t.InTime, t.Refused, t.Failed, 100*t.Goodput) //nolint:errcheck // a strings.Builder never fails.
	}
	table.Flush() //nolint:errcheck // a strings.Builder never fails.
	printf("\nfirst token    p50 %.0f ms, p95 %.0f ms, p99 %.0f ms\n", r.TimeToFirstToken.P50, r.TimeToFirstToken.P95, r.TimeToFirstToken.P99)
	printf("between tokens p50 %.1f ms, p95 %.1f ms, p99 %.1f ms\n", r.InterTokenLatency.P50, r.InterTokenLatency.P95, r.InterTokenLatency.P99)
	printf("prompt tokens  %d answered, of them %d cached\n", r.PromptTokens, r.CachedTokens)
	printf("prefill        %d tokens, wasted %d (cached elsewhere), lost %d (answer not delivered)\n", r.PrefillTokens, r.WastedPrefillTokens, r.LostPrefillTokens)
	for _, name := range r.sortedReasons() {
		printf("not answered   %s: %d\n", name, r.Failures[name])
	}
	printf("foreign answers: %d\n", r.Mismatched)
	_, err := io.WriteString(w, b.String())
	return err
}

func (r *Report) sortedReasons() []string {
	var names []string
	for name := range r.Failures {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// WriteJSON writes the report as indented JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// WriteCSV writes a header and one row per tier.
func (r *Report) WriteCSV(w io.Writer) error {
	c := csv.NewWriter(w)
	c.Write([]string{"profile", "seed", "arrivals_per_second", "tier", "offered", "whole", "in_time", "refused", "broken"}) //nolint:errcheck // c.Error reports it after Flush.
	for _, t := range r.Tiers {
		c.Write([]string{ //nolint:errcheck // c.Error reports it after Flush.
			r.Profile, strconv.FormatUint(r.Seed, 10), strconv.FormatFloat(r.Rate, 'f', -1, 64), t.Tier,
			strconv.Itoa(t.Offered), strconv.Itoa(t.Complete), strconv.Itoa(t.InTime), strconv.Itoa(t.Refused), strconv.Itoa(t.Failed),
		})
	}
	c.Flush()
	return c.Error()
}
