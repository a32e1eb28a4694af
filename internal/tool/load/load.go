// Package load sends an open-loop workload through the callers' interface and
// measures what the promises of the project are about.
//
// Arrivals follow a plan drawn from a seed, whatever the answers; a request
// that is refused is not sent again. Every answer is checked against what the
// stand-in endpoints give for its own prompt.
//
// # Usage
//
//	g := &load.Generator{Profile: profile, Rate: 30, Length: 20 * time.Second, Seed: 1, Nodes: addresses, Key: key}
//	report := g.Run(ctx)
//	report.WriteText(os.Stdout)
package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"goldcrestwick/internal/request/ident"
	"goldcrestwick/internal/stand/runner"
)

const (
	// answerSlack is how long after its deadline an answer is still awaited.
	answerSlack  = 60 * time.Second
	maxEventLine = 1 << 20
	maxReply     = 8 << 20
	maxIdle      = 1024
)

// Generator sends one run of a workload. Set the fields, then call Run.
type Generator struct {
	Profile Profile
	// Rate is the mean number of arrivals a second; a chat counts once.
	Rate   float64
	Length time.Duration
	Seed   uint64
	// Nodes are entry addresses; each account asks one of them for its own.
	Nodes []string
	// Key returns the bearer key of an account.
	Key func(account string) string
	// Prefilled returns the prompt tokens processed for a request, when the
	// endpoints are at hand; nil leaves them out.
	Prefilled func(ident.RequestID) ident.Tokens
	// Dial opens connections; nil takes TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	client http.Client
	report Report
	mu     sync.Mutex
	known  map[string][]string
	turns  map[string]int
}

// Run sends the workload and returns when every answer is in.
func (g *Generator) Run(ctx context.Context) *Report {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdle, DialContext: g.Dial}
	defer transport.CloseIdleConnections()
	g.client.Transport = transport
	g.report.start(g)
	g.known = map[string][]string{}
	g.turns = map[string]int{}
	calls := plan(g.Profile, g.Rate, g.Length, g.Seed)
	var running sync.WaitGroup
	begin := time.Now()
	for i := range calls {
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(begin.Add(calls[i].at))):
		}
		if ctx.Err() != nil {
			break
		}
		running.Go(func() { g.serve(ctx, &calls[i]) })
	}
	running.Wait()
	g.report.finish(time.Since(begin))
	return &g.report
}

// serve sends one call, or all turns of a chat one after the other.
func (g *Generator) serve(ctx context.Context, c *call) {
	if c.class.Service != "" {
		g.send(ctx, c, g.serviceRequest(ctx, c), nil)
		return
	}
	messages := []message{}
	if c.class.Shared > 0 {
		messages = append(messages, message{"system", c.class.shared()})
	}
	for turn, text := range c.turns {
		messages = append(messages, message{"user", text})
		words := runner.Answer(promptOf(messages), c.output)
		if !g.send(ctx, c, g.modelRequest(ctx, c, messages), words) {
			g.report.skipped(c, len(c.turns)-turn-1)
			return
		}
		messages = append(messages, message{"assistant", strings.Join(words, "")})
	}
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func promptOf(messages []message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role + "\n" + m.Content + "\n")
	}
	return b.String()
}

func (g *Generator) modelRequest(ctx context.Context, c *call, messages []message) *http.Request {
	body, err := json.Marshal(map[string]any{
		"model": c.class.Model, "messages": messages, "max_tokens": c.output, "stream": true,
		"stream_options": map[string]bool{"include_usage": true},
	})
	if err != nil {
		panic(err) // strings and numbers always encode.
	}
	return g.request(ctx, c, http.MethodPost, "/v1/chat/completions", body)
}

func (g *Generator) serviceRequest(ctx context.Context, c *call) *http.Request {
	var body []byte
	if c.class.Method == http.MethodPost {
		body = fmt.Appendf(nil, "%s-%d-%d", c.class.Name, g.Seed, c.id)
	}
	r := g.request(ctx, c, c.class.Method, "/services/"+c.class.Service+c.class.Path, body)
	if c.class.Keyed {
		r.Header.Set("Idempotency-Key", string(body))
	}
	return r
}

func (g *Generator) request(ctx context.Context, c *call, method, path string, body []byte) *http.Request {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+g.address(ctx, c.account)+path, bytes.NewReader(body))
	if err != nil {
		panic(err) // the parts are all our own.
	}
	r.Header.Set("Authorization", "Bearer "+g.Key(c.account))
	r.Header.Set("X-Deadline", c.class.Deadline.String())
	return r
}

// address asks the fleet once for an account's addresses, then uses them in
// turn.
func (g *Generator) address(ctx context.Context, account string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.turns[account]++
	if len(g.known[account]) == 0 {
		g.known[account] = g.ask(ctx, account)
	}
	all := g.known[account]
	return all[g.turns[account]%len(all)]
}

