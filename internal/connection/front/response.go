package front

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/request/answer"
	"goldcrestwick/internal/request/intake"
	"goldcrestwick/internal/request/refuse"
	"goldcrestwick/internal/version/config"
)

const (
	// ResumeTokenHeader holds the token with which a caller can resume an
	// interrupted answer at another node.
	ResumeTokenHeader = "X-Resume-Token"
	// RunIDHeader holds the ID of the request whose run produced the answer, if
	// the caller joined an earlier run.
	RunIDHeader = "X-Run-Id"
)

// responseWriter writes an answer in the format that one caller requested.
type responseWriter struct {
	w            http.ResponseWriter
	control      *http.ResponseController
	req          *intake.Request
	writeTimeout time.Duration
	resumeToken  func(answer.Head) string
	runID        ident.RequestID
	// started is set when the status and headers of the answer are written, after
	// which a refusal can no longer be the answer.
	started bool
	// text collects the text of an answer that is sent as one JSON object.
	text []byte
	// buffer is reused to encode the events of a stream.
	buffer []byte
}

func (api *CallerAPI) newResponseWriter(w http.ResponseWriter, r *http.Request, tree *config.Tree, account *config.Account, pool *config.Pool, req *intake.Request) *responseWriter {
	w.Header().Set(requestIDHeader, string(req.ID))
	rw := &responseWriter{
		w: w, control: http.NewResponseController(w), req: req,
		writeTimeout: tree.Limits.WriteTimeout,
		resumeToken: func(h answer.Head) string {
			if api.ResumeToken == nil || pool.Kind != ident.ModelRunner {
				return ""
			}
			return api.ResumeToken(ResumePoint{account.ID, pool.ID, h.Endpoint, h.Request, req.Form})
		},
	}
	if r.ProtoMajor == 1 {
		// A refusal may be sent before the body of a service call is read. HTTP/2
		// always permits that.
		rw.control.EnableFullDuplex() //nolint:errcheck // not every ResponseWriter supports it.
	}
	return rw
}

func (rw *responseWriter) setRunID(id ident.RequestID) { rw.runID = id }

// sink returns the sink for the requested format: a service's body, an event
// stream or one JSON object.
func (rw *responseWriter) sink() answer.Sink {
	switch {
	case rw.req.Kind == ident.ApplicationRunner:
		return answer.Sink{Head: rw.serviceHead, Chunk: rw.serviceChunk}
	case rw.req.Stream:
		return answer.Sink{Head: rw.streamHead, Chunk: rw.streamChunk}
	default:
		return answer.Sink{Head: rw.bufferedHead, Chunk: rw.bufferedChunk}
	}
}

func (rw *responseWriter) extendWriteDeadline() {
	rw.control.SetWriteDeadline(time.Now().Add(rw.writeTimeout)) //nolint:errcheck // not every ResponseWriter supports it.
}

func (rw *responseWriter) setCommonHeaders(h answer.Head) {
	if rw.runID != "" {
		rw.w.Header().Set(RunIDHeader, string(rw.runID))
	}
	if token := rw.resumeToken(h); token != "" {
		rw.w.Header().Set(ResumeTokenHeader, token)
	}
}

func (rw *responseWriter) serviceHead(h answer.Head) error {
	for name, values := range h.Header {
		rw.w.Header()[name] = values
	}
	rw.setCommonHeaders(h)
	rw.started = true
	rw.extendWriteDeadline()
	rw.w.WriteHeader(h.Status)
	return nil
}

func (rw *responseWriter) serviceChunk(chunk answer.Chunk) error {
	rw.extendWriteDeadline()
	if _, err := rw.w.Write(chunk.Data); err != nil {
		return err
	}
	if chunk.Last {
		return nil
	}
	return rw.control.Flush()
}

func (rw *responseWriter) streamHead(h answer.Head) error {
	rw.setCommonHeaders(h)
	rw.w.Header().Set("Content-Type", "text/event-stream")
	rw.w.Header().Set("Cache-Control", "no-store")
	rw.started = true
	rw.extendWriteDeadline()
	rw.w.WriteHeader(http.StatusOK)
	return nil
}

