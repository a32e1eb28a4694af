// Package runner is a stand-in for a model runner: an inference engine with
// continuous batching, chunked prefill and a bounded prefix cache. It has no
// priorities and reports its load with a lag.
//
// It serves completions, chat completions, resumption and cancellation of their
// streams, load reports, cache events and orders (see routes in serve.go), and
// does no tensor arithmetic.
// The time of a batch step depends on the number of sequences, their length and
// the prompt tokens prefilled. The text of an answer is a function of its prompt,
// so that a caller can verify that the answer is its own.
//
// # Usage
//
//	r := &runner.Runner{StepCost: runner.Fast}
//	r.Start()
//	defer r.Stop()
//	server := httptest.NewServer(r)
//	want := runner.Answer(prompt, maxTokens)
package runner

import (
	"context"
	"net/http"
	"sync"
	"time"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/prefix"
)

// StepCost is the time that a batch step takes on a generation of hardware.
type StepCost struct {
	// The base time of a step, the time that each sequence adds, and the time
	// that each token of the batch in the KV cache adds.
	Base        time.Duration
	PerSequence time.Duration
	PerKVToken  time.Duration
	// PerPromptToken is the time to prefill one prompt token.
	PerPromptToken time.Duration
}

// Three generations of hardware.
var (
	Fast   = StepCost{12 * time.Millisecond, 500 * time.Microsecond, 50 * time.Nanosecond, 60 * time.Microsecond}
	Medium = StepCost{20 * time.Millisecond, 900 * time.Microsecond, 90 * time.Nanosecond, 120 * time.Microsecond}
	Slow   = StepCost{32 * time.Millisecond, 1500 * time.Microsecond, 150 * time.Nanosecond, 250 * time.Microsecond}
)

const (
	prefillChunkTokens      = 512
	defaultMaxSequences     = 64
	defaultKVCapacityTokens = 128 << 10
	defaultCacheBlocks      = 1024
	defaultReportLag        = time.Second
	// resumeTimeout is how long a running stream without a reader can be resumed;
	// then it is canceled.
	resumeTimeout = 10 * time.Second
	// finishedStreamTTL is how long a finished or canceled stream without a reader
	// is kept.
	finishedStreamTTL = 30 * time.Second
	// One of every cacheEventsPerLoss cache events is not published, to test that
	// the scheduler tolerates a lossy feed.
	cacheEventsPerLoss = 10
)

// Runner is one model runner. Set the fields, then call Start. The steps of the
// zero value take no time. It is safe for concurrent use.
type Runner struct {
	StepCost StepCost
	// MaxSequences bounds the number of sequences that run at once; 0 means 64.
	MaxSequences int
	// KVCapacity bounds the tokens of the running sequences; 0 means 131,072.
	KVCapacity ident.Tokens
	// CacheCapacityBlocks bounds the prefix cache; 0 means 1,024 blocks.
	CacheCapacityBlocks int
	// ReportLag is the age of load reports and cache events; 0 means 1 s.
	ReportLag time.Duration
	// ChecksFencing makes the runner reject orders with a fencing number below
	// the highest seen.
	ChecksFencing bool
	// InjectFault returns the fault to inject into a generation request; nil means
	// none.
	InjectFault func(id ident.RequestID) Fault
	// Slowdown multiplies the time of a step; nil or values below 1 mean 1.
	Slowdown func() float64
	// OnSend is called before each token is sent, with the number of tokens before
	// it, and once with last set before the end of the answer. It can be nil.
	OnSend func(id ident.RequestID, tokens int, last bool)
	// CrashPrompt, if not nil, is called with the prompt of each generation request. If it
	// returns true, the runner has crashed.
	CrashPrompt func(prompt string) bool
	// CacheDirectory is shared by all runners and counts wasted prefill. It can be nil.
	CacheDirectory *CacheDirectory

	mu          sync.Mutex
	streams     map[ident.RequestID]*stream
	waiting     []*stream
	running     []*stream
	cache       prefixCache
	workReady   chan struct{}
	cancelLoop  context.CancelFunc
	loops       sync.WaitGroup
	isDraining  bool
	reports     []loadReport
	runCounts   map[ident.RequestID]int
	cacheEvents []cacheEvent
	fencing     uint64
	orders      []Order
	prefilled   ident.Tokens
	router      http.Handler
}

