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

	"goldcrestwick/internal/process/sched"
	"goldcrestwick/internal/process/trace"
	"goldcrestwick/internal/request/ident"
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
	lastTimeout  = 15 * time.Minute
	// faultTime is how long a passing fault lasts: longer than a grant lives
	// and than a member can be suspected.
	faultTime = 4 * time.Second
	// leavingTime is how soon a leaving endpoint must get nothing new.
	leavingTime = 3 * time.Second
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

// keys are the bearer keys whose hashes stand in caseTree.
var caseKeys = map[string]string{"a": "key", "b": "password"}

// injection is a fault at a step.
type injection struct{ fault, step string }

// testCase is one run of a small fleet with faults.
type testCase struct {
	t     *testing.T
	net   *pipes.Net
	fleet *Fleet
	kind  string
	armed atomic.Bool
	mu    sync.Mutex
	// pending are the faults not brought about yet.
	pending []injection
	steps   []trace.Record
	// subject is the request that the faults aim at, and where it went.
	subject  ident.RequestID
	entry    ident.NodeID
	endpoint ident.Endpoint
	next     runner.Fault
	nextCall apprun.Fault
	left     map[ident.Endpoint]time.Time
	sheds    []string
	slow     map[ident.Endpoint]bool
	client   http.Client
	extra    sync.WaitGroup
	stopping bool
}

// spawn does something beside the case, unless the case is at its end.
func (c *testCase) spawn(do func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.stopping {
		c.extra.Go(do)
	}
}

func newCase(t *testing.T, kind string, injections []injection) *testCase {
	tree, err := config.Parse(map[string][]byte{"root.ini": []byte("[fleet]\nregion = r\n"), "teams/team.ini": []byte(caseTree)}, 1)
	qt.Assert(t, err, qt.IsNil)
	c := &testCase{t: t, net: &pipes.Net{}, kind: kind, pending: injections, left: map[ident.Endpoint]time.Time{}, slow: map[ident.Endpoint]bool{}}
	c.fleet, err = Start(Options{
		Tree: tree, Nodes: 3, Network: InMemory(c.net),
		Prepare: func(n *Node) { n.Step, n.Decided = c.step, c.decided },
		PrepareRunner: func(id ident.Endpoint, r *runner.Runner) {
			r.Fault = func(request ident.RequestID) runner.Fault { return c.runnerFault(id, request) }
			r.Sent = c.sent
			r.Slowdown = func() float64 {
				c.mu.Lock()
				defer c.mu.Unlock()
				return map[bool]float64{true: 20}[c.slow[id]]
			}
		},
	})
	qt.Assert(t, err, qt.IsNil)
	for _, s := range c.fleet.Services {
		s.Fault = c.callFault
	}
	c.client.Transport = &http.Transport{DialContext: c.net.Dial(callerHost), DisableKeepAlives: true}
	return c
}

func (c *testCase) stop() {
	c.mu.Lock()
	c.stopping = true
	c.mu.Unlock()
	c.extra.Wait()
	c.fleet.Platform.SetFault(nil)
	c.net.Heal()
	c.fleet.Stop()
	// What a dead node still had under way gives up by its own time limits.
	time.Sleep(lastTimeout)
	synctest.Wait()
}

// step is called on the entry node at each step of each request.
func (c *testCase) step(r trace.Record) {
	c.mu.Lock()
	c.steps = append(c.steps, r)
	if !c.armed.Load() || r.Account != "team/a" || c.subject != "" && r.Request != c.subject {
		c.mu.Unlock()
		return
	}
	c.subject, c.entry = r.Request, r.Node
	if r.Endpoint != "" {
		c.endpoint = r.Endpoint
	}
	if r.Event == trace.Dispatched {
		c.dispatched(r)
	}
	c.mu.Unlock()
	switch r.Event {
	case trace.Accepted:
		c.reach("accept")
	case trace.Claimed:
		c.reach("claim")
	case trace.GrantRequested:
		c.reach("bid")
		c.spawn(func() {
			time.Sleep(20 * time.Millisecond)
			c.reach("wait")
		})
	case trace.GrantTaken:
		c.reach("grant")
	case trace.Dispatched:
		c.reach("dispatch")
	case trace.Finished:
		c.reach("record")
	}
}

// dispatched notes work that a leaving endpoint gets too late.
func (c *testCase) dispatched(r trace.Record) {
	if since, ok := c.left[r.Endpoint]; ok && time.Since(since) > leavingTime {
		c.sheds = append(c.sheds, fmt.Sprintf("%s got %s %s after it began to leave", r.Endpoint, r.Request, time.Since(since)))
	}
}

// sent is called by the engines before each token.
func (c *testCase) sent(id ident.RequestID, tokens int, last bool) {
	c.mu.Lock()
	subject := c.armed.Load() && id == c.subject
	c.mu.Unlock()
	switch {
	case !subject:
	case last:
		c.reach("last_byte")
	case tokens == 0:
		c.reach("first_byte")
	case tokens == caseTokens/4:
		c.reach("mid_stream")
	}
}

// reach brings about the faults that wait for a step.
func (c *testCase) reach(step string) {
	c.mu.Lock()
	var now []injection
	var later []injection
	for _, i := range c.pending {
		if i.step == step {
			now = append(now, i)
			continue
		}
		later = append(later, i)
	}
	c.pending = later
	c.mu.Unlock()
	for _, i := range now {
		faults[i.fault](c)
	}
}

