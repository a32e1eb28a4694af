package sched

import (
	"iter"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/process/adapt"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/stand/script"
	"goldcrestwick/internal/version/config"
)

// TestScripts runs the scripts in testdata, which testdata/README describes.
func TestScripts(t *testing.T) { script.Run(t, "testdata/*.script", runScript) }

// scriptRunner runs one script.
type scriptRunner struct {
	t                  *testing.T
	location           string
	cell               *Cell
	specs              []EndpointSpec
	requests           map[string]*GrantRequest
	woken              map[string]bool
	closedFrom         ident.Tier // the highest closed tier
	canShed            bool
	closeLowerRequests []ident.Tier
}

func runScript(t *testing.T, lines iter.Seq[script.Line]) {
	s := &scriptRunner{t: t, requests: map[string]*GrantRequest{}, woken: map[string]bool{}, closedFrom: ident.MaxTiers, canShed: true}
	s.cell = &Cell{
		ID: ident.CellID{Pool: "team/pool"}, Pool: testPool(),
		Admits:     func(tier ident.Tier) bool { return tier < s.closedFrom },
		CanShed:    func(ident.Tier) bool { return s.canShed },
		CloseLower: func(tier ident.Tier, _ CloseCause) { s.closeLowerRequests = append(s.closeLowerRequests, tier) },
	}
	for line := range lines {
		s.location = line.Position
		s.run(line.Command, line.Operands, line.Options)
	}
}

func testPool() *config.Pool {
	return &config.Pool{
		ID: "team/pool", QueueRequests: 100, QueueTokens: 1 << 30, InitialWindow: 4096,
		FirstTokenTarget: 1100 * time.Millisecond, InterTokenTarget: 78 * time.Millisecond,
	}
}

func (s *scriptRunner) run(command string, names []string, args map[string]string) {
	commands := map[string]func([]string, map[string]string){
		"limits": s.setLimits, "endpoint": s.addEndpoints, "leave": s.leaveEndpoint, "request": s.request, "first_token": s.firstToken,
		"complete": s.complete, "progress": s.progress, "cancel": s.cancel, "wait": s.wait, "close_below": s.closeBelow,
		"can_shed": s.setCanShed, "granted": s.expectGranted, "waiting": s.expectWaiting, "refused": s.expectRefused,
		"close_lower_requested": s.closeLowerRequested, "close_cell": s.closeCell, "pause": s.pause, "resume": s.resume, "window": s.expectWindow,
		"adopt": s.adopt, "drop_node": s.dropNode, "load_report": s.loadReport, "mark_unreachable": s.markUnreachable,
		"close_lower_not_requested": s.closeLowerNotRequested, "class_group": s.classGroup, "reconcile_adopted": s.reconcileAdopted, "statement": s.statement, "orphan": s.orphan, "quarantine": s.quarantine,
		"estimate": s.estimate,
	}
	do, ok := commands[command]
	qt.Assert(s.t, ok, qt.IsTrue, qt.Commentf("%s: unknown command %s", s.location, command))
	do(names, args)
}

func (s *scriptRunner) intArg(args map[string]string, key string, fallback int) int {
	text, ok := args[key]
	if !ok {
		return fallback
	}
	n, err := strconv.Atoi(text)
	qt.Assert(s.t, err, qt.IsNil, qt.Commentf(s.location))
	return n
}

func (s *scriptRunner) duration(text string) time.Duration {
	if text == "" {
		return 0
	}
	d, err := time.ParseDuration(text)
	qt.Assert(s.t, err, qt.IsNil, qt.Commentf(s.location))
	return d
}

func (s *scriptRunner) setLimits(_ []string, args map[string]string) {
	s.cell.Pool.QueueRequests = s.intArg(args, "requests", s.cell.Pool.QueueRequests)
	s.cell.Pool.QueueTokens = ident.Tokens(s.intArg(args, "tokens", int(s.cell.Pool.QueueTokens)))
	s.cell.Pool.EventGapTarget, s.cell.Pool.TokensPerEvent = s.duration(args["gap"]), s.intArg(args, "event", 1)
	s.cell.Pool.InitialWindow = ident.Tokens(s.intArg(args, "window", int(s.cell.Pool.InitialWindow)))
}

