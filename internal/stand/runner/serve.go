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

// Order is one order as an engine took it.
type Order struct {
	Order   string `json:"order"`
	Target  string `json:"target"`
	Fencing uint64 `json:"fencing"`
}

type cacheEvent struct {
	at        time.Time
	Sequence  int             `json:"sequence"`
	RequestID ident.RequestID `json:"request_id"`
	Kept      ident.Tokens    `json:"kept_tokens"`
}

type generation struct {
	Model     string `json:"model"`
	MaxTokens int    `json:"max_tokens"`
	Prompt    string `json:"prompt"`
	Messages  []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
}

func (g generation) text() string {
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
	r.Post("/v1/chat/completions", func(w http.ResponseWriter, req *http.Request) { e.generate(w, req, true) })
	r.Post("/v1/completions", func(w http.ResponseWriter, req *http.Request) { e.generate(w, req, false) })
	r.Get("/v1/streams/{id}", e.resume)
	r.Delete("/v1/streams/{id}", e.cancel)
	r.Get("/load", e.load)
	r.Get("/cache_events", e.cacheEvents)
	r.Post("/orders", e.order)
	return r
}

// ServeHTTP serves the engine's protocol.
func (e *Runner) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.router.ServeHTTP(w, r) }

func (e *Runner) generate(w http.ResponseWriter, r *http.Request, chat bool) {
	id := ident.RequestID(r.Header.Get("X-Request-Id"))
	var fault Fault
	if e.Fault != nil {
		fault = e.Fault(id)
	}
	if fault.Refuse {
		panic(http.ErrAbortHandler)
	}
	var g generation
	if err := json.NewDecoder(r.Body).Decode(&g); err != nil || id == "" {
		http.Error(w, "the body or X-Request-Id is bad", http.StatusBadRequest)
		return
	}
	s := newStream(id, chat, g)
	e.mu.Lock()
	e.runs[id]++
	if e.streams[id] != nil {
		e.mu.Unlock()
		http.Error(w, "the request id is in use", http.StatusConflict)
		return
	}
	e.streams[id] = s
	e.waiting = append(e.waiting, s)
	e.mu.Unlock()
	select {
	case e.wake <- struct{}{}:
	default:
	}
	e.send(w, r, s, 0, fault)
}

func newStream(id ident.RequestID, chat bool, g generation) *stream {
	text := g.text()
	return &stream{
		id: id, model: g.Model, chat: chat,
		prints:  prefix.Fingerprints([]byte(text)),
		prompt:  ident.Tokens(len(text)/prefix.BytesPerToken + 1),
		answer:  Answer(text, max(g.MaxTokens, 1)),
		changed: make(chan struct{}),
		idle:    time.Now(),
	}
}

func (e *Runner) resume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	if err != nil {
		from = 0
	}
	e.mu.Lock()
	s := e.streams[ident.RequestID(chi.URLParam(r, "id"))]
	e.mu.Unlock()
	if s == nil || s.canceled {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	e.send(w, r, s, from, Fault{})
}

func (e *Runner) cancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s := e.streams[ident.RequestID(chi.URLParam(r, "id"))]; s != nil {
		s.canceled = true
	}
	w.WriteHeader(http.StatusNoContent)
}

// send streams the answer from an offset on.
func (e *Runner) send(w http.ResponseWriter, r *http.Request, s *stream, from int, fault Fault) {
	e.attach(s, 1)
	defer e.attach(s, -1)
	time.Sleep(fault.Delay)
	if fault.Lose {
		defer e.lose(s)
	}
	if fault.CutBeforeFirst {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	for {
		e.mu.Lock()
		produced, ended, canceled, changed := s.produced, s.ended, s.canceled, s.changed
		e.mu.Unlock()
		if canceled {
			panic(http.ErrAbortHandler)
		}
		for ; from < produced; from++ {
			if fault.CutAfter > 0 && from >= fault.CutAfter {
				flusher.Flush() //nolint:errcheck // about to be cut.
				panic(http.ErrAbortHandler)
			}
			e.sent(s.id, from, false)
			if fault.Skip > 0 && from == fault.Skip {
				continue
			}
			writeToken(w, s, from, fault.Crossed)
		}
		if ended {
			e.sent(s.id, from, true)
			writeEnd(w, s)
			return
		}
		if flusher.Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		}
	}
}

func (e *Runner) sent(id ident.RequestID, tokens int, last bool) {
	if e.Sent != nil {
		e.Sent(id, tokens, last)
	}
}

func (e *Runner) attach(s *stream, n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.readers += n
	s.idle = time.Now()
}

func (e *Runner) lose(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.canceled = true
}

func writeToken(w http.ResponseWriter, s *stream, i int, crossed bool) {
	id, text := s.id, s.answer[i]
	if crossed {
		id, text = "another-request", "foreign "
	}
	finish := "null"
	if i == len(s.answer)-1 {
		finish = `"stop"`
	}
	body := `"text":"` + text + `"`
	if s.chat {
		body = `"delta":{"content":"` + text + `"}`
	}
	fmt.Fprintf(w, "id: %d\ndata: {\"id\":%q,\"choices\":[{\"index\":0,%s,\"finish_reason\":%s}]}\n\n", i+1, id, body, finish) //nolint:errcheck // seen at the flush.
}

func writeEnd(w http.ResponseWriter, s *stream) {
	fmt.Fprintf(w, "data: {\"id\":%q,\"choices\":[],\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d,\"prompt_tokens_details\":{\"cached_tokens\":%d}}}\n\ndata: [DONE]\n\n",
		s.id, s.prompt, len(s.answer), s.cached) //nolint:errcheck // the end in any case.
}

func (e *Runner) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	var l Load
	if len(e.reports) > 0 {
		l = e.reports[0].Load
	} else {
		l.AsOf = time.Now().UnixMilli()
	}
	l.Draining = e.draining
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, l)
}

// published queues the cache events for dropped blocks; some are lost.
func (e *Runner) published(dropped []block) {
	for _, b := range dropped {
		n := len(e.events)
		if n%eventGap == eventGap-1 {
			e.events = append(e.events, cacheEvent{})
			continue
		}
		e.events = append(e.events, cacheEvent{time.Now(), n, b.owner, prefix.TokensOf(b.index, nil)})
	}
}

func (e *Runner) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	if err != nil || after < 0 {
		after = 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	old := time.Now().Add(-e.lag())
	events := []cacheEvent{}
	next := after
	for ; next < len(e.events); next++ {
		ev := e.events[next]
		if ev.RequestID == "" {
			continue
		}
		if ev.at.After(old) {
			break
		}
		events = append(events, ev)
	}
	writeJSON(w, http.StatusOK, map[string]any{"events": events, "next": next})
}

func (e *Runner) order(w http.ResponseWriter, r *http.Request) {
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
	json.NewEncoder(w).Encode(body) //nolint:errcheck // the caller may be gone.
}
