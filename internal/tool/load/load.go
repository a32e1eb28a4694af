// Package load sends an open-loop workload through the callers' interface and
// measures goodput, latency and prefill work.
//
// Arrival times and prompts are generated from a seed; an arrival does not wait
// for earlier answers, and a refused request is not retried. Only the later turns
// of a chat wait for the complete answer to the turn before; their prompts contain
// the expected answers to the earlier turns. The answer of a model runner is
// compared with the one that the stand-in generates for the prompt, the answer of
// an application runner with the method and the path of the request.
//
// # Usage
//
//	g := &load.Generator{Profile: profile, Rate: 30, Duration: 20 * time.Second, Seed: 1, Nodes: addresses, APIKey: keyOf}
//	if err := g.Check(); err != nil {
//		return err
//	}
//	report := g.Run(ctx)
//	return report.WriteText(os.Stdout)
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

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/stand/runner"
)

const (
	// lateAnswerWait is how long the client waits for an answer after the
	// request's deadline.
	lateAnswerWait      = 60 * time.Second
	maxEventLineBytes   = 1 << 20
	maxResponseBytes    = 8 << 20
	maxIdleConnsPerHost = 1024
)

// Generator sends a workload once. Set the exported fields, then call Run, which
// must not be called again.
type Generator struct {
	Profile Profile
	// Rate is the mean number of arrivals per second. A chat counts as one
	// arrival, whatever its number of turns.
	Rate float64
	// Duration is the time in which requests arrive.
	Duration time.Duration
	Seed     uint64
	// Nodes holds host:port addresses of entry nodes. Only the first one is used:
	// each account queries it for the addresses it is to use, and uses the first
	// one itself if that fails.
	Nodes []string
	// APIKey returns the bearer key of an account.
	APIKey func(account string) string
	// PrefillTokens returns the number of prompt tokens processed for a request.
	// If it is nil, the report leaves out the lost prefill tokens.
	PrefillTokens func(ident.RequestID) ident.Tokens
	// Dial opens connections; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	httpClient   http.Client
	report       Report
	mu           sync.Mutex
	addresses    map[string][]string
	addressIndex map[string]int
}

// Run sends the workload and returns once every request has completed. When ctx
// is done, Run sends no more requests and cancels those in flight. It panics if
// Nodes is empty; see Check.
func (g *Generator) Run(ctx context.Context) *Report {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost, DialContext: g.Dial}
	defer transport.CloseIdleConnections()
	g.httpClient.Transport = transport
	g.report.init(g)
	g.addresses = map[string][]string{}
	g.addressIndex = map[string]int{}
	planned := planRequests(g.Profile, g.Rate, g.Duration, g.Seed)
	var inFlight sync.WaitGroup
	started := time.Now()
	for i := range planned {
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(started.Add(planned[i].offset))):
		}
		if ctx.Err() != nil {
			break
		}
		inFlight.Go(func() { g.sendAll(ctx, &planned[i]) })
	}
	inFlight.Wait()
	g.report.finish(time.Since(started))
	return &g.report
}

// sendAll sends one planned request, or all turns of a chat in sequence.
func (g *Generator) sendAll(ctx context.Context, p *plannedRequest) {
	if p.kind.Service != "" {
		g.send(ctx, p, g.newServiceRequest(ctx, p), nil)
		return
	}
	messages := []message{}
	if p.kind.SystemPromptTokens > 0 {
		messages = append(messages, message{"system", p.kind.systemPrompt()})
	}
	for turn, text := range p.turns {
		messages = append(messages, message{"user", text})
		tokens := runner.Answer(renderPrompt(messages), p.maxTokens)
		if !g.send(ctx, p, g.newModelRequest(ctx, p, messages), tokens) {
			g.report.addSkippedTurns(p, len(p.turns)-turn-1)
			return
		}
		messages = append(messages, message{"assistant", strings.Join(tokens, "")})
	}
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func renderPrompt(messages []message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role + "\n" + m.Content + "\n")
	}
	return b.String()
}

func (g *Generator) newModelRequest(ctx context.Context, p *plannedRequest, messages []message) *http.Request {
	body, err := json.Marshal(map[string]any{
		"model": p.kind.Model, "messages": messages, "max_tokens": p.maxTokens, "stream": true,
		"stream_options": map[string]bool{"include_usage": true},
	})
	if err != nil {
		panic(err) // strings, numbers and booleans always encode.
	}
	return g.newRequest(ctx, p, http.MethodPost, "/v1/chat/completions", body)
}

func (g *Generator) newServiceRequest(ctx context.Context, p *plannedRequest) *http.Request {
	var body []byte
	if p.kind.Method == http.MethodPost {
		body = fmt.Appendf(nil, "%s-%d-%d", p.kind.Name, g.Seed, p.index)
	}
	r := g.newRequest(ctx, p, p.kind.Method, "/services/"+p.kind.Service+p.kind.Path, body)
	if p.kind.HasIdempotencyKey {
		r.Header.Set("Idempotency-Key", string(body))
	}
	return r
}

func (g *Generator) newRequest(ctx context.Context, p *plannedRequest, method, path string, body []byte) *http.Request {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+g.nextAddress(ctx, p.account)+path, bytes.NewReader(body))
	if err != nil {
		panic(err) // the method and the URL come from a built-in profile.
	}
	r.Header.Set("Authorization", "Bearer "+g.APIKey(p.account))
	r.Header.Set("X-Deadline", p.kind.Deadline.String())
	return r
}

