// Package runner is a stand-in for a model runner: an engine with continuous
// batching, chunked prefill and a bounded prefix cache, that knows no
// priorities and reports its load with a lag.
//
// It speaks the protocol of docs/PROTOCOLS.md and does no arithmetic on
// tensors: a step of its batch takes the time that the number of sequences,
// their length and the prompt tokens processed would cost, and the text of an
// answer follows from its prompt, so that a caller can tell its own.
//
// # Usage
//
//	e := &runner.Runner{Speed: runner.Fast}
//	e.Start()
//	defer e.Stop()
//	server := httptest.NewServer(e)
//	want := runner.Answer(prompt, maxTokens)
package runner

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"goldcrestwick/internal/process/prefix"
	"goldcrestwick/internal/request/ident"
)

// Speed is what a generation of hardware costs.
type Speed struct {
	// Step is the time of a batch step, PerSequence what each sequence adds,
	// PerToken what each cached token of the batch adds.
	Step        time.Duration
	PerSequence time.Duration
	PerToken    time.Duration
	// Prefill is the time for one prompt token.
	Prefill time.Duration
}

// Three generations of hardware.
var (
	Fast   = Speed{12 * time.Millisecond, 500 * time.Microsecond, 50 * time.Nanosecond, 60 * time.Microsecond}
	Medium = Speed{20 * time.Millisecond, 900 * time.Microsecond, 90 * time.Nanosecond, 120 * time.Microsecond}
	Slow   = Speed{32 * time.Millisecond, 1500 * time.Microsecond, 150 * time.Nanosecond, 250 * time.Microsecond}
)

const (
	chunkTokens        = 512
	defaultBatch       = 64
	defaultKV          = 128 << 10
	defaultCacheBlocks = 1024
	defaultLag         = time.Second
	resumeGrace        = 10 * time.Second
	keepFinished       = 30 * time.Second
	eventGap           = 10 // one cache event in so many is never published
)

// Runner is one engine. Set the fields, then call Start. The zero value is an
// engine of no cost; it is safe for concurrent use.
type Runner struct {
	Speed Speed
	// Batch bounds the sequences that run at once; 0 takes 64.
	Batch int
	// KV bounds the tokens of the running sequences; 0 takes 131,072.
	KV ident.Tokens
	// CacheBlocks bounds the prefix cache; 0 takes 1,024 blocks.
	CacheBlocks int
	// Lag is the age of load reports and cache events; 0 takes 1 s.
	Lag time.Duration
	// ChecksFencing makes the engine refuse orders with an old number.
	ChecksFencing bool
	// Fault decides the fate of each generation request; nil means none.
	Fault func(id ident.RequestID) Fault
	// Slowdown multiplies the time of a step; nil or values below 1 mean 1.
	Slowdown func() float64
	// Sent is called before each token is sent, and once with last set before
	// the end of the answer. Nil is allowed.
	Sent func(id ident.RequestID, tokens int, last bool)
	// Holdings, when set, is shared by all engines and counts wasted prefill.
	Holdings *Holdings

	mu       sync.Mutex
	streams  map[ident.RequestID]*stream
	waiting  []*stream
	running  []*stream
	cache    cache
	wake     chan struct{}
	stop     context.CancelFunc
	done     sync.WaitGroup
	draining bool
	reports  []report
	runs     map[ident.RequestID]int
	events   []cacheEvent
	fencing  uint64
	orders   []Order
	work     ident.Tokens
	router   http.Handler
}

// Fault is what goes wrong with one request.
type Fault struct {
	// Refuse closes the connection before anything was read.
	Refuse bool
	// CutBeforeFirst closes the connection before the first byte.
	CutBeforeFirst bool
	// CutAfter closes the connection after so many tokens; 0 means never.
	CutAfter int
	// Skip leaves the token with this number out; 0 means none.
	Skip int
	// Lose makes the stream impossible to resume.
	Lose bool
	// Crossed sends another request's identifier in the events.
	Crossed bool
	// Delay holds the answer back.
	Delay time.Duration
}

// stream is one generation.
type stream struct {
	id       ident.RequestID
	model    string
	chat     bool
	prints   []ident.Fingerprint
	prompt   ident.Tokens
	cached   ident.Tokens
	left     ident.Tokens // prompt tokens still to process
	answer   []string
	produced int
	admitted bool
	ended    bool
	canceled bool
	readers  int
	idle     time.Time
	changed  chan struct{}
}

type report struct {
	at time.Time
	Load
}

// Load is the engine's own word on its load.
type Load struct {
	AsOf     int64 `json:"as_of_unix_ms"`
	Running  int   `json:"running"`
	Waiting  int   `json:"waiting"`
	KVTokens int64 `json:"kv_tokens"`
	KVLimit  int64 `json:"kv_limit_tokens"`
	Draining bool  `json:"draining"`
}

// Start begins the batch loop.
func (e *Runner) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	e.stop = cancel
	e.wake = make(chan struct{}, 1)
	e.streams = map[ident.RequestID]*stream{}
	e.runs = map[ident.RequestID]int{}
	e.cache.limit = e.CacheBlocks
	if e.cache.limit == 0 {
		e.cache.limit = defaultCacheBlocks
	}
	e.router = e.routes()
	e.done.Go(func() { e.loop(ctx) })
}

// Stop ends the batch loop.
func (e *Runner) Stop() {
	e.stop()
	e.done.Wait()
}

// Drain makes the engine report that it is leaving.
func (e *Runner) Drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
}