func (s *scriptRunner) addEndpoints(names []string, args map[string]string) {
	for _, name := range names {
		s.specs = append(s.specs, EndpointSpec{
			ID: ident.Endpoint(name), Address: "http://" + name, Generation: args["generation"],
			Slots: s.intArg(args, "slots", 0), StartedUnixMilli: int64(s.intArg(args, "started", 0)),
			CacheTokens: ident.Tokens(s.intArg(args, "cache_tokens", 0)), Release: ident.Release(args["release"]),
			Kind: endpointKinds[args["kind"]],
		})
	}
	s.cell.Configure(s.cell.Pool, s.specs)
}

var endpointKinds = map[string]ident.EndpointKind{"": ident.ModelRunner, "application": ident.ApplicationRunner}

// estimate sets what another node learned of an endpoint's load.
func (s *scriptRunner) estimate(names []string, args map[string]string) {
	load := adapt.Estimate{Limit: s.intArg(args, "limit", 0)}
	for text := range strings.SplitSeq(args["per_unit"], ",") {
		load.PerUnit = append(load.PerUnit, s.duration(text))
	}
	load.Slots = len(load.PerUnit)
	for _, name := range names {
		s.cell.SetEstimate(EndpointEstimate{Endpoint: ident.Endpoint(name), PrefillRate: 1e4, InterTokenLatency: 1, Load: load})
	}
}

func (s *scriptRunner) leaveEndpoint(names []string, _ map[string]string) {
	for i := range s.specs {
		s.specs[i].Leaving = s.specs[i].Leaving || string(s.specs[i].ID) == names[0]
	}
	s.cell.Configure(s.cell.Pool, s.specs)
}

func (s *scriptRunner) request(names []string, args map[string]string) {
	for _, name := range names {
		deadline := s.duration(args["deadline"])
		if deadline == 0 {
			deadline = time.Hour
		}
		r := &GrantRequest{
			Request: ident.RequestID(name), Node: ident.NodeID(args["node"]), Account: ident.ClientAccount(args["account"]),
			Tier: ident.Tier(s.intArg(args, "tier", 0)), HasOtherCells: args["other_cells"] == "yes", Weight: s.intArg(args, "weight", 1),
			Prompt: ident.Tokens(s.intArg(args, "prompt", 100)), Output: ident.Tokens(s.intArg(args, "output", 100)),
			Deadline: time.Now().Add(deadline), FirstTokenTarget: s.duration(args["first_token_target"]), FullTarget: s.duration(args["full_target"]),
			MaxRejections: s.intArg(args, "max_rejections", 0), Stream: ident.RequestID(args["stream"]),
		}
		for id := range strings.SplitSeq(args["avoid"], ",") {
			r.Avoid = append(r.Avoid, ident.Endpoint(id))
		}
		if release := ident.Release(args["release"]); release != "" {
			r.Release = &release
		}
		for part := range strings.SplitSeq(args["parts"], ",") {
			if part != "" {
				r.Traits = append(r.Traits, ident.Trait(part[0]))
			}
		}
		if limit := s.intArg(args, "known_limit", 0); limit > 0 {
			r.KnownLimits = map[ident.Endpoint]ident.Rate{"a": ident.Rate(limit)}
		}
		for i := range s.intArg(args, "prefix_blocks", 0) {
			r.Prefix = append(r.Prefix, ident.Fingerprint(s.intArg(args, "conversation", 1)*1000+i))
		}
		r.Wake = func() {
			qt.Assert(s.t, s.woken[name], qt.IsFalse, qt.Commentf("%s: %s was woken twice", s.location, name))
			s.woken[name] = true
		}
		s.requests[name] = r
		if !s.cell.Submit(r) {
			continue
		}
		qt.Assert(s.t, s.woken[name], qt.IsFalse, qt.Commentf("%s: %s got its response from Submit and was also woken", s.location, name))
	}
}

func (s *scriptRunner) firstToken(names []string, _ map[string]string) {
	for _, name := range names {
		s.cell.FirstToken(ident.RequestID(name))
	}
}

