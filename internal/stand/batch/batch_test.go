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

	"goldcrestwick/internal/request/ident"
	"goldcrestwick/internal/stand/batch"
	"goldcrestwick/internal/stand/script"
)

// lastStep is longer than any step, after which an empty engine rests.
const lastStep = time.Second

// TestScripts plays the scripts of testdata; see testdata/README.
func TestScripts(t *testing.T) { script.Run(t, "testdata/*.script", play) }

func play(t *testing.T, lines iter.Seq[script.Line]) {
	e := &batch.Engine{}
	runs := map[string]*batch.Run{}
	refused := map[string]error{}
	for l := range lines {
		at := qt.Commentf(l.Place)
		switch l.Command {
		case "engine":
			*e = batch.Engine{ //nolint:govet // no run has begun.
				Slots: l.Int("slots", 0), Queue: l.Int("queue", 0), Memory: ident.Tokens(l.Int("memory", 0)), Chunk: ident.Tokens(l.Int("chunk", 0)),
				Step: l.Span(l.Given["step"]), PerRequest: l.Span(l.Given["per_request"]), Prefill: l.Span(l.Given["prefill"]),
			}
		case "send":
			r := batch.Request{
				Prompt: ident.Tokens(l.Int("prompt", 0)), Parts: partsOf(t, l.Given["parts"]),
				Output: ident.Tokens(l.Int("output", 1)), Made: ident.Tokens(l.Int("made", 0)),
			}
			runs[l.Names[0]], refused[l.Names[0]] = e.Submit(r)
			synctest.Wait()
		case "wait":
			time.Sleep(l.Span(l.Names[0]))
			synctest.Wait()
		case "made":
			made, err := runs[l.Names[0]].Wait(t.Context(), -1)
			qt.Check(t, err, qt.IsNil, at)
			qt.Check(t, made, qt.Equals, ident.Tokens(l.Int("is", 0)), at)
		case "refused":
			want := map[string]error{"full": batch.ErrFull, "too_large": batch.ErrTooLarge}[l.Given["as"]]
			qt.Check(t, errors.Is(refused[l.Names[0]], want), qt.IsTrue, at)
		case "leave":
			runs[l.Names[0]].Leave()
		case "load":
			checkLoad(t, l, e.Load())
		default:
			t.Fatalf("%s: unknown command %s", l.Place, l.Command)
		}
	}
	for _, r := range runs {
		if r != nil {
			r.Leave()
		}
	}
	time.Sleep(lastStep)
}

func checkLoad(t *testing.T, l script.Line, load batch.Load) {
	for key, got := range map[string]int{
		"running": load.Running, "waiting": load.Waiting, "memory": int(load.Memory),
		"preempted": load.Preempted, "read": int(load.Read),
	} {
		if l.Given[key] != "" {
			qt.Check(t, got, qt.Equals, l.Int(key, 0), qt.Commentf("%s: %s", l.Place, key))
		}
	}
}

func partsOf(t *testing.T, text string) []batch.Part {
	var parts []batch.Part
	for word := range strings.SplitSeq(text, ",") {
		if word == "" {
			continue
		}
		id, size, _ := strings.Cut(word, ":")
		n, err := strconv.Atoi(size)
		qt.Assert(t, err, qt.IsNil)
		parts = append(parts, batch.Part{ID: id, Tokens: ident.Tokens(n)})
	}
	return parts
}

// TestAnyOrder checks that every request that is taken ends with its whole
// output, and that nothing is left in the way of later ones, whatever comes
// and leaves when.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		plan := drawPlan(r)
		fault := ""
		synctest.Test(t, func(t *testing.T) { fault = plan.play(t.Context()) })
		if fault != "" {
			r.Fatal(fault)
		}
	})
}

// plan is what comes to an engine, one request after another.
type plan struct {
	slots, queue  int
	memory, chunk ident.Tokens
	requests      []planned
}

type planned struct {
	batch.Request
	pause  time.Duration
	leaves bool
}

func drawPlan(r *rapid.T) plan {
	tokens := func(from, to int, label string) ident.Tokens {
		return ident.Tokens(rapid.IntRange(from, to).Draw(r, label))
	}
	p := plan{
		slots: rapid.IntRange(1, 4).Draw(r, "slots"), queue: rapid.IntRange(0, 4).Draw(r, "queue"),
		memory: tokens(40, 200, "memory"), chunk: tokens(1, 30, "chunk"),
	}
	for range rapid.IntRange(1, 30).Draw(r, "requests") {
		one := planned{
			Request: batch.Request{Prompt: tokens(1, 60, "prompt"), Output: tokens(1, 30, "output")},
			pause:   time.Duration(rapid.IntRange(0, 50).Draw(r, "pause")) * time.Millisecond,
			leaves:  rapid.IntRange(0, 4).Draw(r, "leaves") == 0,
		}
		for range rapid.IntRange(0, 3).Draw(r, "parts") {
			id := rapid.SampledFrom([]string{"a", "b"}).Draw(r, "part")
			one.Parts = append(one.Parts, batch.Part{ID: id, Tokens: 10})
		}
		p.requests = append(p.requests, one)
	}
	return p
}

// play returns what went wrong.
func (p plan) play(ctx context.Context) string {
	e := &batch.Engine{
		Slots: p.slots, Queue: p.queue, Memory: p.memory, Chunk: p.chunk,
		Step: time.Millisecond, Prefill: time.Millisecond,
	}
	runs := map[int]*batch.Run{}
	for i, one := range p.requests {
		run, err := e.Submit(one.Request)
		time.Sleep(one.pause)
		if load := e.Load(); load.Memory > p.memory || load.Running > p.slots {
			return fmt.Sprintf("over its limits: %+v", load)
		}
		switch {
		case err != nil:
		case one.leaves:
			run.Leave()
		default:
			runs[i] = run
		}
	}
	for i, run := range runs {
		for made, output := ident.Tokens(0), p.requests[i].Output; made < output; {
			next, err := run.Wait(ctx, made)
			if err != nil || next <= made {
				return fmt.Sprintf("request %d stands at %d of %d: %v", i, made, output, err)
			}
			made = next
		}
	}
	time.Sleep(lastStep)
	if load := e.Load(); load.Running+load.Waiting > 0 || load.Memory != 0 {
		return fmt.Sprintf("something is left: %+v", load)
	}
	return ""
}
