package sched

import (
	"iter"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/request/ident"
	"goldcrestwick/internal/stand/script"
	"goldcrestwick/internal/version/config"
)

// TestScripts runs the scripts in testdata. Each line is a command with
// key=value arguments; see testdata/README.
func TestScripts(t *testing.T) { script.Run(t, "testdata/*.script", play) }

// player is the state of one running script.
type player struct {
	t      *testing.T
	place  string
	cell   *Cell
	specs  []EndpointSpec
	bids   map[string]*GrantRequest
	woken  map[string]bool
	closed ident.Tier
	may    bool
	press  []ident.Tier
}

func play(t *testing.T, lines iter.Seq[script.Line]) {
	s := &player{t: t, bids: map[string]*GrantRequest{}, woken: map[string]bool{}, closed: ident.MaxTiers, may: true}
	s.cell = &Cell{
		ID: ident.CellID{Pool: "team/pool"}, Pool: pool(),
		Admits:     func(tier ident.Tier) bool { return tier < s.closed },
		CanShed:    func(ident.Tier) bool { return s.may },
		CloseLower: func(tier ident.Tier) { s.press = append(s.press, tier) },
	}
	for line := range lines {
		s.place = line.Place
		s.run(line.Command, line.Names, line.Given)
	}
}

func pool() *config.Pool {
	return &config.Pool{
		ID: "team/pool", QueueRequests: 100, QueueTokens: 1 << 30, Window: 4096,
		FirstTokenTarget: 1100 * time.Millisecond, InterTokenTarget: 78 * time.Millisecond,
	}
}

func (s *player) run(command string, names []string, given map[string]string) {
	commands := map[string]func([]string, map[string]string){
		"queue": s.queue, "endpoint": s.endpoint, "leave": s.leave, "bid": s.bid, "first": s.first,
		"done": s.done, "progress": s.progress, "cancel": s.cancel, "wait": s.wait, "close_below": s.closeBelow,
		"may_shed": s.mayShed, "granted": s.granted, "waiting": s.waiting, "refused": s.refused,
		"pressed": s.pressed, "move": s.move, "pause": s.pause, "resume": s.resume, "window": s.window,
		"adopt": s.adopt, "drop_node": s.dropNode, "report": s.report, "unreachable": s.unreachable,
		"share_service": s.shareService, "held": s.held,
	}
	do, ok := commands[command]
	qt.Assert(s.t, ok, qt.IsTrue, qt.Commentf("%s: unknown command %s", s.place, command))
	do(names, given)
}

func (s *player) number(given map[string]string, key string, otherwise int) int {
	text, ok := given[key]
	if !ok {
		return otherwise
	}
	n, err := strconv.Atoi(text)
	qt.Assert(s.t, err, qt.IsNil, qt.Commentf(s.place))
	return n
}

func (s *player) span(text string) time.Duration {
	if text == "" {
		return 0
	}
	d, err := time.ParseDuration(text)
	qt.Assert(s.t, err, qt.IsNil, qt.Commentf(s.place))
	return d
}

func (s *player) queue(_ []string, given map[string]string) {
	s.cell.Pool.QueueRequests = s.number(given, "requests", s.cell.Pool.QueueRequests)
	s.cell.Pool.QueueTokens = ident.Tokens(s.number(given, "tokens", int(s.cell.Pool.QueueTokens)))
	s.cell.Pool.Window = ident.Tokens(s.number(given, "window", int(s.cell.Pool.Window)))
}

func (s *player) endpoint(names []string, given map[string]string) {
	for _, name := range names {
		s.specs = append(s.specs, EndpointSpec{
			ID: ident.Endpoint(name), Address: "http://" + name, Generation: given["generation"],
			Slots: s.number(given, "slots", 0), Started: int64(s.number(given, "started", 0)),
			CacheTokens: ident.Tokens(s.number(given, "memory", 0)),
		})
	}
	s.cell.Configure(s.cell.Pool, s.specs)
}

func (s *player) leave(names []string, _ map[string]string) {
	for i := range s.specs {
		s.specs[i].Leaving = s.specs[i].Leaving || string(s.specs[i].ID) == names[0]
	}
	s.cell.Configure(s.cell.Pool, s.specs)
}

func (s *player) bid(names []string, given map[string]string) {
	for _, name := range names {
		deadline := s.span(given["deadline"])
		if deadline == 0 {
			deadline = time.Hour
		}
		b := &GrantRequest{
			Request: ident.RequestID(name), Node: ident.NodeID(given["node"]), Account: ident.ClientAccount(given["account"]),
			Tier: ident.Tier(s.number(given, "tier", 0)), Weight: s.number(given, "weight", 1),
			Prompt: ident.Tokens(s.number(given, "prompt", 100)), Output: ident.Tokens(s.number(given, "output", 100)),
			Deadline: time.Now().Add(deadline), FirstTokenTarget: s.span(given["target"]),
		}
		for id := range strings.SplitSeq(given["avoid"], ",") {
			b.Avoid = append(b.Avoid, ident.Endpoint(id))
		}
		for i := range s.number(given, "blocks", 0) {
			b.Prefix = append(b.Prefix, ident.Fingerprint(s.number(given, "chat", 1)*1000+i))
		}
		b.Wake = func() {
			qt.Assert(s.t, s.woken[name], qt.IsFalse, qt.Commentf("%s: %s was woken twice", s.place, name))
			s.woken[name] = true
		}
		s.bids[name] = b
		if !s.cell.Submit(b) {
			continue
		}
		qt.Assert(s.t, s.woken[name], qt.IsFalse, qt.Commentf("%s: %s was answered and woken", s.place, name))
	}
}

func (s *player) first(names []string, _ map[string]string) {
	for _, name := range names {
		s.cell.FirstToken(ident.RequestID(name))
	}
}

