// Package batch models a model engine: continuous batching, chunked prefill,
// one memory for running requests and kept prompts, and preemption when that
// is full.
//
// The model does no arithmetic on tensors. A step of the batch takes the time
// that its requests and its prompt tokens cost; every request past its prefill
// makes a token in it. Requests are admitted in order of arrival; there are no
// priorities.
//
// # Usage
//
//	e := &batch.Engine{Slots: 9, Memory: 50_000, Step: 3 * time.Millisecond, Prefill: 20 * time.Microsecond}
//	run, err := e.Submit(batch.Request{Prompt: 700, Output: 40, Parts: parts})
//	defer run.Leave()
//	made, err := run.Wait(ctx, 0) // until the first token
package batch

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"goldcrestwick/internal/request/ident"
)

// The sizes of a small engine, for settings that are zero.
const (
	defaultSlots  = 8
	defaultMemory = ident.Tokens(100_000)
	defaultChunk  = ident.Tokens(512)
)

// The reasons for which a request is not run.
var (
	ErrFull     = errors.New("the engine's queue is full")
	ErrTooLarge = errors.New("the request is larger than the engine's memory")
)

// Engine is one engine. The zero value takes no time and has the sizes of a
// small one; it is safe for concurrent use.
type Engine struct {
	// Slots bounds the requests that run at once, Queue those that wait.
	Slots, Queue int
	// Memory holds running requests and kept parts of prompts.
	Memory ident.Tokens
	// Chunk bounds the prompt tokens that one step reads.
	Chunk ident.Tokens
	// Step is the time of an empty step, PerRequest what each running request
	// adds, Prefill the time of one prompt token.
	Step, PerRequest, Prefill time.Duration

	mu        sync.Mutex
	isLooping bool
	waiting   []*Run
	running   []*Run
	memory    memory
	preempted int
	read      ident.Tokens
}

// Part is a part of a prompt; requests may share the first ones.
type Part struct {
	ID     string
	Tokens ident.Tokens
}

// Request is what an engine is asked for.
type Request struct {
	// Prompt is the length of the whole prompt, at least that of Parts, which
	// are its parts from the start.
	Prompt ident.Tokens
	Parts  []Part
	// Output is how many tokens the answer has, Made how many of them another
	// engine has made.
	Output, Made ident.Tokens
}

// Run is a request at an engine.
type Run struct {
	engine  *Engine
	request Request
	keys    []string
	// private are the run's own tokens in memory: the rest of its prompt and
	// what it made.
	private ident.Tokens
	// left is what is left of the prefill.
	left    ident.Tokens
	made    ident.Tokens
	ended   bool
	changed chan struct{}
}

// Load is what an engine is doing and has done.
type Load struct {
	Running, Waiting, Slots int
	// Memory is what cannot yield.
	Memory ident.Tokens
	// Preempted and Read count preemptions and prompt tokens read.
	Preempted int
	Read      ident.Tokens
}

// Load returns the engine's load.
func (e *Engine) Load() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Load{len(e.running), len(e.waiting), e.slots(), e.memory.firm(), e.preempted, e.read}
}

func (e *Engine) slots() int {
	if e.Slots == 0 {
		return defaultSlots
	}
	return e.Slots
}

// Submit queues a request. The caller must Leave the run.
func (e *Engine) Submit(r Request) (*Run, error) {
	var named ident.Tokens
	for _, p := range r.Parts {
		named += p.Tokens
	}
	r.Prompt = max(r.Prompt, named)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.memory.limit = e.Memory
	if e.Memory == 0 {
		e.memory.limit = defaultMemory
	}
	if r.Prompt+r.Output > e.memory.limit {
		return nil, ErrTooLarge
	}
	if len(e.waiting) >= e.Queue && len(e.running)+len(e.waiting) >= e.slots() {
		return nil, ErrFull
	}
	run := &Run{engine: e, request: r, keys: keysOf(r.Parts), made: r.Made, changed: make(chan struct{})}
	e.waiting = append(e.waiting, run)
	if !e.isLooping {
		e.isLooping = true
		go e.loop()
	}
	return run, nil
}

// loop runs steps while there is work.
func (e *Engine) loop() {
	for {
		cost, busy := e.begin()
		if !busy {
			return
		}
		time.Sleep(cost)
		e.end()
	}
}

// begin admits what fits and returns the time of the next step.
func (e *Engine) begin() (cost time.Duration, busy bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.waiting) > 0 && len(e.running) < e.slots() && e.admit(e.waiting[0]) {
		e.running = append(e.running, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	if len(e.running) == 0 {
		e.isLooping = false
		return 0, false
	}
	chunk := e.chunk()
	var read ident.Tokens
	for _, run := range e.running {
		read += min(run.left, chunk-read)
	}
	return e.Step + time.Duration(len(e.running))*e.PerRequest + time.Duration(read)*e.Prefill, true
}

func (e *Engine) chunk() ident.Tokens {
	if e.Chunk == 0 {
		return defaultChunk
	}
	return e.Chunk
}

// admit gives a run its memory and finds what it has to read.
func (e *Engine) admit(run *Run) bool {
	cached := e.memory.match(run.keys)
	private := run.request.Prompt + run.made
	for _, p := range run.request.Parts {
		private -= p.Tokens
	}
	if !e.memory.take(run.keys, run.request.Parts, private) {
		return false
	}
	run.private = private
	// The last token of a prompt is read in any case: it gives the first one.
	run.left = max(run.request.Prompt+run.made-cached, 1)
	return true
}

// end does the work of one step.
func (e *Engine) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	chunk := e.chunk()
	for _, run := range slices.Clone(e.running) {
		if !slices.Contains(e.running, run) {
			continue // it was preempted in this step.
		}
		if run.left > 0 {
			n := min(run.left, chunk)
			run.left -= n
			chunk -= n
			e.read += n
			if run.left > 0 {
				continue
			}
			e.memory.setRead(run.keys)
		}
		e.makeToken(run)
	}
}

// makeToken preempts the newest runs until the token fits.
func (e *Engine) makeToken(run *Run) {
	run.made++
	run.private++
	for fits := e.memory.grow(1); !fits && len(e.running) > 1; fits = e.memory.grow(0) {
		newest := e.running[len(e.running)-1]
		e.preempted++
		e.stop(newest)
		e.waiting = slices.Insert(e.waiting, 0, newest)
		if newest == run {
			break
		}
	}
	if run.made >= run.request.Output {
		run.ended = true
		e.remove(run)
	}
	close(run.changed)
	run.changed = make(chan struct{})
}

// stop takes a run out of the batch.
func (e *Engine) stop(run *Run) {
	e.running = slices.DeleteFunc(e.running, func(r *Run) bool { return r == run })
	e.memory.release(run.keys, run.private)
}

// remove takes a run out of the engine.
func (e *Engine) remove(run *Run) {
	if slices.Contains(e.running, run) {
		e.stop(run)
	}
	e.waiting = slices.DeleteFunc(e.waiting, func(r *Run) bool { return r == run })
}

// Wait waits until more tokens than those made before are there, and returns
// how many. A run that has ended has no more.
func (r *Run) Wait(ctx context.Context, before ident.Tokens) (ident.Tokens, error) {
	for {
		r.engine.mu.Lock()
		made, ended, changed := r.made, r.ended, r.changed
		r.engine.mu.Unlock()
		if made > before || ended {
			return made, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return made, ctx.Err()
		}
	}
}

// Leave drops the request wherever it is.
func (r *Run) Leave() {
	r.engine.mu.Lock()
	defer r.engine.mu.Unlock()
	r.engine.remove(r)
}
