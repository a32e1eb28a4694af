package runner

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/prefix"
)

// Order is an order that a runner has accepted.
type Order struct {
	Command string `json:"order"`
	Target  string `json:"target"`
	Fencing uint64 `json:"fencing"`
}

// cacheEvent reports that a block of the prompt of a request was evicted.
// KeptTokens is the length of the prompt before that block.
type cacheEvent struct {
	createdAt  time.Time
	Sequence   int             `json:"sequence"`
	RequestID  ident.RequestID `json:"request_id"`
	KeptTokens ident.Tokens    `json:"kept_tokens"`
}

type generationRequest struct {
	Model     string `json:"model"`
	MaxTokens int    `json:"max_tokens"`
	Prompt    string `json:"prompt"`
	Messages  []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
}

func (g generationRequest) promptText() string {
	if g.Prompt != "" {
		return g.Prompt
	}
	var b strings.Builder
	for _, m := range g.Messages {
		b.WriteString(m.Role + "\n" + m.Content + "\n")
	}
	return b.String()
}

func (m *Runner) routes() http.Handler {
	r := chi.NewRouter()
	r.Post("/v1/chat/completions", func(w http.ResponseWriter, req *http.Request) { m.serveGenerate(w, req, true) })
	r.Post("/v1/completions", func(w http.ResponseWriter, req *http.Request) { m.serveGenerate(w, req, false) })
	r.Get("/v1/streams/{id}", m.serveResume)
	r.Delete("/v1/streams/{id}", m.serveCancel)
	r.Get("/load", m.serveLoad)
	r.Get("/cache_events", m.serveCacheEvents)
	r.Post("/orders", m.serveOrder)
	return r
}

// ServeHTTP serves the protocol of a model runner.
func (m *Runner) ServeHTTP(w http.ResponseWriter, r *http.Request) { m.router.ServeHTTP(w, r) }

func (m *Runner) serveGenerate(w http.ResponseWriter, r *http.Request, isChat bool) {
	id := ident.RequestID(r.Header.Get("X-Request-Id"))
	var fault Fault
	if m.InjectFault != nil {
		fault = m.InjectFault(id)
	}
	if fault.CloseBeforeRead {
		panic(http.ErrAbortHandler)
	}
	var g generationRequest
	if err := json.NewDecoder(r.Body).Decode(&g); err != nil || id == "" {
		http.Error(w, "the body or X-Request-Id is bad", http.StatusBadRequest)
		return
	}
	if m.CrashPrompt != nil && m.CrashPrompt(g.promptText()) {
		panic(http.ErrAbortHandler)
	}
	s := newStream(id, isChat, g)
	m.mu.Lock()
	m.runCounts[id]++
	if m.streams[id] != nil {
		m.mu.Unlock()
		http.Error(w, "the request id is in use", http.StatusConflict)
		return
	}
	m.streams[id] = s
	m.waiting = append(m.waiting, s)
	m.mu.Unlock()
	select {
	case m.workReady <- struct{}{}:
	default:
	}
	m.streamAnswer(w, r, s, 0, fault)
}

func newStream(id ident.RequestID, isChat bool, g generationRequest) *stream {
	text := g.promptText()
	return &stream{
		id: id, model: g.Model, isChat: isChat,
		fingerprints: prefix.Fingerprints([]byte(text)),
		promptTokens: ident.Tokens(len(text)/prefix.BytesPerToken + 1),
		answer:       Answer(text, max(g.MaxTokens, 1)),
		progress:     make(chan struct{}),
		idleSince:    time.Now(),
	}
}

func (m *Runner) serveResume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	if err != nil {
		from = 0
	}
	m.mu.Lock()
	s := m.streams[ident.RequestID(chi.URLParam(r, "id"))]
	m.mu.Unlock()
	if s == nil || s.isCanceled {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	m.streamAnswer(w, r, s, from, Fault{})
}

func (m *Runner) serveCancel(w http.ResponseWriter, r *http.Request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := m.streams[ident.RequestID(chi.URLParam(r, "id"))]; s != nil {
		s.isCanceled = true
	}
	w.WriteHeader(http.StatusNoContent)
}

