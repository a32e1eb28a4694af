// Package intake parses and validates callers' requests before any further
// processing.
//
// The body of a model request is read completely, because routing depends on the
// prompt; the settings limit its size. Of a service request only the header is
// read; the body is streamed to the endpoint.
//
// # Usage
//
//	req, refusal := intake.ParseModel(r, intake.Chat, limits, time.Now())
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

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/prefix"
	"goldcrestwick/internal/request/refuse"
	"goldcrestwick/internal/version/config"
)

// Headers that callers can set.
const (
	// DeadlineHeader holds the time within which the answer must be complete,
	// as a duration with a unit, such as 90s.
	DeadlineHeader = "X-Deadline"
	// IdempotencyKeyHeader holds the idempotency key.
	IdempotencyKeyHeader = "Idempotency-Key"
	// IdempotencyKeyCreatedHeader holds the time at which the idempotency key was created,
	// in Unix milliseconds.
	IdempotencyKeyCreatedHeader = "Idempotency-Key-Created"
)

const (
	maxIdempotencyKeyBytes = 128
	// defaultOutputTokens is the limit of output tokens of a request that sets none.
	defaultOutputTokens = 512
	// maxOutputTokens bounds the limit of output tokens that a request can set.
	maxOutputTokens = 1 << 20
	maxMessages     = 4096
	// minKeyByte and maxKeyByte bound the bytes of an idempotency key: printable ASCII
	// without the space.
	minKeyByte = 0x21
	maxKeyByte = 0x7e
)

// Form is the API of a model runner that a request uses.
type Form uint8

// The model runner APIs.
const (
	// Chat is the chat completions API.
	Chat Form = iota
	// Completion is the completions API.
	Completion
)

// Path returns the path of the API at an endpoint.
func (f Form) Path() string {
	if f == Completion {
		return "/v1/completions"
	}
	return "/v1/chat/completions"
}

// Request is a validated request.
type Request struct {
	ID   ident.RequestID
	Kind ident.EndpointKind
	// Name is the name of the model or the service.
	Name string
	// Arrived and Deadline are times of this node's clock.
	Arrived  time.Time
	Deadline time.Time
	// HasDeadline reports whether the caller set the deadline; otherwise it is
	// the default.
	HasDeadline bool
	// IdempotencyKey is empty if the caller sent no idempotency key.
	IdempotencyKey string
	// IdempotencyKeyCreated is zero if the caller did not send the time.
	IdempotencyKeyCreated time.Time

	// For model runners.
	Form   Form
	Stream bool
	// IncludeUsage reports whether a stream ends with an event with the token counts.
	IncludeUsage bool
	// PromptTokens is the estimated length of the prompt.
	PromptTokens ident.Tokens
	// OutputTokens is the limit of output tokens, or an estimate of their number in a
	// request that package proxy creates.
	OutputTokens ident.Tokens
	// Prefix holds the fingerprints of the prompt's prefixes.
	Prefix []ident.Fingerprint
	// Body is the request body that is sent to the endpoint.
	Body []byte
	// Digest is a hash that detects the reuse of an idempotency key for a different
	// request. It is set for application runners too, but does not cover their body.
	Digest uint64

	// For application runners.
	Method   string
	Path     string
	RawQuery string
	Header   http.Header
	// BodyReader reads the request body.
	BodyReader io.Reader
	// ContentLength is the length of the body in bytes, or -1 if unknown.
	ContentLength int64
}