// quarantine sheds the waiting requests that have a part.
func (s *scriptRunner) quarantine(names []string, _ map[string]string) {
	s.cell.ShedQuarantined(func(parts []ident.Trait) (time.Time, bool) {
		return time.Now().Add(time.Minute), slices.Contains(parts, ident.Trait(names[0][0]))
	})
}

// statement reports that endpoints began to answer requests and stated a limit.
func (s *scriptRunner) statement(names []string, args map[string]string) {
	for _, name := range names {
		statement := Statement{RateLimit: ident.Rate(s.intArg(args, "limit", 0))}
		if args["running"] != "" {
			statement.Occupancy = &Occupancy{Running: s.intArg(args, "running", 0), Waiting: s.intArg(args, "waiting", 0)}
		}
		s.cell.UpdateEndpoint(ident.RequestID(name), statement)
	}
}

func (s *scriptRunner) orphan(names []string, args map[string]string) {
	for _, name := range names {
		s.cell.Track(s.requests[name]).SetOrphaned(args["responds"] != "yes")
	}
	orphans := map[*endpoint]int{}
	for _, g := range s.cell.inflight {
		if g.isOrphaned {
			orphans[g.endpoint]++
		}
	}
	for _, e := range s.cell.endpoints {
		qt.Check(s.t, e.orphans, qt.Equals, orphans[e], qt.Commentf("%s: orphans of %s", s.location, e.ID))
	}
}

func (s *scriptRunner) complete(names []string, args map[string]string) {
	var statement *Statement
	if args["limit"] != "" {
		statement = &Statement{RateLimit: ident.Rate(s.intArg(args, "limit", 0))}
	}
	for _, name := range names {
		s.cell.Complete(ident.RequestID(name), Completion{
			Statement: statement,
			Failed:    args["failed"] == "yes", Unused: args["unused"] == "yes",
			Refused: args["refused"] == "yes", Erred: args["erred"] == "yes", Cancelled: args["cancelled"] == "yes",
			TimeToFirstToken: s.duration(args["first_token"]), InterTokenLatency: s.duration(args["inter_token"]),
			Cached:   ident.Tokens(s.intArg(args, "cached", 0)),
			Uncached: ident.Tokens(s.intArg(args, "uncached", 0)),
		})
	}
}

func (s *scriptRunner) progress(names []string, args map[string]string) {
	s.cell.Progress(ident.RequestID(names[0]), s.duration(args["inter_token"]))
}

func (s *scriptRunner) cancel(names []string, _ map[string]string) {
	qt.Assert(s.t, s.cell.Cancel(s.requests[names[0]]), qt.IsTrue, qt.Commentf(s.location))
}

func (s *scriptRunner) wait(names []string, _ map[string]string) {
	for end := time.Now().Add(s.duration(names[0])); time.Now().Before(end); {
		time.Sleep(100 * time.Millisecond)
		s.cell.Tick()
	}
}

func (s *scriptRunner) closeBelow(_ []string, args map[string]string) {
	s.closedFrom = ident.Tier(s.intArg(args, "tier", 0)) + 1
	s.cell.ShedClosedTiers()
}

func (s *scriptRunner) setCanShed(names []string, _ map[string]string) {
	s.canShed = names[0] == "yes"
	s.cell.Tick()
}

func (s *scriptRunner) expectGranted(names []string, args map[string]string) {
	for _, name := range names {
		response := s.requests[name].Response
		qt.Assert(s.t, response.Outcome, qt.Equals, Granted, qt.Commentf("%s: %s: %s", s.location, name, response.Reason))
		if on := args["on"]; on != "" {
			qt.Assert(s.t, string(response.Endpoint), qt.Equals, on, qt.Commentf("%s: %s", s.location, name))
		}
		if reason := args["reason"]; reason != "" {
			qt.Assert(s.t, string(response.Reason), qt.Equals, reason, qt.Commentf("%s: %s", s.location, name))
		}
		if args["cached"] != "" {
			qt.Assert(s.t, int(response.Cached), qt.Equals, s.intArg(args, "cached", 0), qt.Commentf("%s: %s", s.location, name))
		}
	}
}