// Runs returns how often each request was dispatched here.
func (e *Runner) Runs() map[ident.RequestID]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	all := make(map[ident.RequestID]int, len(e.runs))
	for id, n := range e.runs {
		all[id] = n
	}
	return all
}

// PrefillWork returns the prompt tokens processed so far.
func (e *Runner) PrefillWork() ident.Tokens {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.work
}

func (e *Runner) loop(ctx context.Context) {
	for ctx.Err() == nil {
		cost, busy := e.begin()
		if !busy {
			select {
			case <-ctx.Done():
			case <-e.wake:
			case <-time.After(e.lag()):
				e.mu.Lock()
				e.snapshot()
				e.mu.Unlock()
			}
			continue
		}
		if cost > 0 {
			time.Sleep(cost)
		}
		e.end()
	}
}

// begin admits waiting streams and returns the time of the next step.
func (e *Runner) begin() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.admit()
	e.snapshot()
	if len(e.running) == 0 {
		return 0, false
	}
	var kv, chunk ident.Tokens
	for _, s := range e.running {
		kv += s.prompt + ident.Tokens(s.produced)
		chunk += min(s.left, chunkTokens-chunk)
	}
	cost := e.Speed.Step + time.Duration(len(e.running))*e.Speed.PerSequence +
		time.Duration(kv)*e.Speed.PerToken + time.Duration(chunk)*e.Speed.Prefill
	if e.Slowdown != nil {
		cost = time.Duration(float64(cost) * max(e.Slowdown(), 1))
	}
	return cost, true
}

func (e *Runner) admit() {
	batch, limit := e.Batch, e.KV
	if batch == 0 {
		batch = defaultBatch
	}
	if limit == 0 {
		limit = defaultKV
	}
	var kv ident.Tokens
	for _, s := range e.running {
		kv += s.size()
	}
	for len(e.waiting) > 0 && len(e.running) < batch {
		s := e.waiting[0]
		if len(e.running) > 0 && kv+s.size() > limit {
			return
		}
		e.waiting = e.waiting[1:]
		if s.canceled {
			continue
		}
		kv += s.size()
		s.admitted = true
		s.cached = min(prefix.TokensOf(e.cache.match(s.prints), nil), s.prompt-1)
		s.left = s.prompt - s.cached
		if e.Holdings != nil {
			e.Holdings.prefill(s.id, s.prints, s.left)
		}
		e.running = append(e.running, s)
	}
}

func (s *stream) size() ident.Tokens { return s.prompt + ident.Tokens(len(s.answer)) }

// end does the work of one step: a chunk of prefill in the order of arrival,
// and one token for every sequence that is past it.
func (e *Runner) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	chunk := ident.Tokens(chunkTokens)
	kept := e.running[:0]
	for _, s := range e.running {
		e.advance(s, &chunk)
		if s.ended || s.canceled {
			s.idle = time.Now()
			continue
		}
		kept = append(kept, s)
	}
	clear(e.running[len(kept):])
	e.running = kept
	e.forget()
}

func (e *Runner) advance(s *stream, chunk *ident.Tokens) {
	if s.readers == 0 && time.Since(s.idle) > resumeGrace {
		s.canceled = true
	}
	if s.canceled {
		s.notify()
		return
	}
	if s.left > 0 {
		n := min(s.left, *chunk)
		s.left -= n
		*chunk -= n
		e.work += n
		if s.left > 0 {
			return
		}
		dropped := e.cache.insert(s.prints, s.id)
		if e.Holdings != nil {
			e.Holdings.change(e, s.prints, dropped)
		}
		e.published(dropped)
	}
	s.produced++
	s.ended = s.produced == len(s.answer)
	s.notify()
}

func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (e *Runner) forget() {
	for id, s := range e.streams {
		if (s.ended || s.canceled) && s.readers == 0 && time.Since(s.idle) > keepFinished {
			delete(e.streams, id)
		}
	}
}

func (e *Runner) lag() time.Duration {
	if e.Lag == 0 {
		return defaultLag
	}
	return e.Lag
}

// snapshot keeps the load for the reports to come.
func (e *Runner) snapshot() {
	now := time.Now()
	if n := len(e.reports); n > 0 && now.Sub(e.reports[n-1].at) < e.lag()/4 {
		return
	}
	var kv ident.Tokens
	for _, s := range e.running {
		kv += s.size()
	}
	limit := e.KV
	if limit == 0 {
		limit = defaultKV
	}
	e.reports = append(e.reports, report{now, Load{
		AsOf: now.UnixMilli(), Running: len(e.running), Waiting: len(e.waiting),
		KVTokens: int64(kv), KVLimit: int64(limit),
	}})
	for len(e.reports) > 1 && now.Sub(e.reports[1].at) >= e.lag() {
		e.reports = e.reports[1:]
	}
}

// Answer returns the tokens that every Runner gives for a prompt: between half
// of the limit and all of it.
func Answer(prompt string, limit int) []string {
	seed := xxhash.Sum64String(prompt)
	n := limit/2 + int(seed%uint64(limit-limit/2)) + 1
	n = min(n, limit)
	words := make([]string, n)
	for i := range words {
		seed = seed*6364136223846793005 + 1442695040888963407
		words[i] = word(seed >> 40)
	}
	return words
}

const letters = "abcdefghijklmnopqrstuvwxyz"

func word(n uint64) string {
	var b [4]byte
	for i := range 3 {
		b[i] = letters[n%uint64(len(letters))]
		n /= uint64(len(letters))
	}
	b[3] = ' '
	return string(b[:])
}