// decided watches for a tier that is shed while a lower one waits or runs on.
func (c *testCase) decided(d sched.Decision) {
	if d.Request.Response.Reason == sched.ReasonOverload && d.Request.Tier == 0 {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.sheds = append(c.sheds, fmt.Sprintf("%s of the top tier was shed", d.Request.Request))
	}
}

// attempt is what a caller got.
type attempt struct {
	id     ident.RequestID
	whole  bool
	reason string
	run    string
	err    error
}

// send sends the subject, each try to the next node, and reads the answer.
func (c *testCase) send(try int) attempt {
	c.armed.Store(true)
	return c.call(c.fleet.Nodes[try%len(c.fleet.Nodes)], c.kind, "a", "subject")
}

func (c *testCase) call(n *Node, kind, account, text string) attempt {
	ctx, cancel := context.WithTimeout(c.t.Context(), 2*caseDeadline)
	defer cancel()
	resp, err := c.client.Do(c.request(ctx, n, kind, account, text))
	if err != nil {
		return attempt{err: err}
	}
	defer resp.Body.Close() //nolint:errcheck // read to its end.
	a := attempt{id: ident.RequestID(resp.Header.Get("X-Request-Id"))}
	body, err := io.ReadAll(resp.Body)
	if resp.StatusCode == http.StatusOK && kind == "booking" {
		var reply apprun.Reply
		a.err = err
		a.whole = err == nil && json.Unmarshal(body, &reply) == nil && reply.Body == text && reply.Run == 1
		return a
	}
	a.read(body, text)
	if !a.whole && a.reason == "" {
		a.err = err
	}
	return a
}

func (c *testCase) request(ctx context.Context, n *Node, kind, account, text string) *http.Request {
	method, path, body := http.MethodPost, "/v1/completions", fmt.Sprintf(`{"model":"m","prompt":%q,"max_tokens":%d,"stream":true}`, text, caseTokens)
	if kind == "booking" {
		path, body = "/services/bikes/bookings", text
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+n.Address+path, bytes.NewBufferString(body))
	qt.Assert(c.t, err, qt.IsNil)
	r.Header.Set("Authorization", "Bearer "+caseKeys[account])
	r.Header.Set("X-Deadline", caseDeadline.String())
	if kind != "chat" {
		r.Header.Set("Idempotency-Key", text)
	}
	return r
}

// read takes a stream or a refusal apart.
func (a *attempt) read(body []byte, prompt string) {
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
	a.whole = done && text.String() == strings.Join(runner.Answer(prompt, caseTokens), "")
	if done && !a.whole {
		a.reason = "foreign: " + text.String()
	}
}

// check holds all tries against what really ran.
func (c *testCase) check(tries []attempt) {
	runs := map[ident.RequestID]int{}
	for _, r := range c.fleet.Runners {
		for id, n := range r.Runs() {
			runs[id] += n
		}
	}
	for id, n := range runs {
		qt.Assert(c.t, n <= 1, qt.IsTrue, qt.Commentf("%s was dispatched %d times; %s", id, n, c.story()))
	}
	bookings := 0
	for _, s := range c.fleet.Services {
		bookings += s.Runs()["subject"]
	}
	subjectRuns := c.subjectRuns(runs) + bookings
	if c.kind != "chat" {
		qt.Assert(c.t, subjectRuns <= 1, qt.IsTrue, qt.Commentf("the key ran %d times; %s", subjectRuns, c.story()))
	}
	for _, a := range tries {
		qt.Assert(c.t, strings.HasPrefix(a.reason, "foreign"), qt.IsFalse, qt.Commentf("%+v", a))
		c.checkRefusal(a, runs)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	qt.Assert(c.t, c.sheds, qt.HasLen, 0)
}

func (c *testCase) checkRefusal(a attempt, runs map[ident.RequestID]int) {
	if a.whole {
		return
	}
	if a.err == nil {
		qt.Assert(c.t, a.reason, qt.Not(qt.Equals), "", qt.Commentf("neither whole nor refused: %+v; %s", a, c.story()))
	}
	if a.run != "not_run" {
		return
	}
	qt.Assert(c.t, runs[a.id], qt.Equals, 0, qt.Commentf("said not_run: %+v; %s", a, c.story()))
}

// subjectRuns counts the model runs of the caller's request under all the
// identifiers that its tries had.
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

// story tells what happened, for a failure.
func (c *testCase) story() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var told []trace.Record
	for _, r := range c.steps {
		if r.Account == "team/a" {
			told = append(told, r)
		}
	}
	var b strings.Builder
	b.WriteString("\n" + trace.Explain(told))
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
	f := c.next
	c.next = runner.Fault{}
	return f
}

func (c *testCase) callFault(r *http.Request) apprun.Fault {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ident.RequestID(r.Header.Get("X-Request-Id")) != c.subject {
		return apprun.Fault{}
	}
	f := c.nextCall
	c.nextCall = apprun.Fault{}
	return f
}

// platformFault sets a fault of the platform for a while.
func (c *testCase) platformFault(f cloud.Fault) {
	c.fleet.Platform.SetFault(func(op cloud.Op) cloud.Fault {
		if op.Table == cloud.InstanceTable && !f.Down {
			return cloud.Fault{}
		}
		return f
	})
	c.after(faultTime, func() { c.fleet.Platform.SetFault(nil) })
}

// after ends a passing fault.
func (c *testCase) after(d time.Duration, do func()) {
	c.spawn(func() {
		time.Sleep(d)
		do()
	})
}
