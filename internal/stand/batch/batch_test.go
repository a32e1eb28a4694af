package batch_test

import (
	"context"
	"errors"
	"fmt"
	"iter"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/stand/batch"
	"goldcrestwick/internal/stand/script"
)

// settleTime is longer than any step; after it the loop of an idle engine has
// stopped.
const settleTime = time.Second

// TestScripts runs the scripts in testdata; see testdata/README.
func TestScripts(t *testing.T) { script.Run(t, "testdata/*.script", runScript) }

func runScript(t *testing.T, lines iter.Seq[script.Line]) {
	e := &batch.Engine{}
	sequences := map[string]*batch.Sequence{}
	rejected := map[string]error{}
	for l := range lines {
		at := qt.Commentf(l.Position)
		switch l.Command {
		case "engine":
			*e = batch.Engine{ //nolint:govet // no sequence has been submitted.
				Slots: l.IntOption("slots", 0), MaxWaiting: l.IntOption("queue", 0), CacheTokens: ident.Tokens(l.IntOption("cache", 0)), PrefillChunk: ident.Tokens(l.IntOption("chunk", 0)),
				StepTime: l.ParseDuration(l.Options["step"]), TimePerRequest: l.ParseDuration(l.Options["per_request"]), PrefillTimePerToken: l.ParseDuration(l.Options["prefill"]),
			}
		case "send":
			r := batch.Request{
				PromptTokens: ident.Tokens(l.IntOption("prompt", 0)), Parts: parseParts(t, l.Options["parts"]),
				OutputTokens: ident.Tokens(l.IntOption("output", 1)), GeneratedTokens: ident.Tokens(l.IntOption("generated", 0)),
			}
			sequences[l.Operands[0]], rejected[l.Operands[0]] = e.Submit(r)
			synctest.Wait()
		case "wait":
			time.Sleep(l.ParseDuration(l.Operands[0]))
			synctest.Wait()
		case "generated":
			generated, err := sequences[l.Operands[0]].Wait(t.Context(), -1)
			qt.Check(t, err, qt.IsNil, at)
			qt.Check(t, generated, qt.Equals, ident.Tokens(l.IntOption("is", 0)), at)
		case "rejected":
			want := map[string]error{"full": batch.ErrQueueFull, "too_large": batch.ErrTooLarge}[l.Options["as"]]
			qt.Check(t, errors.Is(rejected[l.Operands[0]], want), qt.IsTrue, at)
		case "cancel":
			sequences[l.Operands[0]].Cancel()
		case "load":
			checkLoad(t, l, e.Load())
		default:
			t.Fatalf("%s: unknown command %s", l.Position, l.Command)
		}
	}
	for _, seq := range sequences {
		if seq != nil {
			seq.Cancel()
		}
	}
	time.Sleep(settleTime)
}

func checkLoad(t *testing.T, l script.Line, load batch.Load) {
	for key, got := range map[string]int{
		"running": load.Running, "waiting": load.Waiting, "pinned": int(load.PinnedTokens),
		"preemptions": load.Preemptions, "prefilled": int(load.PrefilledTokens),
	} {
		if l.Options[key] != "" {
			qt.Check(t, got, qt.Equals, l.IntOption(key, 0), qt.Commentf("%s: %s", l.Position, key))
		}
	}
}

func parseParts(t *testing.T, text string) []batch.PromptPart {
	var parts []batch.PromptPart
	for entry := range strings.SplitSeq(text, ",") {
		if entry == "" {
			continue
		}
		id, size, _ := strings.Cut(entry, ":")
		n, err := strconv.Atoi(size)
		qt.Assert(t, err, qt.IsNil)
		parts = append(parts, batch.PromptPart{ID: id, Tokens: ident.Tokens(n)})
	}
	return parts
}

// TestRandomArrivals checks, for random arrivals and cancellations, that every
// accepted request generates its whole output, that the limits on slots and on
// the KV cache hold, and that an idle engine has no queued request and no pinned
// token.
func TestRandomArrivals(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		plan := drawPlan(r)
		failure := ""
		synctest.Test(t, func(t *testing.T) { failure = plan.run(t.Context()) })
		if failure != "" {
			r.Fatal(failure)
		}
	})
}

// plan holds the sizes of an engine and the requests to submit, in order.
type plan struct {
	slots, queue int
	cache, chunk ident.Tokens
	requests     []plannedRequest
}

type plannedRequest struct {
	batch.Request
	pause      time.Duration
	isCanceled bool
}

func drawPlan(r *rapid.T) plan {
	tokens := func(from, to int, label string) ident.Tokens {
		return ident.Tokens(rapid.IntRange(from, to).Draw(r, label))
	}
	p := plan{
		slots: rapid.IntRange(1, 4).Draw(r, "slots"), queue: rapid.IntRange(0, 4).Draw(r, "queue"),
		cache: tokens(40, 200, "cache"), chunk: tokens(1, 30, "chunk"),
	}
	for range rapid.IntRange(1, 30).Draw(r, "requests") {
		planned := plannedRequest{
			Request:    batch.Request{PromptTokens: tokens(1, 60, "prompt"), OutputTokens: tokens(1, 30, "output")},
			pause:      time.Duration(rapid.IntRange(0, 50).Draw(r, "pause")) * time.Millisecond,
			isCanceled: rapid.IntRange(0, 4).Draw(r, "canceled") == 0,
		}
		for range rapid.IntRange(0, 3).Draw(r, "parts") {
			id := rapid.SampledFrom([]string{"a", "b"}).Draw(r, "part")
			planned.Parts = append(planned.Parts, batch.PromptPart{ID: id, Tokens: 10})
		}
		p.requests = append(p.requests, planned)
	}
	return p
}

// run submits the requests and returns a description of the first failure, or "".
func (p plan) run(ctx context.Context) string {
	e := &batch.Engine{
		Slots: p.slots, MaxWaiting: p.queue, CacheTokens: p.cache, PrefillChunk: p.chunk,
		StepTime: time.Millisecond, PrefillTimePerToken: time.Millisecond,
	}
	sequences := map[int]*batch.Sequence{}
	for i, planned := range p.requests {
		seq, err := e.Submit(planned.Request)
		time.Sleep(planned.pause)
		if load := e.Load(); load.PinnedTokens > p.cache || load.Running > p.slots {
			return fmt.Sprintf("load exceeds the limits: %+v", load)
		}
		switch {
		case err != nil:
		case planned.isCanceled:
			seq.Cancel()
		default:
			sequences[i] = seq
		}
	}
	for i, seq := range sequences {
		for generated, output := ident.Tokens(0), p.requests[i].OutputTokens; generated < output; {
			next, err := seq.Wait(ctx, generated)
			if err != nil || next <= generated {
				return fmt.Sprintf("request %d has generated %d of %d tokens: %v", i, generated, output, err)
			}
			generated = next
		}
	}
	time.Sleep(settleTime)
	if load := e.Load(); load.Running+load.Waiting > 0 || load.PinnedTokens != 0 {
		return fmt.Sprintf("idle engine still has load: %+v", load)
	}
	return ""
}
