package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/sched"
	"goldcrestwick/internal/process/trace"
	"goldcrestwick/internal/stand/apprun"
	"goldcrestwick/internal/stand/cloud"
	"goldcrestwick/internal/stand/pipes"
	"goldcrestwick/internal/stand/runner"
	"goldcrestwick/internal/version/config"
)

const (
	caseTokens   = 24
	caseDeadline = 60 * time.Second
	callerHost   = "caller"
	// cleanupTime is longer than all timeouts of the work that a killed node
	// leaves behind.
	cleanupTime = 15 * time.Minute
	// faultTime is the duration of a temporary fault. It is longer than the TTL
	// of a grant and than the suspicion timeout of a member.
	faultTime = 4 * time.Second
	// drainLimit is the time after which an endpoint that drains must get no
	// more requests.
	drainLimit = 3 * time.Second
)

const caseTree = `
[tier.top]
rank = 0
[tier.low]
rank = 1
[account.a]
key_sha256 = 2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683
tier = top
[account.b]
key_sha256 = 5e884898da28047151d0e56f8dc6292773603d0d6aabbdd62a11ef721d1542d8
tier = low
[pool.chat]
kind = model_runner
model = m
queue_requests = 8
window_tokens = 2048
[pool.bikes]
kind = application_runner
service = bikes
non_idempotent = POST /bookings
[endpoint.r1]
pool = chat
availability_zone = z1
[endpoint.r2]
pool = chat
availability_zone = z2
[endpoint.s1]
pool = bikes
availability_zone = z1
[endpoint.s2]
pool = bikes
availability_zone = z2
`

// accountKeys holds the bearer keys whose hashes are in caseTree, by account.
var accountKeys = map[string]string{"a": "key", "b": "password"}

// injection is a fault and the step at which it is injected.
type injection struct{ fault, step string }

// testCase is a fleet of three nodes with the faults to inject.
type testCase struct {
	t           *testing.T
	net         *pipes.Network
	fleet       *Fleet
	kind        string
	faultsArmed atomic.Bool
	mu          sync.Mutex
	// pending holds the faults that are still to be injected.
	pending []injection
	steps   []trace.Record
	// subject is the ID of the first attempt of the request under test, which
	// the faults affect. entry is the node that recorded its latest step, and
	// endpoint the one in the latest step that names an endpoint.
	subject          ident.RequestID
	entry            ident.NodeID
	endpoint         ident.Endpoint
	nextFault        runner.Fault
	nextServiceFault apprun.Fault
	drainingSince    map[ident.Endpoint]time.Time
	violations       []string
	slowed           map[ident.Endpoint]bool
	client           http.Client
	background       sync.WaitGroup
	stopping         bool
}

// runInBackground calls do in a goroutine, unless the case is stopping.
func (c *testCase) runInBackground(do func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.stopping {
		c.background.Go(do)
	}
}

func newCase(t *testing.T, kind string, injections []injection) *testCase {
	tree, err := config.Parse(map[string][]byte{"root.ini": []byte("[fleet]\nregion = r\n"), "teams/team.ini": []byte(caseTree)}, 1)
	qt.Assert(t, err, qt.IsNil)
	c := &testCase{t: t, net: &pipes.Network{}, kind: kind, pending: injections, drainingSince: map[ident.Endpoint]time.Time{}, slowed: map[ident.Endpoint]bool{}}
	c.fleet, err = Start(Options{
		Tree: tree, Nodes: 3, Network: InMemory(c.net),
		ConfigureNode: func(n *Node) { n.OnStep, n.OnDecision = c.onStep, c.onDecision },
		ConfigureRunner: func(id ident.Endpoint, r *runner.Runner) {
			r.InjectFault = func(request ident.RequestID) runner.Fault { return c.runnerFault(id, request) }
			r.OnSend = c.onToken
			r.Slowdown = func() float64 {
				c.mu.Lock()
				defer c.mu.Unlock()
				return map[bool]float64{true: 20}[c.slowed[id]]
			}
		},
	})
	qt.Assert(t, err, qt.IsNil)
	for _, s := range c.fleet.ApplicationRunners {
		s.InjectFault = c.serviceFault
	}
	c.client.Transport = &http.Transport{DialContext: c.net.Dial(callerHost), DisableKeepAlives: true}
	return c
}

func (c *testCase) stop() {
	c.mu.Lock()
	c.stopping = true
	c.mu.Unlock()
	c.background.Wait()
	c.fleet.Platform.SetFault(nil)
	c.net.Heal()
	c.fleet.Stop()
	// Requests in flight on killed nodes end by their own timeouts.
	time.Sleep(cleanupTime)
	synctest.Wait()
}