// completionObject is a complete answer or one stream event of a model runner.
type completionObject struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Delta        *content `json:"delta,omitempty"`
	Message      *content `json:"message,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type content struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens        int64               `json:"prompt_tokens"`
	CompletionTokens    int64               `json:"completion_tokens"`
	TotalTokens         int64               `json:"total_tokens"`
	PromptTokensDetails promptTokensDetails `json:"prompt_tokens_details"`
}

type promptTokensDetails struct {
	CachedTokens int64 `json:"cached_tokens"`
}

func newUsage(u answer.Usage) *usage {
	return &usage{int64(u.PromptTokens), int64(u.OutputTokens), int64(u.PromptTokens + u.OutputTokens), promptTokensDetails{int64(u.CachedTokens)}}
}

func (rw *responseWriter) objectType(suffix string) string {
	if rw.req.Form == intake.Completion {
		return "text_completion"
	}
	return "chat.completion" + suffix
}

func (rw *responseWriter) streamEvent(chunk answer.Chunk) completionObject {
	c := choice{}
	text := string(chunk.Data)
	if rw.req.Form == intake.Completion {
		c.Text = &text
	} else {
		c.Delta = &content{Content: text}
	}
	if chunk.Last {
		c.FinishReason = &chunk.FinishReason
	}
	return completionObject{ID: string(rw.req.ID), Object: rw.objectType(".chunk"), Model: rw.req.Name, Choices: []choice{c}}
}

func (rw *responseWriter) streamChunk(chunk answer.Chunk) error {
	rw.buffer = appendEvent(rw.buffer[:0], chunk.CumulativeTokens, rw.streamEvent(chunk))
	if chunk.Last {
		if rw.req.IncludeUsage {
			last := completionObject{ID: string(rw.req.ID), Object: rw.objectType(".chunk"), Model: rw.req.Name, Choices: []choice{}, Usage: newUsage(chunk.Usage)}
			rw.buffer = appendEvent(rw.buffer, chunk.CumulativeTokens, last)
		}
		rw.buffer = append(rw.buffer, "data: [DONE]\n\n"...)
	}
	rw.extendWriteDeadline()
	if _, err := rw.w.Write(rw.buffer); err != nil {
		return err
	}
	return rw.control.Flush()
}

func appendEvent(b []byte, eventID int, body any) []byte {
	b = append(b, "id: "...)
	b = strconv.AppendInt(b, int64(eventID), 10)
	b = append(b, "\ndata: "...)
	b = append(b, mustMarshal(body)...)
	return append(b, "\n\n"...)
}

func mustMarshal(body any) []byte {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err) // strings and numbers always encode.
	}
	return raw
}

func (rw *responseWriter) bufferedHead(h answer.Head) error {
	rw.setCommonHeaders(h)
	return nil
}

// bufferedChunk collects the text and writes the complete answer with the last
// chunk.
func (rw *responseWriter) bufferedChunk(chunk answer.Chunk) error {
	rw.text = append(rw.text, chunk.Data...)
	if !chunk.Last {
		return nil
	}
	c := choice{FinishReason: &chunk.FinishReason}
	text := string(rw.text)
	if rw.req.Form == intake.Completion {
		c.Text = &text
	} else {
		c.Message = &content{Role: "assistant", Content: text}
	}
	body := mustMarshal(completionObject{ID: string(rw.req.ID), Object: rw.objectType(""), Model: rw.req.Name, Choices: []choice{c}, Usage: newUsage(chunk.Usage)})
	rw.started = true
	rw.extendWriteDeadline()
	rw.w.Header().Set("Content-Type", "application/json")
	_, err := rw.w.Write(append(body, '\n'))
	return err
}

// fail reports a refusal to the caller. If the answer has already started, fail
// ends it so that it cannot be mistaken for a complete one: a stream gets an
// error event and no [DONE] marker, any other body has its connection aborted.
func (rw *responseWriter) fail(refusal *refuse.Refusal) {
	switch {
	case !rw.started:
		rw.extendWriteDeadline()
		rw.w.Header().Del(ResumeTokenHeader)
		refusal.Write(rw.w, rw.req.ID)
	case rw.req.Kind == ident.ModelRunner && rw.req.Stream:
		rw.extendWriteDeadline()
		rw.w.Write([]byte("event: error\ndata: "))             //nolint:errcheck // the caller may be gone.
		rw.w.Write(append(refusal.JSON(rw.req.ID), "\n\n"...)) //nolint:errcheck // the caller may be gone.
		rw.control.Flush()                                     //nolint:errcheck // the caller may be gone.
	default:
		panic(http.ErrAbortHandler)
	}
}