// message holds the fields of a chat message that make up the prompt.
type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// requestBody holds the fields of a model request that are validated.
type requestBody struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           *int64          `json:"max_tokens"`
	MaxCompletionTokens *int64          `json:"max_completion_tokens"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []message       `json:"messages"`
	N                   *int            `json:"n"`
	StreamOptions       struct {
		Usage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// ParseCommon parses the headers that model and service requests share. Like ParseModel
// and ParseService it returns a request with an ID even if it refuses the request.
func ParseCommon(r *http.Request, limits config.Limits, now time.Time) (*Request, *refuse.Refusal) {
	req := &Request{ID: ident.NewRequestID(), Arrived: now, Deadline: now.Add(limits.DefaultDeadline)}
	if v := r.Header.Get(DeadlineHeader); v != "" {
		d, err := time.ParseDuration(v)
		if err != nil || d <= 0 || d > limits.MaxDeadline {
			return req, refuse.New(refuse.BadDeadline, DeadlineHeader+" must be a duration with a unit above 0 and at most "+limits.MaxDeadline.String())
		}
		req.Deadline = now.Add(d)
		req.HasDeadline = true
	}
	return req, req.parseIdempotencyKey(r)
}

func (q *Request) parseIdempotencyKey(r *http.Request) *refuse.Refusal {
	q.IdempotencyKey = r.Header.Get(IdempotencyKeyHeader)
	if len(q.IdempotencyKey) > maxIdempotencyKeyBytes {
		return refuse.New(refuse.BadIdempotencyKey, IdempotencyKeyHeader+" is longer than 128 bytes")
	}
	for _, c := range []byte(q.IdempotencyKey) {
		if c < minKeyByte || c > maxKeyByte {
			return refuse.New(refuse.BadIdempotencyKey, IdempotencyKeyHeader+" must be printable ASCII without spaces")
		}
	}
	v := r.Header.Get(IdempotencyKeyCreatedHeader)
	if v == "" {
		return nil
	}
	ms, err := strconv.ParseInt(v, 10, 64)
	if err != nil || ms <= 0 {
		return refuse.New(refuse.BadIdempotencyKey, IdempotencyKeyCreatedHeader+" must be a Unix time in milliseconds")
	}
	q.IdempotencyKeyCreated = time.UnixMilli(ms)
	return nil
}

// ParseModel parses and validates a request for a model runner.
func ParseModel(r *http.Request, form Form, limits config.Limits, now time.Time) (*Request, *refuse.Refusal) {
	req, refusal := ParseCommon(r, limits, now)
	if refusal != nil {
		return req, refusal
	}
	raw, refusal := readBody(r, limits)
	if refusal != nil {
		return req, refusal
	}
	req.Kind = ident.ModelRunner
	req.Form = form
	return req, req.parseBody(raw)
}

func readBody(r *http.Request, limits config.Limits) ([]byte, *refuse.Refusal) {
	if r.ContentLength > limits.BodyBytes {
		return nil, bodyTooLarge(limits)
	}
	raw, err := io.ReadAll(io.LimitReader(r.Body, limits.BodyBytes+1))
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, refuse.New(refuse.BodyTooSlow, "the body was not complete within "+limits.BodyTimeout.String())
	case err != nil:
		return nil, refuse.New(refuse.BadRequest, "the body ended before its length")
	case int64(len(raw)) > limits.BodyBytes:
		return nil, bodyTooLarge(limits)
	}
	return raw, nil
}

func bodyTooLarge(limits config.Limits) *refuse.Refusal {
	return refuse.New(refuse.BodyTooLarge, "the body is longer than "+strconv.FormatInt(limits.BodyBytes, 10)+" bytes")
}

// parseBody parses and validates the body of a model request.
func (q *Request) parseBody(raw []byte) *refuse.Refusal {
	var body requestBody
	if err := json.Unmarshal(raw, &body); err != nil {
		return refuse.New(refuse.BadJSON, jsonProblem(err))
	}
	if body.Model == "" {
		return refuse.New(refuse.BadRequest, "the field model is missing")
	}
	if body.N != nil && *body.N != 1 {
		return refuse.New(refuse.BadRequest, "the field n can only be 1")
	}
	output, refusal := outputTokenLimit(body)
	if refusal != nil {
		return refusal
	}
	prompt, refusal := promptText(q.Form, body)
	if refusal != nil {
		return refusal
	}
	q.Name, q.Stream, q.IncludeUsage, q.OutputTokens = body.Model, body.Stream, body.StreamOptions.Usage, output
	q.PromptTokens = ident.Tokens(len(prompt)/prefix.BytesPerToken + 1)
	q.Prefix = prefix.Fingerprints(prompt)
	q.Digest = requestDigest(q.Form, body.Model, output, prompt)
	return q.setForwardBody(raw, output)
}

// jsonProblem describes a JSON error for the caller.
func jsonProblem(err error) string {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return "the body is not JSON: at byte " + strconv.FormatInt(syntax.Offset, 10) + ": " + syntax.Error()
	}
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		return "the field " + mismatch.Field + " cannot be a " + mismatch.Value
	}
	return "the body is not JSON: " + err.Error()
}

// outputTokenLimit returns the limit of output tokens, defaultOutputTokens if the
// request sets none. The field max_completion_tokens overrides max_tokens.
func outputTokenLimit(body requestBody) (ident.Tokens, *refuse.Refusal) {
	given := body.MaxTokens
	if body.MaxCompletionTokens != nil {
		given = body.MaxCompletionTokens
	}
	if given == nil {
		return defaultOutputTokens, nil
	}
	if *given < 1 || *given > maxOutputTokens {
		return 0, refuse.New(refuse.BadRequest, "max_tokens must be from 1 to "+strconv.Itoa(maxOutputTokens))
	}
	return ident.Tokens(*given), nil
}

// promptText returns the text from which prefix fingerprints and the token
// estimate are computed: the prompt, or the roles and contents of all messages.
func promptText(form Form, body requestBody) ([]byte, *refuse.Refusal) {
	if form == Completion {
		var prompt string
		if json.Unmarshal(body.Prompt, &prompt) != nil || prompt == "" {
			return nil, refuse.New(refuse.BadRequest, "the field prompt must be a string that is not empty")
		}
		return []byte(prompt), nil
	}
	if len(body.Messages) == 0 || len(body.Messages) > maxMessages {
		return nil, refuse.New(refuse.BadRequest, "the field messages must have from 1 to "+strconv.Itoa(maxMessages)+" messages")
	}
	var prompt bytes.Buffer
	for i, m := range body.Messages {
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

// contentText decodes a JSON string; other content is returned as raw JSON.
func contentText(raw json.RawMessage) []byte {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return []byte(text)
	}
	return raw
}

// setForwardBody sets the body that is sent to the endpoint. It always requests a
// stream, so that latencies can be measured and an interrupted answer resumed, and
// always requests token counts. The limit of output tokens is sent as max_tokens.
func (q *Request) setForwardBody(raw []byte, output ident.Tokens) *refuse.Refusal {
	var params map[string]json.RawMessage
	if err := json.Unmarshal(raw, &params); err != nil {
		return refuse.New(refuse.BadJSON, jsonProblem(err))
	}
	params["stream"] = json.RawMessage("true")
	params["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	params["max_tokens"] = strconv.AppendInt(nil, int64(output), 10)
	delete(params, "max_completion_tokens")
	body, err := json.Marshal(params)
	if err != nil {
		return refuse.New(refuse.BadJSON, jsonProblem(err))
	}
	q.Body = body
	return nil
}

// ParseService parses and validates the header of a request for an application runner.
// The path is the part of the URL path after the service's name.
func ParseService(r *http.Request, name, path string, limits config.Limits, now time.Time) (*Request, *refuse.Refusal) {
	req, refusal := ParseCommon(r, limits, now)
	if refusal != nil {
		return req, refusal
	}
	if r.ContentLength > limits.BodyBytes {
		return req, bodyTooLarge(limits)
	}
	req.Kind = ident.ApplicationRunner
	req.Name = name
	req.Method = r.Method
	req.Path = "/" + strings.TrimPrefix(path, "/")
	req.RawQuery = r.URL.RawQuery
	req.Header = r.Header
	req.BodyReader = r.Body
	req.ContentLength = r.ContentLength
	req.Digest = requestDigest(Chat, r.Method+" "+req.Path+"?"+req.RawQuery, 0, nil)
	return req, nil
}