func (s *scriptRunner) expectWaiting(names []string, _ map[string]string) {
	for _, name := range names {
		qt.Assert(s.t, s.requests[name].Response.Outcome, qt.Equals, Waiting, qt.Commentf("%s: %s", s.location, name))
	}
}

func (s *scriptRunner) expectRefused(names []string, args map[string]string) {
	for _, name := range names {
		response := s.requests[name].Response
		qt.Assert(s.t, response.Outcome == Shed || response.Outcome == Moved, qt.IsTrue, qt.Commentf("%s: %s is not refused", s.location, name))
		qt.Assert(s.t, string(response.Reason), qt.Equals, args["reason"], qt.Commentf("%s: %s", s.location, name))
	}
}

func (s *scriptRunner) closeLowerRequested(_ []string, args map[string]string) {
	want := ident.Tier(s.intArg(args, "tier", 0))
	qt.Assert(s.t, s.closeLowerRequests, qt.Contains, want, qt.Commentf(s.location))
}

func (s *scriptRunner) closeLowerNotRequested([]string, map[string]string) {
	qt.Assert(s.t, s.closeLowerRequests, qt.HasLen, 0, qt.Commentf(s.location))
}

func (s *scriptRunner) closeCell([]string, map[string]string) { s.cell.Close() }
func (s *scriptRunner) pause([]string, map[string]string)     { s.cell.Pause() }

func (s *scriptRunner) resume(_ []string, args map[string]string) {
	s.cell.Resume(ident.Tier(s.intArg(args, "lowest", ident.MaxTiers-1)))
}

func (s *scriptRunner) expectWindow(names []string, args map[string]string) {
	for _, estimate := range s.cell.Estimates() {
		if string(estimate.Endpoint) != names[0] {
			continue
		}
		qt.Assert(s.t, int(estimate.Window) >= s.intArg(args, "at_least", 0), qt.IsTrue, qt.Commentf("%s: window %d", s.location, estimate.Window))
		qt.Assert(s.t, int(estimate.Window) <= s.intArg(args, "at_most", 1<<30), qt.IsTrue, qt.Commentf("%s: window %d", s.location, estimate.Window))
	}
}

func (s *scriptRunner) adopt(names []string, args map[string]string) {
	s.cell.Adopt(InFlight{
		Request: ident.RequestID(names[0]), Node: ident.NodeID(args["node"]),
		Endpoint: ident.Endpoint(args["on"]), Charge: ident.Tokens(s.intArg(args, "charge", 0)),
	})
}

func (s *scriptRunner) dropNode(names []string, _ map[string]string) {
	s.cell.DropNode(ident.NodeID(names[0]))
}

func (s *scriptRunner) loadReport(names []string, args map[string]string) {
	s.cell.SetLoadReport(LoadReport{
		Endpoint: ident.Endpoint(names[0]), Age: s.duration(args["age"]), Running: s.intArg(args, "running", 0),
		Waiting: s.intArg(args, "waiting", 0), Draining: args["draining"] == "yes",
	})
}

func (s *scriptRunner) markUnreachable(names []string, _ map[string]string) {
	s.cell.MarkUnreachable(ident.Endpoint(names[0]))
}

// classGroup makes the tiers from the highest to the given one a class group.
func (s *scriptRunner) classGroup(_ []string, args map[string]string) {
	team := &config.Team{}
	last := s.intArg(args, "last", 0)
	for i := range last + 1 {
		team.Tiers = append(team.Tiers, &config.Tier{Rank: ident.Tier(i), GroupEnd: ident.Tier(last)})
	}
	s.cell.Pool.Team = team
	s.cell.Configure(s.cell.Pool, s.specs)
}

// reconcileAdopted reports which adopted requests are still in flight at a node.
func (s *scriptRunner) reconcileAdopted(names []string, args map[string]string) {
	inFlight := map[ident.RequestID]bool{}
	for _, name := range names {
		inFlight[ident.RequestID(name)] = true
	}
	s.cell.ReconcileAdopted(ident.NodeID(args["node"]), inFlight)
}
