// Package intake reads callers' requests and checks them before anything else
// looks at them.
//
// A model request is read whole, since its prompt decides where it goes; its
// body is bounded by the settings. A service request is read only up to its
// header; its body streams on to the endpoint.
//
// # Usage
//
//	req, refusal := intake.Model(r, intake.Chat, limits, time.Now())
//	if refusal != nil {
//		refusal.Write(w, id)
//	}
package intake

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"goldcrestwick/internal/process/prefix"
	"goldcrestwick/internal/request/ident"
	"goldcrestwick/internal/request/refuse"
	"goldcrestwick/internal/version/config"
)

// The headers that callers can set.
const (
	// DeadlineHeader holds the time until the whole answer is due, as a
	// duration with a unit, such as 90s.
	DeadlineHeader = "X-Deadline"
	// KeyHeader holds the idempotency key.
	KeyHeader = "Idempotency-Key"
	// KeyCreatedHeader holds the Unix time in milliseconds at which the
	// idempotency key was made.
	KeyCreatedHeader = "Idempotency-Key-Created"
)

const (
	maxKeyBytes    = 128
	defaultOutput  = 512
	maxOutput      = 1 << 20
	maxMessages    = 4096
	firstCharacter = 0x21
	lastCharacter  = 0x7e
)

// Form is one of the two request forms of a model runner.
type Form uint8

// The forms.
const (
	Chat Form = iota
	Completion
)

// Path returns the path of the form at an endpoint.
func (f Form) Path() string {
	if f == Completion {
		return "/v1/completions"
	}
	return "/v1/chat/completions"
}

// Request is a checked request.
type Request struct {
	ID   ident.RequestID
	Kind ident.Kind
	// Name is the model or the service.
	Name string
	// Arrived and Deadline are on this node's clock.
	Arrived  time.Time
	Deadline time.Time
	// HasDeadline tells a caller's own deadline from the default.
	HasDeadline bool
	Key         string
	// KeyCreated is zero when the caller did not say.
	KeyCreated time.Time

	// For model runners.
	Form   Form
	Stream bool
	// Usage asks for a last event with token counts in a stream.
	Usage  bool
	Prompt ident.Tokens
	Output ident.Tokens
	Prefix []ident.Fingerprint
	// Body is the request as the endpoint gets it.
	Body []byte
	// Digest identifies what the caller asked, to tell a reused key.
	Digest uint64

	// For application runners.
	Method string
	Path   string
	Query  string
	Header http.Header
	Upload io.Reader
	Length int64
}