// onStep records each step of each request and injects the faults that are due
// at it. Every node calls it for the steps that it records.
func (c *testCase) onStep(r trace.Record) {
	c.mu.Lock()
	c.steps = append(c.steps, r)
	if !c.faultsArmed.Load() || r.Account != "team/a" || c.subject != "" && r.Request != c.subject {
		c.mu.Unlock()
		return
	}
	c.subject, c.entry = r.Request, r.Node
	if r.Endpoint != "" {
		c.endpoint = r.Endpoint
	}
	if r.Event == trace.Dispatched {
		c.checkDispatch(r)
	}
	c.mu.Unlock()
	switch r.Event {
	case trace.Accepted:
		c.injectAt("accept")
	case trace.Claimed:
		c.injectAt("claim")
	case trace.GrantRequested:
		c.injectAt("request_grant")
		c.runInBackground(func() {
			time.Sleep(20 * time.Millisecond)
			c.injectAt("wait")
		})
	case trace.GrantTaken:
		c.injectAt("grant")
	case trace.Dispatched:
		c.injectAt("dispatch")
	case trace.Finished:
		c.injectAt("finish")
	}
}

// checkDispatch records a violation if an endpoint gets a request later than
// drainLimit after it began to drain.
func (c *testCase) checkDispatch(r trace.Record) {
	if since, ok := c.drainingSince[r.Endpoint]; ok && time.Since(since) > drainLimit {
		c.violations = append(c.violations, fmt.Sprintf("%s got %s %s after it began to drain", r.Endpoint, r.Request, time.Since(since)))
	}
}

// onToken injects the faults that are due while an answer is streamed. The
// model runners call it before each token and before the end of the answer.
func (c *testCase) onToken(id ident.RequestID, tokens int, last bool) {
	c.mu.Lock()
	subject := c.faultsArmed.Load() && id == c.subject
	c.mu.Unlock()
	switch {
	case !subject:
	case last:
		c.injectAt("last_byte")
	case tokens == 0:
		c.injectAt("first_byte")
	case tokens == caseTokens/4:
		c.injectAt("mid_stream")
	}
}

// injectAt injects the pending faults of a step.
func (c *testCase) injectAt(step string) {
	c.mu.Lock()
	var due []injection
	var remaining []injection
	for _, i := range c.pending {
		if i.step == step {
			due = append(due, i)
			continue
		}
		remaining = append(remaining, i)
	}
	c.pending = remaining
	c.mu.Unlock()
	for _, i := range due {
		faults[i.fault](c)
	}
}

// onDecision records a violation if a request of the top tier is shed for
// overload, since there is a lower tier to shed.
func (c *testCase) onDecision(d sched.Decision) {
	if d.Request.Response.Reason == sched.ReasonOverload && d.Request.Tier == 0 {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.violations = append(c.violations, fmt.Sprintf("%s of the top tier was shed", d.Request.Request))
	}
}

// attempt is the result of one request of a caller.
type attempt struct {
	id       ident.RequestID
	complete bool
	reason   string
	run      string
	err      error
}

// sendSubject sends an attempt of the request under test, with each number to
// another node, and reads its answer.
func (c *testCase) sendSubject(number int) attempt {
	c.faultsArmed.Store(true)
	return c.sendTo(c.fleet.Nodes[number%len(c.fleet.Nodes)], c.kind, "a", "subject")
}

func (c *testCase) sendTo(n *Node, kind, account, text string) attempt {
	ctx, cancel := context.WithTimeout(c.t.Context(), 2*caseDeadline)
	defer cancel()
	resp, err := c.client.Do(c.newRequest(ctx, n, kind, account, text))
	if err != nil {
		return attempt{err: err}
	}
	defer resp.Body.Close() //nolint:errcheck // the body is read completely.
	a := attempt{id: ident.RequestID(resp.Header.Get("X-Request-Id"))}
	body, err := io.ReadAll(resp.Body)
	if resp.StatusCode == http.StatusOK && kind == "booking" {
		var reply apprun.Reply
		a.err = err
		a.complete = err == nil && json.Unmarshal(body, &reply) == nil && reply.Body == text && reply.Run == 1
		return a
	}
	a.parse(body, text)
	if !a.complete && a.reason == "" {
		a.err = err
	}
	return a
}

func (c *testCase) newRequest(ctx context.Context, n *Node, kind, account, text string) *http.Request {
	method, path, body := http.MethodPost, "/v1/completions", fmt.Sprintf(`{"model":"m","prompt":%q,"max_tokens":%d,"stream":true}`, text, caseTokens)
	if kind == "booking" {
		path, body = "/services/bikes/bookings", text
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+n.Address+path, bytes.NewBufferString(body))
	qt.Assert(c.t, err, qt.IsNil)
	r.Header.Set("Authorization", "Bearer "+accountKeys[account])
	r.Header.Set("X-Deadline", caseDeadline.String())
	if kind != "chat" {
		r.Header.Set("Idempotency-Key", text)
	}
	return r
}