// Fault is a set of faults to inject into one request.
type Fault struct {
	// CloseBeforeRead closes the connection before the request body is read.
	CloseBeforeRead bool
	// CloseBeforeAnswer closes the connection before the first byte of the answer.
	CloseBeforeAnswer bool
	// CloseAfterTokens closes the connection after so many tokens; 0 means never.
	CloseAfterTokens int
	// SkipToken is the index of a token that is not sent; 0 means none.
	SkipToken int
	// Drop cancels the stream when its first connection ends, whether or not
	// another fault closed it. A later request to resume the stream gets 404.
	Drop bool
	// WrongID sends events with the ID of another request and a wrong text.
	WrongID bool
	// Delay is the time to wait before the answer.
	Delay time.Duration
}

// stream is one generation request, which callers can resume.
type stream struct {
	id               ident.RequestID
	model            string
	isChat           bool
	fingerprints     []ident.Fingerprint
	promptTokens     ident.Tokens
	cachedTokens     ident.Tokens
	prefillRemaining ident.Tokens // prompt tokens still to prefill
	answer           []string
	generated        int
	isAdmitted       bool
	isFinished       bool
	isCanceled       bool
	readers          int
	idleSince        time.Time
	progress         chan struct{}
}

type loadReport struct {
	recordedAt time.Time
	Load
}

// Load is the body of a response to GET /load. Draining is current; the other
// fields are as of AsOfUnixMilli, about ReportLag ago.
type Load struct {
	AsOfUnixMilli int64 `json:"as_of_unix_ms"`
	Running       int   `json:"running"`
	Waiting       int   `json:"waiting"`
	KVTokens      int64 `json:"kv_tokens"`
	KVLimit       int64 `json:"kv_limit_tokens"`
	Draining      bool  `json:"draining"`
}

// Start begins the batch loop.
func (m *Runner) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	m.cancelLoop = cancel
	m.workReady = make(chan struct{}, 1)
	m.streams = map[ident.RequestID]*stream{}
	m.runCounts = map[ident.RequestID]int{}
	m.cache.capacity = m.CacheCapacityBlocks
	if m.cache.capacity == 0 {
		m.cache.capacity = defaultCacheBlocks
	}
	m.router = m.routes()
	m.loops.Go(func() { m.loop(ctx) })
}

// Stop ends the batch loop.
func (m *Runner) Stop() {
	m.cancelLoop()
	m.loops.Wait()
}

// Drain makes the runner report that it is draining.
func (m *Runner) Drain() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.isDraining = true
}

// RunCounts returns how often each request was dispatched to this runner.
func (m *Runner) RunCounts() map[ident.RequestID]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	counts := make(map[ident.RequestID]int, len(m.runCounts))
	for id, n := range m.runCounts {
		counts[id] = n
	}
	return counts
}

// PrefilledTokens returns the number of prompt tokens prefilled so far.
func (m *Runner) PrefilledTokens() ident.Tokens {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.prefilled
}

func (m *Runner) loop(ctx context.Context) {
	for ctx.Err() == nil {
		cost, isBusy := m.beginStep()
		if !isBusy {
			select {
			case <-ctx.Done():
			case <-m.workReady:
			case <-time.After(m.reportLag()):
				m.mu.Lock()
				m.recordLoad()
				m.mu.Unlock()
			}
			continue
		}
		if cost > 0 {
			time.Sleep(cost)
		}
		m.endStep()
	}
}

// beginStep admits waiting streams and returns the duration of the next step, or
// false if no stream is running.
func (m *Runner) beginStep() (time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.admit()
	m.recordLoad()
	if len(m.running) == 0 {
		return 0, false
	}
	var kv, chunk ident.Tokens
	for _, s := range m.running {
		kv += s.promptTokens + ident.Tokens(s.generated)
		chunk += min(s.prefillRemaining, prefillChunkTokens-chunk)
	}
	cost := m.StepCost.Base + time.Duration(len(m.running))*m.StepCost.PerSequence +
		time.Duration(kv)*m.StepCost.PerKVToken + time.Duration(chunk)*m.StepCost.PerPromptToken
	if m.Slowdown != nil {
		cost = time.Duration(float64(cost) * max(m.Slowdown(), 1))
	}
	return cost, true
}

