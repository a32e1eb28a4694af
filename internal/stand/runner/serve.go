package runner

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"goldcrestwick/internal/process/prefix"
	"goldcrestwick/internal/request/ident"
)

// Order is an order that a runner has accepted.
type Order struct {
	Command string `json:"order"`
	Target  string `json:"target"`
	Fencing uint64 `json:"fencing"`
}

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

func (e *Runner) routes() http.Handler {
	r := chi.NewRouter()
	r.Post("/v1/chat/completions", func(w http.ResponseWriter, req *http.Request) { e.serveGenerate(w, req, true) })
	r.Post("/v1/completions", func(w http.ResponseWriter, req *http.Request) { e.serveGenerate(w, req, false) })
	r.Get("/v1/streams/{id}", e.serveResume)
	r.Delete("/v1/streams/{id}", e.serveCancel)
	r.Get("/load", e.serveLoad)
	r.Get("/cache_events", e.serveCacheEvents)
	r.Post("/orders", e.serveOrder)
	return r
}

// ServeHTTP serves the protocol of a model runner.
func (e *Runner) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.router.ServeHTTP(w, r) }

func (e *Runner) serveGenerate(w http.ResponseWriter, r *http.Request, isChat bool) {
	id := ident.RequestID(r.Header.Get("X-Request-Id"))
	var fault Fault
	if e.InjectFault != nil {
		fault = e.InjectFault(id)
	}
	if fault.CloseBeforeRead {
		panic(http.ErrAbortHandler)
	}
	var g generationRequest
	if err := json.NewDecoder(r.Body).Decode(&g); err != nil || id == "" {
		http.Error(w, "the body or X-Request-Id is bad", http.StatusBadRequest)
		return
	}
	s := newStream(id, isChat, g)
	e.mu.Lock()
	e.runCounts[id]++
	if e.streams[id] != nil {
		e.mu.Unlock()
		http.Error(w, "the request id is in use", http.StatusConflict)
		return
	}
	e.streams[id] = s
	e.waiting = append(e.waiting, s)
	e.mu.Unlock()
	select {
	case e.workReady <- struct{}{}:
	default:
	}
	e.streamAnswer(w, r, s, 0, fault)
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

func (e *Runner) serveResume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	if err != nil {
		from = 0
	}
	e.mu.Lock()
	s := e.streams[ident.RequestID(chi.URLParam(r, "id"))]
	e.mu.Unlock()
	if s == nil || s.isCanceled {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	e.streamAnswer(w, r, s, from, Fault{})
}

func (e *Runner) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s := e.streams[ident.RequestID(chi.URLParam(r, "id"))]; s != nil {
		s.isCanceled = true
	}
	w.WriteHeader(http.StatusNoContent)
}

// streamAnswer streams the answer from token number from on.
func (e *Runner) streamAnswer(w http.ResponseWriter, r *http.Request, s *stream, from int, fault Fault) {
	e.addReaders(s, 1)
	defer e.addReaders(s, -1)
	time.Sleep(fault.Delay)
	if fault.Drop {
		defer e.cancelStream(s)
	}
	if fault.CloseBeforeAnswer {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	for {
		e.mu.Lock()
		generated, isFinished, isCanceled, progress := s.generated, s.isFinished, s.isCanceled, s.progress
		e.mu.Unlock()
		if isCanceled {
			panic(http.ErrAbortHandler)
		}
		for ; from < generated; from++ {
			if fault.CloseAfterTokens > 0 && from >= fault.CloseAfterTokens {
				flusher.Flush() //nolint:errcheck // the connection is closed next.
				panic(http.ErrAbortHandler)
			}
			e.notifySent(s.id, from, false)
			if fault.SkipToken > 0 && from == fault.SkipToken {
				continue
			}
			writeToken(w, s, from, fault.WrongID)
		}
		if isFinished {
			e.notifySent(s.id, from, true)
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

func (e *Runner) notifySent(id ident.RequestID, tokens int, last bool) {
	if e.OnSend != nil {
		e.OnSend(id, tokens, last)
	}
}

func (e *Runner) addReaders(s *stream, n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.readers += n
	s.idleSince = time.Now()
}

func (e *Runner) cancelStream(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
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

func (e *Runner) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	var l Load
	if len(e.reports) > 0 {
		l = e.reports[0].Load
	} else {
		l.AsOfUnixMilli = time.Now().UnixMilli()
	}
	l.Draining = e.isDraining
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, l)
}

// queueCacheEvents queues a cache event for each evicted block. Every tenth event
// is replaced by an empty one, which is not published, to test a lossy feed.
func (e *Runner) queueCacheEvents(evicted []cachedBlock) {
	for _, b := range evicted {
		n := len(e.cacheEvents)
		if n%lostEventInterval == lostEventInterval-1 {
			e.cacheEvents = append(e.cacheEvents, cacheEvent{})
			continue
		}
		e.cacheEvents = append(e.cacheEvents, cacheEvent{time.Now(), n, b.owner, prefix.TokensOf(b.index, nil)})
	}
}

func (e *Runner) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	if err != nil || after < 0 {
		after = 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	publishedBefore := time.Now().Add(-e.reportLag())
	events := []cacheEvent{}
	next := after
	for ; next < len(e.cacheEvents); next++ {
		ev := e.cacheEvents[next]
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

func (e *Runner) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ChecksFencing && o.Fencing < e.fencing {
		writeJSON(w, http.StatusConflict, map[string]any{"error": "stale_fencing", "fencing": e.fencing})
		return
	}
	e.fencing = max(e.fencing, o.Fencing)
	e.orders = append(e.orders, o)
	writeJSON(w, http.StatusOK, map[string]any{"fencing": e.fencing})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body) //nolint:errcheck // the caller may have disconnected.
}