// parse reads a stream or a refusal and compares the text of a stream with the
// answer expected for the prompt.
func (a *attempt) parse(body []byte, prompt string) {
	var text strings.Builder
	done := false
	for line := range strings.SplitSeq(string(body), "\n") {
		data, _ := strings.CutPrefix(line, "data: ")
		if data == "[DONE]" {
			done = true
		}
		var e struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
			Error struct {
				Reason string `json:"reason"`
				Run    string `json:"run"`
			} `json:"error"`
		}
		if json.Unmarshal([]byte(data), &e) != nil {
			continue
		}
		if e.Error.Reason != "" {
			a.reason, a.run = e.Error.Reason, e.Error.Run
		}
		for _, choice := range e.Choices {
			text.WriteString(choice.Text)
		}
	}
	a.complete = done && text.String() == strings.Join(runner.Answer(prompt, caseTokens), "")
	if done && !a.complete {
		a.reason = "mismatched: " + text.String()
	}
}

// checkInvariants checks that no request ID was dispatched to a model runner more
// than once, that all attempts with the same idempotency key together ran the
// request at most once, that no attempt got another
// request's answer, that refusals are correct and that there are no violations.
func (c *testCase) checkInvariants(attempts []attempt) {
	runs := map[ident.RequestID]int{}
	for _, r := range c.fleet.ModelRunners {
		for id, n := range r.RunCounts() {
			runs[id] += n
		}
	}
	for id, n := range runs {
		qt.Assert(c.t, n <= 1, qt.IsTrue, qt.Commentf("%s was dispatched %d times; %s", id, n, c.describe()))
	}
	bookings := 0
	for _, s := range c.fleet.ApplicationRunners {
		bookings += s.RunCounts()["subject"]
	}
	subjectRuns := c.subjectRuns(runs) + bookings
	if c.kind != "chat" {
		qt.Assert(c.t, subjectRuns <= 1, qt.IsTrue, qt.Commentf("requests with the idempotency key ran %d times; %s", subjectRuns, c.describe()))
	}
	for _, a := range attempts {
		qt.Assert(c.t, strings.HasPrefix(a.reason, "mismatched"), qt.IsFalse, qt.Commentf("%+v", a))
		c.checkRefusal(a, runs)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	qt.Assert(c.t, c.violations, qt.HasLen, 0)
}

func (c *testCase) checkRefusal(a attempt, runs map[ident.RequestID]int) {
	if a.complete {
		return
	}
	if a.err == nil {
		qt.Assert(c.t, a.reason, qt.Not(qt.Equals), "", qt.Commentf("neither complete nor refused: %+v; %s", a, c.describe()))
	}
	if a.run != "not_run" {
		return
	}
	qt.Assert(c.t, runs[a.id], qt.Equals, 0, qt.Commentf("reported as not_run, but ran: %+v; %s", a, c.describe()))
}

// subjectRuns counts the model runs of the request under test, over the request
// IDs of all its attempts.
func (c *testCase) subjectRuns(runs map[ident.RequestID]int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	ids := map[ident.RequestID]bool{}
	for _, r := range c.steps {
		if r.Account == "team/a" {
			ids[r.Request] = true
		}
	}
	n := 0
	for id := range ids {
		n += runs[id]
	}
	return n
}

// describe returns the trace of all attempts and the state of the nodes, for the
// message of a failed check.
func (c *testCase) describe() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var records []trace.Record
	for _, r := range c.steps {
		if r.Account == "team/a" {
			records = append(records, r)
		}
	}
	var b strings.Builder
	b.WriteString("\n" + trace.Explain(records))
	for _, n := range c.fleet.Nodes {
		fmt.Fprintf(&b, "%s sees %v, runs %+v\n", n.Process.Name, n.Members().Members, n.Cells().Loads())
	}
	return b.String()
}

func (c *testCase) runnerFault(_ ident.Endpoint, id ident.RequestID) runner.Fault {
	c.mu.Lock()
	defer c.mu.Unlock()
	if id != c.subject {
		return runner.Fault{}
	}
	f := c.nextFault
	c.nextFault = runner.Fault{}
	return f
}

func (c *testCase) serviceFault(r *http.Request) apprun.Fault {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ident.RequestID(r.Header.Get("X-Request-Id")) != c.subject {
		return apprun.Fault{}
	}
	f := c.nextServiceFault
	c.nextServiceFault = apprun.Fault{}
	return f
}

// platformFault sets a fault of the platform for faultTime. Reads of the instance
// list are affected only if f.Unavailable is set.
func (c *testCase) platformFault(f cloud.Fault) {
	c.fleet.Platform.SetFault(func(op cloud.Op) cloud.Fault {
		if op.Table == cloud.InstanceTable && !f.Unavailable {
			return cloud.Fault{}
		}
		return f
	})
	c.after(faultTime, func() { c.fleet.Platform.SetFault(nil) })
}

// after calls do in a goroutine after d.
func (c *testCase) after(d time.Duration, do func()) {
	c.runInBackground(func() {
		time.Sleep(d)
		do()
	})
}