// nextAddress returns the next address of an account, in round-robin order. It
// fetches the addresses on the account's first request.
func (g *Generator) nextAddress(ctx context.Context, account string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.addressIndex[account]++
	if len(g.addresses[account]) == 0 {
		g.addresses[account] = g.fetchAddresses(ctx, account)
	}
	candidates := g.addresses[account]
	return candidates[g.addressIndex[account]%len(candidates)]
}

func (g *Generator) fetchAddresses(ctx context.Context, account string) []string {
	firstNode := g.Nodes[0]
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+firstNode+"/v1/addresses", nil)
	if err != nil {
		return []string{firstNode}
	}
	r.Header.Set("Authorization", "Bearer "+g.APIKey(account))
	resp, err := g.httpClient.Do(r)
	if err != nil {
		return []string{firstNode}
	}
	defer resp.Body.Close() //nolint:errcheck // the body is not needed any more.
	var list struct {
		Addresses []struct {
			Address string `json:"address"`
		} `json:"addresses"`
	}
	if json.NewDecoder(resp.Body).Decode(&list) != nil || len(list.Addresses) == 0 {
		return []string{firstNode}
	}
	var addresses []string
	for _, a := range list.Addresses {
		addresses = append(addresses, a.Address)
	}
	return addresses
}

// send sends a request and adds its outcome to the report. It reports whether
// the complete answer arrived. If wantTokens is nil, the answer is that of a
// service.
func (g *Generator) send(ctx context.Context, p *plannedRequest, r *http.Request, wantTokens []string) bool {
	ctx, cancel := context.WithTimeout(ctx, p.kind.Deadline+lateAnswerWait)
	defer cancel()
	o := outcome{kind: p.kind, start: time.Now()}
	resp, err := g.httpClient.Do(r.WithContext(ctx))
	if err != nil {
		o.reason = "no_answer"
		g.report.add(o, g)
		return false
	}
	defer resp.Body.Close() //nolint:errcheck // the body is not needed any more.
	o.id = ident.RequestID(resp.Header.Get("X-Request-Id"))
	switch {
	case resp.StatusCode != http.StatusOK:
		o.readRefusal(resp.Body)
	case wantTokens == nil:
		o.readServiceAnswer(r, resp.Body)
	default:
		o.readStream(resp.Body, wantTokens)
	}
	o.end = time.Now()
	g.report.add(o, g)
	return o.complete
}

// outcome is the result of one request. Its reason and run are those of the error
// answer; the client sets a reason of its own for an answer that it rejects.
type outcome struct {
	kind         *RequestKind
	id           ident.RequestID
	start        time.Time
	firstToken   time.Time
	end          time.Time
	outputTokens int
	cachedTokens int64
	promptTokens int64
	complete     bool
	mismatched   bool
	reason       string
	run          string
}

func (o *outcome) inTime() bool { return o.complete && o.end.Sub(o.start) <= o.kind.Deadline }

func (o *outcome) readRefusal(body io.Reader) {
	var refusal struct {
		Error struct {
			Reason string `json:"reason"`
			Run    string `json:"run"`
		} `json:"error"`
	}
	o.reason = "untyped_refusal"
	if json.NewDecoder(io.LimitReader(body, maxResponseBytes)).Decode(&refusal) == nil && refusal.Error.Reason != "" {
		o.reason, o.run = refusal.Error.Reason, refusal.Error.Run
	}
}

func (o *outcome) readServiceAnswer(r *http.Request, body io.Reader) {
	raw, err := io.ReadAll(io.LimitReader(body, maxResponseBytes))
	var reply struct {
		Method string `json:"method"`
		Path   string `json:"path"`
		Run    int    `json:"run"`
	}
	if err != nil || json.Unmarshal(raw, &reply) != nil {
		o.reason = "broken_answer"
		return
	}
	o.complete = true
	o.mismatched = reply.Method != r.Method || !strings.HasSuffix(r.URL.Path, reply.Path)
	if o.kind.HasIdempotencyKey && reply.Run != 1 {
		o.reason = "ran_more_than_once"
		o.complete = false
	}
}

// readStream reads server-sent events and compares their text with the expected
// answer.
func (o *outcome) readStream(body io.Reader, wantTokens []string) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEventLineBytes)
	var text strings.Builder
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			o.complete = true
			break
		}
		o.readEvent(data, &text)
	}
	if !o.complete && o.reason == "" {
		o.reason = "broken_answer"
	}
	if o.complete && text.String() != strings.Join(wantTokens, "") {
		o.complete, o.mismatched, o.reason = false, true, "wrong_answer"
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
		o.promptTokens, o.cachedTokens = e.Usage.Prompt, e.Usage.Details.Cached
	}
	for _, c := range e.Choices {
		if c.Delta.Content == "" {
			continue
		}
		if o.outputTokens == 0 {
			o.firstToken = time.Now()
		}
		o.outputTokens++
		text.WriteString(c.Delta.Content)
	}
}

var errNoNodeAddress = errors.New("no entry address given")

// Check returns an error if the Generator has no node addresses, or if its rate
// or duration is not above 0.
func (g *Generator) Check() error {
	if len(g.Nodes) == 0 {
		return errNoNodeAddress
	}
	if g.Rate <= 0 || g.Duration <= 0 {
		return fmt.Errorf("rate %v and duration %s must be above 0", g.Rate, g.Duration)
	}
	return nil
}