func (s *player) done(names []string, given map[string]string) {
	for _, name := range names {
		s.cell.Done(ident.RequestID(name), Completion{
			Failed: given["failed"] == "yes", Unused: given["unused"] == "yes",
			Refused: given["refused"] == "yes", Erred: given["erred"] == "yes", Cancelled: given["cancelled"] == "yes",
			TimeToFirstToken: s.span(given["first"]), InterTokenLatency: s.span(given["between"]),
			Cached:   ident.Tokens(s.number(given, "cached", 0)),
			Uncached: ident.Tokens(s.number(given, "uncached", 0)),
		})
	}
}

func (s *player) progress(names []string, given map[string]string) {
	s.cell.Progress(ident.RequestID(names[0]), s.span(given["between"]))
}

func (s *player) cancel(names []string, _ map[string]string) {
	qt.Assert(s.t, s.cell.Cancel(s.bids[names[0]]), qt.IsTrue, qt.Commentf(s.place))
}

func (s *player) wait(names []string, _ map[string]string) {
	for end := time.Now().Add(s.span(names[0])); time.Now().Before(end); {
		time.Sleep(100 * time.Millisecond)
		s.cell.Tick()
	}
}

func (s *player) closeBelow(_ []string, given map[string]string) {
	s.closed = ident.Tier(s.number(given, "tier", 0)) + 1
	s.cell.Enforce()
}

func (s *player) mayShed(names []string, _ map[string]string) {
	s.may = names[0] == "yes"
	s.cell.Tick()
}

func (s *player) granted(names []string, given map[string]string) {
	for _, name := range names {
		a := s.bids[name].Response
		qt.Assert(s.t, a.Outcome, qt.Equals, Granted, qt.Commentf("%s: %s: %s", s.place, name, a.Reason))
		if on := given["on"]; on != "" {
			qt.Assert(s.t, string(a.Endpoint), qt.Equals, on, qt.Commentf("%s: %s", s.place, name))
		}
		if reason := given["reason"]; reason != "" {
			qt.Assert(s.t, string(a.Reason), qt.Equals, reason, qt.Commentf("%s: %s", s.place, name))
		}
		if given["cached"] != "" {
			qt.Assert(s.t, int(a.Cached), qt.Equals, s.number(given, "cached", 0), qt.Commentf("%s: %s", s.place, name))
		}
	}
}

func (s *player) waiting(names []string, _ map[string]string) {
	for _, name := range names {
		qt.Assert(s.t, s.bids[name].Response.Outcome, qt.Equals, Waiting, qt.Commentf("%s: %s", s.place, name))
	}
}

func (s *player) refused(names []string, given map[string]string) {
	for _, name := range names {
		a := s.bids[name].Response
		qt.Assert(s.t, a.Outcome == Shed || a.Outcome == Moved, qt.IsTrue, qt.Commentf("%s: %s is not refused", s.place, name))
		qt.Assert(s.t, string(a.Reason), qt.Equals, given["reason"], qt.Commentf("%s: %s", s.place, name))
	}
}

func (s *player) pressed(_ []string, given map[string]string) {
	want := ident.Tier(s.number(given, "tier", 0))
	qt.Assert(s.t, s.press, qt.Contains, want, qt.Commentf(s.place))
}

func (s *player) move([]string, map[string]string)  { s.cell.Close() }
func (s *player) pause([]string, map[string]string) { s.cell.Pause() }

func (s *player) resume(_ []string, given map[string]string) {
	s.cell.Resume(ident.Tier(s.number(given, "lowest", ident.MaxTiers-1)))
}

func (s *player) window(names []string, given map[string]string) {
	for _, l := range s.cell.Estimates() {
		if string(l.Endpoint) != names[0] {
			continue
		}
		qt.Assert(s.t, int(l.Window) >= s.number(given, "at_least", 0), qt.IsTrue, qt.Commentf("%s: window %d", s.place, l.Window))
		qt.Assert(s.t, int(l.Window) <= s.number(given, "at_most", 1<<30), qt.IsTrue, qt.Commentf("%s: window %d", s.place, l.Window))
	}
}

func (s *player) adopt(names []string, given map[string]string) {
	s.cell.Adopt(InFlight{
		Request: ident.RequestID(names[0]), Node: ident.NodeID(given["node"]),
		Endpoint: ident.Endpoint(given["on"]), Charge: ident.Tokens(s.number(given, "charge", 0)),
	})
}

func (s *player) dropNode(names []string, _ map[string]string) {
	s.cell.DropNode(ident.NodeID(names[0]))
}

func (s *player) report(names []string, given map[string]string) {
	s.cell.Report(LoadReport{
		Endpoint: ident.Endpoint(names[0]), Age: s.span(given["age"]), Running: s.number(given, "running", 0),
		Waiting: s.number(given, "waiting", 0), Draining: given["draining"] == "yes",
	})
}

func (s *player) unreachable(names []string, _ map[string]string) {
	s.cell.Unreachable(ident.Endpoint(names[0]))
}

// shareService makes the first tiers one group.
func (s *player) shareService(_ []string, given map[string]string) {
	team := &config.Team{}
	last := s.number(given, "last", 0)
	for i := range last + 1 {
		team.Tiers = append(team.Tiers, &config.Tier{Rank: ident.Tier(i), GroupEnd: ident.Tier(last)})
	}
	s.cell.Pool.Team = team
	s.cell.Configure(s.cell.Pool, s.specs)
}

// held is a node's word on which adopted requests it still has.
func (s *player) held(names []string, given map[string]string) {
	held := map[ident.RequestID]bool{}
	for _, name := range names {
		held[ident.RequestID(name)] = true
	}
	s.cell.KeepAdopted(ident.NodeID(given["node"]), held)
}
