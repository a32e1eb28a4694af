package front

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"goldcrestwick/internal/request/answer"
	"goldcrestwick/internal/request/ident"
	"goldcrestwick/internal/request/intake"
	"goldcrestwick/internal/request/refuse"
	"goldcrestwick/internal/version/config"
)

const (
	// ResumeTokenHeader carries the token with which another node can take a
	// broken answer up.
	ResumeTokenHeader = "X-Resume-Token"
	// RunHeader names the request whose run the caller gets, when it joined
	// an earlier one.
	RunHeader = "X-Run-Id"
)

// writer renders an answer for one caller.
type writer struct {
	w       http.ResponseWriter
	control *http.ResponseController
	req     *intake.Request
	timeout time.Duration
	token   func(answer.Head) string
	run     ident.RequestID
	started bool
	text    []byte
	buffer  []byte
}

func (f *Front) writer(w http.ResponseWriter, r *http.Request, tree *config.Tree, account *config.Account, pool *config.Pool, req *intake.Request) *writer {
	w.Header().Set(requestIDHeader, string(req.ID))
	out := &writer{
		w: w, control: http.NewResponseController(w), req: req,
		timeout: tree.Limits.WriteTimeout,
		token: func(h answer.Head) string {
			if f.Token == nil || pool.Kind != ident.ModelRunner {
				return ""
			}
			return f.Token(ResumePoint{account.ID, pool.ID, h.Endpoint, h.Request, req.Form})
		},
	}
	if r.ProtoMajor == 1 {
		// A refusal may be sent before the body of a service call is read.
		out.control.EnableFullDuplex() //nolint:errcheck // not every writer has it.
	}
	return out
}

func (o *writer) setRun(id ident.RequestID) { o.run = id }

// sink returns the form that the caller asked for.
func (o *writer) sink() answer.Sink {
	switch {
	case o.req.Kind == ident.ApplicationRunner:
		return answer.Sink{Head: o.serviceHead, Chunk: o.servicePiece}
	case o.req.Stream:
		return answer.Sink{Head: o.streamHead, Chunk: o.streamPiece}
	default:
		return answer.Sink{Head: o.wholeHead, Chunk: o.wholePiece}
	}
}

func (o *writer) extend() {
	o.control.SetWriteDeadline(time.Now().Add(o.timeout)) //nolint:errcheck // not every writer has one.
}

func (o *writer) commonHead(h answer.Head) {
	if o.run != "" {
		o.w.Header().Set(RunHeader, string(o.run))
	}
	if token := o.token(h); token != "" {
		o.w.Header().Set(ResumeTokenHeader, token)
	}
}

func (o *writer) serviceHead(h answer.Head) error {
	for name, values := range h.Header {
		o.w.Header()[name] = values
	}
	o.commonHead(h)
	o.started = true
	o.extend()
	o.w.WriteHeader(h.Status)
	return nil
}

func (o *writer) servicePiece(p answer.Chunk) error {
	o.extend()
	if _, err := o.w.Write(p.Data); err != nil {
		return err
	}
	if p.Last {
		return nil
	}
	return o.control.Flush()
}

func (o *writer) streamHead(h answer.Head) error {
	o.commonHead(h)
	o.w.Header().Set("Content-Type", "text/event-stream")
	o.w.Header().Set("Cache-Control", "no-store")
	o.started = true
	o.extend()
	o.w.WriteHeader(http.StatusOK)
	return nil
}

// chunk is one event of a stream, in the form of model runners.
type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index   int      `json:"index"`
	Delta   *content `json:"delta,omitempty"`
	Message *content `json:"message,omitempty"`
	Text    *string  `json:"text,omitempty"`
	Finish  *string  `json:"finish_reason"`
}

type content struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	Prompt  int64   `json:"prompt_tokens"`
	Output  int64   `json:"completion_tokens"`
	Total   int64   `json:"total_tokens"`
	Details details `json:"prompt_tokens_details"`
}

type details struct {
	Cached int64 `json:"cached_tokens"`
}

func usageOf(u answer.Usage) *usage {
	return &usage{int64(u.Prompt), int64(u.Output), int64(u.Prompt + u.Output), details{int64(u.Cached)}}
}

func (o *writer) object(suffix string) string {
	if o.req.Form == intake.Completion {
		return "text_completion"
	}
	return "chat.completion" + suffix
}

func (o *writer) event(p answer.Chunk) chunk {
	c := choice{}
	text := string(p.Data)
	if o.req.Form == intake.Completion {
		c.Text = &text
	} else {
		c.Delta = &content{Content: text}
	}
	if p.Last {
		c.Finish = &p.Finish
	}
	return chunk{ID: string(o.req.ID), Object: o.object(".chunk"), Model: o.req.Name, Choices: []choice{c}}
}

func (o *writer) streamPiece(p answer.Chunk) error {
	o.buffer = appendEvent(o.buffer[:0], p.Offset, o.event(p))
	if p.Last {
		if o.req.Usage {
			last := chunk{ID: string(o.req.ID), Object: o.object(".chunk"), Model: o.req.Name, Choices: []choice{}, Usage: usageOf(p.Usage)}
			o.buffer = appendEvent(o.buffer, p.Offset, last)
		}
		o.buffer = append(o.buffer, "data: [DONE]\n\n"...)
	}
	o.extend()
	if _, err := o.w.Write(o.buffer); err != nil {
		return err
	}
	return o.control.Flush()
}

func appendEvent(b []byte, offset int, body any) []byte {
	b = append(b, "id: "...)
	b = strconv.AppendInt(b, int64(offset), 10)
	b = append(b, "\ndata: "...)
	b = append(b, encode(body)...)
	return append(b, "\n\n"...)
}

func encode(body any) []byte {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err) // strings and numbers always encode.
	}
	return raw
}

func (o *writer) wholeHead(h answer.Head) error {
	o.commonHead(h)
	return nil
}

// wholePiece gathers an answer that the caller wants in one part.
func (o *writer) wholePiece(p answer.Chunk) error {
	o.text = append(o.text, p.Data...)
	if !p.Last {
		return nil
	}
	c := choice{Finish: &p.Finish}
	text := string(o.text)
	if o.req.Form == intake.Completion {
		c.Text = &text
	} else {
		c.Message = &content{Role: "assistant", Content: text}
	}
	body := encode(chunk{ID: string(o.req.ID), Object: o.object(""), Model: o.req.Name, Choices: []choice{c}, Usage: usageOf(p.Usage)})
	o.started = true
	o.extend()
	o.w.Header().Set("Content-Type", "application/json")
	_, err := o.w.Write(append(body, '\n'))
	return err
}

// fail tells the caller of a refusal. An answer that has begun is ended so
// that it cannot be taken for a whole one: a stream by an error event without
// the end marker, a body by breaking the connection.
func (o *writer) fail(refusal *refuse.Refusal) {
	switch {
	case !o.started:
		o.extend()
		o.w.Header().Del(ResumeTokenHeader)
		refusal.Write(o.w, o.req.ID)
	case o.req.Kind == ident.ModelRunner && o.req.Stream:
		o.extend()
		o.w.Write([]byte("event: error\ndata: "))            //nolint:errcheck // the caller may be gone.
		o.w.Write(append(refusal.JSON(o.req.ID), "\n\n"...)) //nolint:errcheck // the caller may be gone.
		o.control.Flush()                                    //nolint:errcheck // the caller may be gone.
	default:
		panic(http.ErrAbortHandler)
	}
}