// message is the part of a chat message that counts.
type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type fields struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	MaxTokens *int64          `json:"max_tokens"`
	MaxOutput *int64          `json:"max_completion_tokens"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  []message       `json:"messages"`
	Count     *int            `json:"n"`
	Options   struct {
		Usage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// Common reads what model and service requests share.
func Common(r *http.Request, limits config.Limits, now time.Time) (*Request, *refuse.Refusal) {
	req := &Request{ID: ident.NewRequestID(), Arrived: now, Deadline: now.Add(limits.Deadline)}
	if v := r.Header.Get(DeadlineHeader); v != "" {
		d, err := time.ParseDuration(v)
		if err != nil || d <= 0 || d > limits.MaxDeadline {
			return req, refuse.New(refuse.BadDeadline, DeadlineHeader+" must be a duration with a unit above 0 and at most "+limits.MaxDeadline.String())
		}
		req.Deadline = now.Add(d)
		req.HasDeadline = true
	}
	return req, req.readKey(r)
}

func (q *Request) readKey(r *http.Request) *refuse.Refusal {
	q.Key = r.Header.Get(KeyHeader)
	if len(q.Key) > maxKeyBytes {
		return refuse.New(refuse.BadKey, KeyHeader+" is longer than 128 bytes")
	}
	for _, c := range []byte(q.Key) {
		if c < firstCharacter || c > lastCharacter {
			return refuse.New(refuse.BadKey, KeyHeader+" must be printable ASCII without spaces")
		}
	}
	v := r.Header.Get(KeyCreatedHeader)
	if v == "" {
		return nil
	}
	ms, err := strconv.ParseInt(v, 10, 64)
	if err != nil || ms <= 0 {
		return refuse.New(refuse.BadKey, KeyCreatedHeader+" must be a Unix time in milliseconds")
	}
	q.KeyCreated = time.UnixMilli(ms)
	return nil
}

// Model reads and checks a request for a model runner.
func Model(r *http.Request, form Form, limits config.Limits, now time.Time) (*Request, *refuse.Refusal) {
	req, refusal := Common(r, limits, now)
	if refusal != nil {
		return req, refusal
	}
	raw, refusal := readBody(r, limits)
	if refusal != nil {
		return req, refusal
	}
	req.Kind = ident.ModelRunner
	req.Form = form
	return req, req.parse(raw)
}

func readBody(r *http.Request, limits config.Limits) ([]byte, *refuse.Refusal) {
	if r.ContentLength > limits.BodyBytes {
		return nil, tooLarge(limits)
	}
	raw, err := io.ReadAll(io.LimitReader(r.Body, limits.BodyBytes+1))
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, refuse.New(refuse.BodyTooSlow, "the body was not complete within "+limits.BodyTimeout.String())
	case err != nil:
		return nil, refuse.New(refuse.BadRequest, "the body ended before its length")
	case int64(len(raw)) > limits.BodyBytes:
		return nil, tooLarge(limits)
	}
	return raw, nil
}

func tooLarge(limits config.Limits) *refuse.Refusal {
	return refuse.New(refuse.BodyTooLarge, "the body is longer than "+strconv.FormatInt(limits.BodyBytes, 10)+" bytes")
}

// parse reads the body of a model request.
func (q *Request) parse(raw []byte) *refuse.Refusal {
	var f fields
	if err := json.Unmarshal(raw, &f); err != nil {
		return refuse.New(refuse.BadJSON, describe(err))
	}
	if f.Model == "" {
		return refuse.New(refuse.BadRequest, "the field model is missing")
	}
	if f.Count != nil && *f.Count != 1 {
		return refuse.New(refuse.BadRequest, "the field n can only be 1")
	}
	output, refusal := outputLimit(f)
	if refusal != nil {
		return refusal
	}
	prompt, refusal := promptOf(q.Form, f)
	if refusal != nil {
		return refusal
	}
	q.Name, q.Stream, q.Usage, q.Output = f.Model, f.Stream, f.Options.Usage, output
	q.Prompt = ident.Tokens(len(prompt)/prefix.BytesPerToken + 1)
	q.Prefix = prefix.Fingerprints(prompt)
	q.Digest = digest(q.Form, f.Model, output, prompt)
	return q.forward(raw, output)
}

func describe(err error) string {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return "the body is not JSON: at byte " + strconv.FormatInt(syntax.Offset, 10) + ": " + syntax.Error()
	}
	var kind *json.UnmarshalTypeError
	if errors.As(err, &kind) {
		return "the field " + kind.Field + " cannot be a " + kind.Value
	}
	return "the body is not JSON: " + err.Error()
}

func outputLimit(f fields) (ident.Tokens, *refuse.Refusal) {
	given := f.MaxTokens
	if f.MaxOutput != nil {
		given = f.MaxOutput
	}
	if given == nil {
		return defaultOutput, nil
	}
	if *given < 1 || *given > maxOutput {
		return 0, refuse.New(refuse.BadRequest, "max_tokens must be from 1 to "+strconv.Itoa(maxOutput))
	}
	return ident.Tokens(*given), nil
}

func promptOf(form Form, f fields) ([]byte, *refuse.Refusal) {
	if form == Completion {
		var prompt string
		if json.Unmarshal(f.Prompt, &prompt) != nil || prompt == "" {
			return nil, refuse.New(refuse.BadRequest, "the field prompt must be a string that is not empty")
		}
		return []byte(prompt), nil
	}
	if len(f.Messages) == 0 || len(f.Messages) > maxMessages {
		return nil, refuse.New(refuse.BadRequest, "the field messages must have from 1 to "+strconv.Itoa(maxMessages)+" messages")
	}
	var prompt bytes.Buffer
	for i, m := range f.Messages {
		if m.Role == "" || len(m.Content) == 0 {
			return nil, refuse.New(refuse.BadRequest, "messages["+strconv.Itoa(i)+"] lacks its role or its content")
		}
		prompt.WriteString(m.Role)
		prompt.WriteByte('\n')
		prompt.Write(contentText(m.Content))
		prompt.WriteByte('\n')
	}
	return prompt.Bytes(), nil
}

// contentText returns the text of a string; other content counts as it is.
func contentText(raw json.RawMessage) []byte {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return []byte(text)
	}
	return raw
}

// forward rewrites the body for the endpoint: always a stream, so that times
// can be measured and a broken one resumed, and always with token counts.
func (q *Request) forward(raw []byte, output ident.Tokens) *refuse.Refusal {
	var all map[string]json.RawMessage
	if err := json.Unmarshal(raw, &all); err != nil {
		return refuse.New(refuse.BadJSON, describe(err))
	}
	all["stream"] = json.RawMessage("true")
	all["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	all["max_tokens"] = strconv.AppendInt(nil, int64(output), 10)
	delete(all, "max_completion_tokens")
	body, err := json.Marshal(all)
	if err != nil {
		return refuse.New(refuse.BadJSON, describe(err))
	}
	q.Body = body
	return nil
}

// Service reads and checks the header of a request for an application runner.
// The path is what follows the service's name.
func Service(r *http.Request, name, path string, limits config.Limits, now time.Time) (*Request, *refuse.Refusal) {
	req, refusal := Common(r, limits, now)
	if refusal != nil {
		return req, refusal
	}
	if r.ContentLength > limits.BodyBytes {
		return req, tooLarge(limits)
	}
	req.Kind = ident.ApplicationRunner
	req.Name = name
	req.Method = r.Method
	req.Path = "/" + strings.TrimPrefix(path, "/")
	req.Query = r.URL.RawQuery
	req.Header = r.Header
	req.Upload = r.Body
	req.Length = r.ContentLength
	req.Digest = digest(Chat, r.Method+" "+req.Path+"?"+req.Query, 0, nil)
	return req, nil
}