// streamAnswer streams the answer from the token with index from on, counted from 0.
func (m *Runner) streamAnswer(w http.ResponseWriter, r *http.Request, s *stream, from int, fault Fault) {
	m.addReaders(s, 1)
	defer m.addReaders(s, -1)
	time.Sleep(fault.Delay)
	if fault.Drop {
		defer m.cancelStream(s)
	}
	if fault.CloseBeforeAnswer {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	for {
		m.mu.Lock()
		generated, isFinished, isCanceled, progress := s.generated, s.isFinished, s.isCanceled, s.progress
		m.mu.Unlock()
		if isCanceled {
			panic(http.ErrAbortHandler)
		}
		for ; from < generated; from++ {
			if fault.CloseAfterTokens > 0 && from >= fault.CloseAfterTokens {
				flusher.Flush() //nolint:errcheck // the connection is closed next.
				panic(http.ErrAbortHandler)
			}
			m.notifySent(s.id, from, false)
			if fault.SkipToken > 0 && from == fault.SkipToken {
				continue
			}
			writeToken(w, s, from, fault.WrongID)
		}
		if isFinished {
			m.notifySent(s.id, from, true)
			writeUsage(w, s)
			return
		}
		if flusher.Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-progress:
		}
	}
}

func (m *Runner) notifySent(id ident.RequestID, tokens int, last bool) {
	if m.OnSend != nil {
		m.OnSend(id, tokens, last)
	}
}

func (m *Runner) addReaders(s *stream, n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s.readers += n
	s.idleSince = time.Now()
}

func (m *Runner) cancelStream(s *stream) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s.isCanceled = true
}

func writeToken(w http.ResponseWriter, s *stream, i int, mismatchedID bool) {
	id, text := s.id, s.answer[i]
	if mismatchedID {
		id, text = "another-request", "foreign "
	}
	finishReason := "null"
	if i == len(s.answer)-1 {
		finishReason = `"stop"`
	}
	body := `"text":"` + text + `"`
	if s.isChat {
		body = `"delta":{"content":"` + text + `"}`
	}
	fmt.Fprintf(w, "id: %d\ndata: {\"id\":%q,\"choices\":[{\"index\":0,%s,\"finish_reason\":%s}]}\n\n", i+1, id, body, finishReason) //nolint:errcheck // Flush reports a write error.
}

func writeUsage(w http.ResponseWriter, s *stream) {
	fmt.Fprintf(w, "data: {\"id\":%q,\"choices\":[],\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d,\"prompt_tokens_details\":{\"cached_tokens\":%d}}}\n\ndata: [DONE]\n\n",
		s.id, s.promptTokens, len(s.answer), s.cachedTokens) //nolint:errcheck // nothing follows.
}

func (m *Runner) serveLoad(w http.ResponseWriter, _ *http.Request) {
	m.mu.Lock()
	var l Load
	if len(m.reports) > 0 {
		l = m.reports[0].Load
	} else {
		l.AsOfUnixMilli = time.Now().UnixMilli()
	}
	l.Draining = m.isDraining
	m.mu.Unlock()
	writeJSON(w, http.StatusOK, l)
}

// queueCacheEvents queues a cache event for each evicted block. Every tenth event
// is replaced by an empty one, which is not published, to test a lossy feed.
func (m *Runner) queueCacheEvents(evicted []cachedBlock) {
	for _, b := range evicted {
		n := len(m.cacheEvents)
		if n%cacheEventsPerLoss == cacheEventsPerLoss-1 {
			m.cacheEvents = append(m.cacheEvents, cacheEvent{})
			continue
		}
		m.cacheEvents = append(m.cacheEvents, cacheEvent{time.Now(), n, b.owner, prefix.TokensOf(b.index, nil)})
	}
}

// serveCacheEvents returns the events that are older than the report lag, from the
// one with sequence number after on. The response holds the value of after for the
// next call.
func (m *Runner) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	if err != nil || after < 0 {
		after = 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	publishedBefore := time.Now().Add(-m.reportLag())
	events := []cacheEvent{}
	next := after
	for ; next < len(m.cacheEvents); next++ {
		ev := m.cacheEvents[next]
		if ev.RequestID == "" {
			continue
		}
		if ev.createdAt.After(publishedBefore) {
			break
		}
		events = append(events, ev)
	}
	writeJSON(w, http.StatusOK, map[string]any{"events": events, "next": next})
}

func (m *Runner) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ChecksFencing && o.Fencing < m.fencing {
		writeJSON(w, http.StatusConflict, map[string]any{"error": "stale_fencing", "fencing": m.fencing})
		return
	}
	m.fencing = max(m.fencing, o.Fencing)
	m.orders = append(m.orders, o)
	writeJSON(w, http.StatusOK, map[string]any{"fencing": m.fencing})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body) //nolint:errcheck // the caller may have disconnected.
}