func (m *Runner) admit() {
	maxSequences, kvCapacity := m.MaxSequences, m.KVCapacity
	if maxSequences == 0 {
		maxSequences = defaultMaxSequences
	}
	if kvCapacity == 0 {
		kvCapacity = defaultKVCapacityTokens
	}
	var kv ident.Tokens
	for _, s := range m.running {
		kv += s.totalTokens()
	}
	for len(m.waiting) > 0 && len(m.running) < maxSequences {
		s := m.waiting[0]
		if len(m.running) > 0 && kv+s.totalTokens() > kvCapacity {
			return
		}
		m.waiting = m.waiting[1:]
		if s.isCanceled {
			continue
		}
		kv += s.totalTokens()
		s.isAdmitted = true
		s.cachedTokens = min(prefix.TokensOf(m.cache.match(s.fingerprints), nil), s.promptTokens-1)
		s.prefillRemaining = s.promptTokens - s.cachedTokens
		if m.CacheDirectory != nil {
			m.CacheDirectory.countPrefill(s.id, s.fingerprints, s.prefillRemaining)
		}
		m.running = append(m.running, s)
	}
}

// totalTokens returns the number of tokens of the prompt and the whole answer.
func (s *stream) totalTokens() ident.Tokens { return s.promptTokens + ident.Tokens(len(s.answer)) }

// endStep applies one batch step: a chunk of prefill in order of arrival, and one
// token for every stream past its prefill.
func (m *Runner) endStep() {
	m.mu.Lock()
	defer m.mu.Unlock()
	chunk := ident.Tokens(prefillChunkTokens)
	active := m.running[:0]
	for _, s := range m.running {
		m.advance(s, &chunk)
		if s.isFinished || s.isCanceled {
			s.idleSince = time.Now()
			continue
		}
		active = append(active, s)
	}
	clear(m.running[len(active):])
	m.running = active
	m.deleteExpired()
}

func (m *Runner) advance(s *stream, chunk *ident.Tokens) {
	if s.readers == 0 && time.Since(s.idleSince) > resumeTimeout {
		s.isCanceled = true
	}
	if s.isCanceled {
		s.notify()
		return
	}
	if s.prefillRemaining > 0 {
		n := min(s.prefillRemaining, *chunk)
		s.prefillRemaining -= n
		*chunk -= n
		m.prefilled += n
		if s.prefillRemaining > 0 {
			return
		}
		evicted := m.cache.insert(s.fingerprints, s.id)
		if m.CacheDirectory != nil {
			m.CacheDirectory.update(m, s.fingerprints, evicted)
		}
		m.queueCacheEvents(evicted)
	}
	s.generated++
	s.isFinished = s.generated == len(s.answer)
	s.notify()
}

func (s *stream) notify() {
	close(s.progress)
	s.progress = make(chan struct{})
}

func (m *Runner) deleteExpired() {
	for id, s := range m.streams {
		if (s.isFinished || s.isCanceled) && s.readers == 0 && time.Since(s.idleSince) > finishedStreamTTL {
			delete(m.streams, id)
		}
	}
}

func (m *Runner) reportLag() time.Duration {
	if m.ReportLag == 0 {
		return defaultReportLag
	}
	return m.ReportLag
}

// recordLoad appends the current load to the reports and drops those that are no
// longer served: the first report kept is the newest one older than the lag.
func (m *Runner) recordLoad() {
	now := time.Now()
	if n := len(m.reports); n > 0 && now.Sub(m.reports[n-1].recordedAt) < m.reportLag()/4 {
		return
	}
	var kv ident.Tokens
	for _, s := range m.running {
		kv += s.totalTokens()
	}
	kvCapacity := m.KVCapacity
	if kvCapacity == 0 {
		kvCapacity = defaultKVCapacityTokens
	}
	m.reports = append(m.reports, loadReport{now, Load{
		AsOfUnixMilli: now.UnixMilli(), Running: len(m.running), Waiting: len(m.waiting),
		KVTokens: int64(kv), KVLimit: int64(kvCapacity),
	}})
	for len(m.reports) > 1 && now.Sub(m.reports[1].recordedAt) >= m.reportLag() {
		m.reports = m.reports[1:]
	}
}