func (g *Generator) ask(ctx context.Context, account string) []string {
	first := g.Nodes[0]
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+first+"/v1/addresses", nil)
	if err != nil {
		return []string{first}
	}
	r.Header.Set("Authorization", "Bearer "+g.Key(account))
	resp, err := g.client.Do(r)
	if err != nil {
		return []string{first}
	}
	defer resp.Body.Close() //nolint:errcheck // read to its end.
	var list struct {
		Addresses []struct {
			Address string `json:"address"`
		} `json:"addresses"`
	}
	if json.NewDecoder(resp.Body).Decode(&list) != nil || len(list.Addresses) == 0 {
		return []string{first}
	}
	var all []string
	for _, a := range list.Addresses {
		all = append(all, a.Address)
	}
	return all
}

// send sends a request and records how it went. It reports whether the whole
// answer came.
func (g *Generator) send(ctx context.Context, c *call, r *http.Request, words []string) bool {
	ctx, cancel := context.WithTimeout(ctx, c.class.Deadline+answerSlack)
	defer cancel()
	o := outcome{class: c.class, began: time.Now()}
	resp, err := g.client.Do(r.WithContext(ctx))
	if err != nil {
		o.reason = "no_answer"
		g.report.add(o, g)
		return false
	}
	defer resp.Body.Close() //nolint:errcheck // read to its end or given up.
	o.id = ident.RequestID(resp.Header.Get("X-Request-Id"))
	switch {
	case resp.StatusCode != http.StatusOK:
		o.readRefusal(resp.Body)
	case words == nil:
		o.readService(r, resp.Body)
	default:
		o.readStream(resp.Body, words)
	}
	o.ended = time.Now()
	g.report.add(o, g)
	return o.whole
}

// outcome is how one request went.
type outcome struct {
	class   *Class
	id      ident.RequestID
	began   time.Time
	first   time.Time
	ended   time.Time
	tokens  int
	cached  int64
	prompt  int64
	whole   bool
	foreign bool
	reason  string
	run     string
}

func (o *outcome) inTime() bool { return o.whole && o.ended.Sub(o.began) <= o.class.Deadline }

func (o *outcome) readRefusal(body io.Reader) {
	var refusal struct {
		Error struct {
			Reason string `json:"reason"`
			Run    string `json:"run"`
		} `json:"error"`
	}
	o.reason = "untyped_refusal"
	if json.NewDecoder(io.LimitReader(body, maxReply)).Decode(&refusal) == nil && refusal.Error.Reason != "" {
		o.reason, o.run = refusal.Error.Reason, refusal.Error.Run
	}
}

func (o *outcome) readService(r *http.Request, body io.Reader) {
	raw, err := io.ReadAll(io.LimitReader(body, maxReply))
	var reply struct {
		Method string `json:"method"`
		Path   string `json:"path"`
		Run    int    `json:"run"`
	}
	if err != nil || json.Unmarshal(raw, &reply) != nil {
		o.reason = "broken_answer"
		return
	}
	o.whole = true
	o.foreign = reply.Method != r.Method || !strings.HasSuffix(r.URL.Path, reply.Path)
	if o.class.Keyed && reply.Run != 1 {
		o.reason = "ran_more_than_once"
		o.whole = false
	}
}

// readStream reads server-sent events and compares the text with the answer
// that belongs to the prompt.
func (o *outcome) readStream(body io.Reader, want []string) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEventLine)
	var text strings.Builder
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			o.whole = true
			break
		}
		o.readEvent(data, &text)
	}
	if !o.whole && o.reason == "" {
		o.reason = "broken_answer"
	}
	if o.whole && text.String() != strings.Join(want, "") {
		o.whole, o.foreign, o.reason = false, true, "wrong_answer"
	}
}

func (o *outcome) readEvent(data string, text *strings.Builder) {
	var e struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
		Usage *struct {
			Prompt  int64 `json:"prompt_tokens"`
			Details struct {
				Cached int64 `json:"cached_tokens"`
			} `json:"prompt_tokens_details"`
		} `json:"usage"`
		Error *struct {
			Reason string `json:"reason"`
			Run    string `json:"run"`
		} `json:"error"`
	}
	if json.Unmarshal([]byte(data), &e) != nil {
		return
	}
	if e.Error != nil {
		o.reason, o.run = e.Error.Reason, e.Error.Run
	}
	if e.Usage != nil {
		o.prompt, o.cached = e.Usage.Prompt, e.Usage.Details.Cached
	}
	for _, c := range e.Choices {
		if c.Delta.Content == "" {
			continue
		}
		if o.tokens == 0 {
			o.first = time.Now()
		}
		o.tokens++
		text.WriteString(c.Delta.Content)
	}
}

var errNoNodes = errors.New("no entry address was given")

// Check reports what keeps the generator from running.
func (g *Generator) Check() error {
	if len(g.Nodes) == 0 {
		return errNoNodes
	}
	if g.Rate <= 0 || g.Length <= 0 {
		return fmt.Errorf("rate %v and length %s must be above 0", g.Rate, g.Length)
	}
	return nil
}
