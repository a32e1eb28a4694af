// Package batch simulates an inference engine: continuous batching, chunked
// prefill, one KV cache for running requests and cached prompts, and preemption
// when the cache is full.
//
// It does no tensor arithmetic. A batch step takes the time that its requests
// and its prompt tokens cost, and every request past its prefill generates one
// token in it. Requests are admitted in order of arrival, and preempted requests
// return to the head of the queue; there are no priorities.
//
// # Usage
//
//	e := &batch.Engine{
//		Slots: 9, CacheTokens: 50_000,
//		StepTime: 3 * time.Millisecond, PrefillTimePerToken: 20 * time.Microsecond,
//	}
//	seq, err := e.Submit(batch.Request{PromptTokens: 700, OutputTokens: 40, Parts: parts})
//	if err != nil {
//		return err
//	}
//	defer seq.Cancel()
//	generated, err := seq.Wait(ctx, 0) // until the first token
package batch

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"goldcrestwick/internal/process/ident"
)

// Defaults for fields that are zero: the sizes of a small engine.
const (
	defaultSlots        = 8
	defaultCacheTokens  = ident.Tokens(100_000)
	defaultPrefillChunk = ident.Tokens(512)
)

// The errors that Submit returns.
var (
	ErrQueueFull = errors.New("the engine's queue is full")
	ErrTooLarge  = errors.New("the request exceeds the engine's KV cache")
)

// Engine simulates one inference engine. The zero value takes no time and has
// the default sizes. It is safe for concurrent use.
type Engine struct {
	// Slots is the maximum number of requests that run at once; 0 means 8.
	// MaxWaiting is the number of waiting requests from which on Submit refuses
	// further ones, unless fewer than Slots requests run or wait.
	Slots, MaxWaiting int
	// CacheTokens is the capacity of the KV cache, which holds the tokens of running
	// requests and cached prompt parts; 0 means 100,000.
	CacheTokens ident.Tokens
	// PrefillChunk bounds the tokens that one step prefills; 0 means 512.
	PrefillChunk ident.Tokens
	// The time of an empty step, the time that each running request adds, and
	// the time to prefill one prompt token.
	StepTime, TimePerRequest, PrefillTimePerToken time.Duration

	mu            sync.Mutex
	isLoopRunning bool
	waiting       []*Sequence
	running       []*Sequence
	cache         kvCache
	preemptions   int
	prefilled     ident.Tokens
}

// PromptPart is a segment of a prompt; prompts that start with the same
// segments share a cached prefix.
type PromptPart struct {
	ID     string
	Tokens ident.Tokens
}

// Request describes a generation request.
type Request struct {
	// PromptTokens is the length of the whole prompt. Parts are the segments
	// that it starts with; Submit raises PromptTokens to their sum if it is lower.
	PromptTokens ident.Tokens
	Parts        []PromptPart
	// OutputTokens is the length of the answer, GeneratedTokens the number of
	// its tokens that another engine has generated already. At least one more token
	// is generated in any case.
	OutputTokens, GeneratedTokens ident.Tokens
}

// Sequence is a request that an engine accepted.
type Sequence struct {
	engine  *Engine
	request Request
	keys    []string // cache keys of request.Parts
	// privateTokens counts the cached tokens that the sequence does not share:
	// the rest of its prompt and the tokens generated.
	privateTokens ident.Tokens
	// prefillRemaining is the number of tokens still to prefill. They include the
	// tokens generated before a preemption or by another engine.
	prefillRemaining ident.Tokens
	generated        ident.Tokens
	isFinished       bool
	progress         chan struct{}
}

// Load is the current load of an engine and its counters.
type Load struct {
	Running, Waiting, Slots int
	// PinnedTokens is the number of cached tokens that cannot be evicted.
	PinnedTokens ident.Tokens
	// The number of preemptions and of tokens prefilled so far.
	Preemptions     int
	PrefilledTokens ident.Tokens
}

// Load returns the engine's load.
func (e *Engine) Load() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Load{len(e.running), len(e.waiting), e.slots(), e.cache.pinnedTokens(), e.preemptions, e.prefilled}
}

func (e *Engine) slots() int {
	if e.Slots == 0 {
		return defaultSlots
	}
	return e.Slots
}

// Submit queues a request. It returns ErrTooLarge if the request can never fit
// the KV cache and ErrQueueFull if the queue is full. A sequence that is not
// canceled runs to its end, whether or not the caller waits for it.
func (e *Engine) Submit(r Request) (*Sequence, error) {
	var partTokens ident.Tokens
	for _, p := range r.Parts {
		partTokens += p.Tokens
	}
	r.PromptTokens = max(r.PromptTokens, partTokens)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.capacity = e.CacheTokens
	if e.CacheTokens == 0 {
		e.cache.capacity = defaultCacheTokens
	}
	if r.PromptTokens.Plus(r.OutputTokens) > e.cache.capacity {
		return nil, ErrTooLarge
	}
	if len(e.waiting) >= e.MaxWaiting && len(e.running)+len(e.waiting) >= e.slots() {
		return nil, ErrQueueFull
	}
	seq := &Sequence{engine: e, request: r, keys: prefixKeys(r.Parts), generated: r.GeneratedTokens, progress: make(chan struct{})}
	e.waiting = append(e.waiting, seq)
	if !e.isLoopRunning {
		e.isLoopRunning = true
		go e.loop()
	}
	return seq, nil
}

// loop runs batch steps until no sequence can run.
func (e *Engine) loop() {
	for {
		cost, isBusy := e.beginStep()
		if !isBusy {
			return
		}
		time.Sleep(cost)
		e.endStep()
	}
}

// beginStep admits the waiting sequences that fit and returns the duration of
// the next step, or false if no sequence is running.
func (e *Engine) beginStep() (cost time.Duration, isBusy bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.waiting) > 0 && len(e.running) < e.slots() && e.admit(e.waiting[0]) {
		e.running = append(e.running, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	if len(e.running) == 0 {
		e.isLoopRunning = false
		return 0, false
	}
	chunk := e.prefillChunk()
	var prefilled ident.Tokens
	for _, seq := range e.running {
		prefilled += min(seq.prefillRemaining, chunk-prefilled)
	}
	return e.StepTime + time.Duration(len(e.running))*e.TimePerRequest + time.Duration(prefilled)*e.PrefillTimePerToken, true
}

func (e *Engine) prefillChunk() ident.Tokens {
	if e.PrefillChunk == 0 {
		return defaultPrefillChunk
	}
	return e.PrefillChunk
}

// admit allocates the cache tokens of a sequence, computes the length of its
// prefill, and reports whether the sequence fits.
func (e *Engine) admit(seq *Sequence) bool {
	cached := e.cache.cachedTokens(seq.keys)
	private := seq.request.PromptTokens + seq.generated
	for _, p := range seq.request.Parts {
		private -= p.Tokens
	}
	if !e.cache.allocate(seq.keys, seq.request.Parts, private) {
		return false
	}
	seq.privateTokens = private
	// The last token of a prompt is always prefilled: the first output token is
	// computed from it.
	seq.prefillRemaining = max(seq.request.PromptTokens+seq.generated-cached, 1)
	return true
}

// endStep applies one batch step: prefill in order of admission, and one token
// for each sequence past its prefill.
func (e *Engine) endStep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	chunk := e.prefillChunk()
	for _, seq := range slices.Clone(e.running) {
		if !slices.Contains(e.running, seq) {
			continue // preempted in this step.
		}
		if seq.prefillRemaining > 0 {
			n := min(seq.prefillRemaining, chunk)
			seq.prefillRemaining -= n
			chunk -= n
			e.prefilled += n
			if seq.prefillRemaining > 0 {
				continue
			}
			e.cache.markPrefilled(seq.keys)
		}
		e.generateToken(seq)
	}
}

// generateToken adds one token to a sequence and preempts the newest sequences
// until it fits.
func (e *Engine) generateToken(seq *Sequence) {
	seq.generated++
	seq.privateTokens++
	for fits := e.cache.addPrivate(1); !fits && len(e.running) > 1; fits = e.cache.addPrivate(0) {
		newest := e.running[len(e.running)-1]
		e.preemptions++
		e.removeRunning(newest)
		e.waiting = slices.Insert(e.waiting, 0, newest)
		if newest == seq {
			break
		}
	}
	if seq.generated >= seq.request.OutputTokens {
		seq.isFinished = true
		e.remove(seq)
	}
	close(seq.progress)
	seq.progress = make(chan struct{})
}

// removeRunning removes a sequence from the batch and frees its cache tokens.
func (e *Engine) removeRunning(seq *Sequence) {
	e.running = slices.DeleteFunc(e.running, func(s *Sequence) bool { return s == seq })
	e.cache.release(seq.keys, seq.privateTokens)
}

// remove removes a sequence from the batch and the queue.
func (e *Engine) remove(seq *Sequence) {
	if slices.Contains(e.running, seq) {
		e.removeRunning(seq)
	}
	e.waiting = slices.DeleteFunc(e.waiting, func(s *Sequence) bool { return s == seq })
}

// Wait blocks until the number of tokens generated exceeds before or the sequence
// has finished, and returns that number.
func (s *Sequence) Wait(ctx context.Context, before ident.Tokens) (ident.Tokens, error) {
	for {
		s.engine.mu.Lock()
		generated, isFinished, progress := s.generated, s.isFinished, s.progress
		s.engine.mu.Unlock()
		if generated > before || isFinished {
			return generated, nil
		}
		select {
		case <-progress:
		case <-ctx.Done():
			return generated, ctx.Err()
		}
	}
}

// Cancel removes the sequence from the engine, whether it waits or runs. It does
// nothing to a sequence that has finished. It does not end a call of Wait, which
// then returns only when its context is done.
func (s *Sequence) Cancel() {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	s.engine.remove(s)
}
