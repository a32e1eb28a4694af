// Package engine is a stand-in for an endpoint of the users' platform, an
// inference engine or a plain service, with injected faults.
//
// With a batch.Engine, it answers generation requests, which are those with
// TokenCountsHeader, as that engine generates their tokens: requests are queued,
// share batch steps and the KV cache, and can be preempted. A Behaviour defines the
// answer to each other request; if it is not the zero value, also to a generation
// request.
//
// It writes to raw connections, because its faults violate HTTP: truncated and
// delayed answers, answers without a length, and answers to other requests.
//
// # Usage
//
//	e := &engine.Engine{ID: "e1", NextBehaviour: func() engine.Behaviour { return engine.Behaviour{LastEvent: 3} }}
//	go e.Serve(conn)
package engine

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/stand/batch"
)

// Headers of the platform's protocol.
const (
	AttemptIDHeader      = "Goldcrestwick-Attempt-Id"
	ServerStampHeader    = "Goldcrestwick-Server-Stamp"
	NotRunHeader         = "Goldcrestwick-Not-Run"
	ExpectInstanceHeader = "Goldcrestwick-Expect-Instance"
	LastEventIDHeader    = "Last-Event-Id"
	ResumesHeader        = "Resumes"
	LeavingHeader        = "Server-Leaving"
	LimitHeader          = "Server-Limit"
	BrittleHeader        = "Server-Brittle"
)

// EndMode defines how an answer ends. The empty string means EndComplete.
type EndMode string

// The end modes. Test scripts use their values.
const (
	// EndComplete sends the whole answer and keeps the connection open.
	EndComplete EndMode = "whole"
	// EndTruncated closes the connection before the end of the answer: one byte
	// before the announced length, or after the last event without the final chunk.
	EndTruncated EndMode = "cut"
	// EndMidEvent closes the connection in the middle of the last event, or after a
	// complete Body.
	EndMidEvent EndMode = "torn"
	// EndStalled sends nothing after the body or the last event, not even the
	// final chunk, and keeps the connection open.
	EndStalled EndMode = "silent"
)

// Behaviour defines the answer to one request. The zero value answers 200 with
// an empty body.
type Behaviour struct {
	// Status is the status code; 0 is 200.
	Status int
	Body   string
	// The first and the last event of a stream. If the last is 0, the answer is
	// Body instead. If the first is 0, the stream resumes after the event in the
	// request's Last-Event-Id header.
	FirstEvent, LastEvent int
	EndMode               EndMode
	// EventInterval is the delay before the answer and before each further event.
	EventInterval time.Duration
	// NotRun states in a header that the request was not run, and omits the server
	// stamp.
	NotRun bool
	// Leaving states in a header that the endpoint is shutting down.
	Leaving bool
	// RetryAfter is the value of the Retry-After header, "" for none.
	RetryAfter string
	// AnswerIDs lists the attempt IDs of the answer, separated by commas; "" is the request's
	// and NoID none.
	AnswerIDs string
	// RepeatRefusal first sends the latest answer with NotRun of the connection once more.
	// RepeatBeforeEvent sends it in front of the event of a stream with this number instead.
	RepeatRefusal     bool
	RepeatBeforeEvent int
	// OmitStamp omits the server stamp.
	OmitStamp bool
	// ContentEncoding is the content encoding to declare, "" for none.
	ContentEncoding string
	// MismatchedID is the attempt ID of another request whose answer is sent first,
	// "" for none.
	MismatchedID string
	// OmitLength omits the length of an answer with a Body or the chunks of a stream; the
	// end of the connection ends it.
	OmitLength bool
	// NoEvents ends the connection after the head of a stream.
	NoEvents bool
	// SendTwice sends an answer with a Body twice.
	SendTwice bool
	// SecondAfter sends an answer with a Body once more after this time; 0 does not.
	SecondAfter time.Duration
	// AnswerBeforeBody answers before the request's body is read and closes the
	// connection.
	AnswerBeforeBody bool
	// CloseUnanswered closes the connection without an answer.
	CloseUnanswered bool
	// Broken is the name of an answer of package broken, which is sent with Body; "" for none.
	Broken string
	// Endless sends bytes without end in this part of the answer, until the caller closes
	// the connection; "" for none.
	Endless EndlessPart
}

// EndlessPart is a part of an answer. Test scripts use its values.
type EndlessPart string

// The parts of an answer that can be endless: its status line, a header line, its header
// lines, informational answers before it, or its body, which then has no length.
const (
	EndlessStatus        EndlessPart = "status_line"
	EndlessLine          EndlessPart = "line"
	EndlessHead          EndlessPart = "head"
	EndlessInformational EndlessPart = "informational"
	EndlessBody          EndlessPart = "body"
)

// maxEndlessBytes is the number of bytes after which an endless answer stalls, so that a
// caller that reads on does not exhaust the memory.
const maxEndlessBytes = 16 << 20

// ReceivedRequest is a request that the engine has received.
type ReceivedRequest struct {
	Method, Target string
	Header         http.Header
	Body           string
	At             time.Time
	// EndedAt is when the engine had answered the request or given it up; the zero time
	// before.
	EndedAt time.Time
	// WasRefused is set if the engine answered that it did not run the request.
	WasRefused bool
}

// Engine is one endpoint. ID and NextBehaviour must be set before use. It is safe
// for concurrent use.
type Engine struct {
	// ID is the instance ID. A request whose ExpectInstanceHeader names another
	// instance is answered 421.
	ID string
	// NextBehaviour returns the behaviour for the next request.
	NextBehaviour func() Behaviour
	// Batch generates the tokens of generation requests whose Behaviour is the
	// zero value; if nil, the Behaviour defines their answers too.
	Batch *batch.Engine
	// Release, if not empty, is the release of its software, which its events name.
	Release string
	// TokensPerEvent is the number of tokens in an event; 0 means 1.
	TokensPerEvent ident.Tokens
	// RateLimit, if not nil, returns the value of LimitHeader in all answers, "" for none.
	RateLimit func() string
	// Brittle, if not nil, returns how many requests per second the engine can refuse for
	// want of room without falling over, 0 for any number; it is the value of BrittleHeader
	// in all answers. Refused is called for each such refusal; it may be nil.
	Brittle func() int
	Refused func()
	// OmitsLength, if not nil, reports whether the next stream of Batch has neither a length nor
	// chunks, so that the end of its connection ends it.
	OmitsLength func() bool
	// Crash, if not nil, is called when Batch generates the first token of a prompt, with
	// its parts, and before any other answer. If it returns true, the engine has crashed.
	Crash func(target string, parts []batch.PromptPart) bool

	mu       sync.Mutex
	received []ReceivedRequest
	// endlessBytes counts the bytes of endless answers.
	endlessBytes int
	// refusals holds the latest answer of each connection that states that its request was
	// not run.
	refusals map[io.Writer]string
}

// ReceivedRequests returns the requests received so far, in order.
func (e *Engine) ReceivedRequests() []ReceivedRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]ReceivedRequest(nil), e.received...)
}

// EndlessBytes returns the number of bytes that callers have read of endless answers.
func (e *Engine) EndlessBytes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.endlessBytes
}

// writeEndless sends an endless answer until the caller closes the connection.
func (e *Engine) writeEndless(c net.Conn, id string, b Behaviour) {
	if b.MismatchedID != "" {
		id = b.MismatchedID
	}
	start, repeated := "HTTP/1.1 200 ", "x"
	switch b.Endless {
	case EndlessLine:
		start = "HTTP/1.1 200 OK\r\nX-Long: "
	case EndlessHead:
		start, repeated = "HTTP/1.1 200 OK\r\n", "X-Many: yes\r\n"
	case EndlessInformational:
		start, repeated = "", "HTTP/1.1 102 Processing\r\n\r\n"
	case EndlessBody:
		start = e.head(id, b, -1)
	}
	if !send(c, start) {
		return
	}
	block := []byte(strings.Repeat(repeated, bufferBytes/len(repeated)))
	for total := 0; total < maxEndlessBytes; total += len(block) {
		n, err := c.Write(block)
		e.mu.Lock()
		e.endlessBytes += n
		e.mu.Unlock()
		if err != nil {
			return
		}
	}
	io.Copy(io.Discard, c) //nolint:errcheck // blocks until the connection is closed.
}

// bufferBytes is the size of one write of an endless answer.
const bufferBytes = 4 << 10

// Serve answers the requests of a connection, one after the other, and closes it
// when it cannot be reused.
func (e *Engine) Serve(c net.Conn) {
	defer c.Close() //nolint:errcheck // the connection is not used again.
	defer e.forgetRefusal(c)
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if !e.serveRequest(c, r, req) {
			return
		}
	}
}

// serveRequest answers one request and reports whether the connection can be
// reused.
func (e *Engine) serveRequest(c net.Conn, r *bufio.Reader, req *http.Request) bool {
	b := e.NextBehaviour()
	if b.AnswerBeforeBody {
		defer e.recordEnd(e.record(req, ""))
		e.writeAnswer(c, req, b)
		return false
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return false
	}
	index := e.record(req, string(body))
	defer e.recordEnd(index)
	if want := req.Header.Get(ExpectInstanceHeader); want != "" && want != e.ID {
		return e.refuse(c, index, e.head(req.Header.Get(AttemptIDHeader), Behaviour{Status: http.StatusMisdirectedRequest, NotRun: true}, 0))
	}
	if b.CloseUnanswered {
		return false
	}
	if b == (Behaviour{}) && e.Batch != nil && req.Header.Get(TokenCountsHeader) != "" {
		return e.generate(c, r, req, index)
	}
	time.Sleep(b.EventInterval)
	if e.Crash != nil && e.Crash(req.RequestURI, nil) {
		return false
	}
	if b.Broken != "" {
		return e.writeBroken(c, req.Header.Get(AttemptIDHeader), b)
	}
	if b.Endless != "" {
		e.writeEndless(c, req.Header.Get(AttemptIDHeader), b)
		return false
	}
	if b.NotRun {
		e.recordRefused(index)
	}
	return e.writeAnswer(c, req, b)
}

// record records a request and returns its index.
func (e *Engine) record(req *http.Request, body string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.received = append(e.received, ReceivedRequest{Method: req.Method, Target: req.RequestURI, Header: req.Header, Body: body, At: time.Now()})
	return len(e.received) - 1
}

// recordEnd records the end of a request unless it has been recorded.
func (e *Engine) recordEnd(index int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r := &e.received[index]; r.EndedAt.IsZero() {
		r.EndedAt = time.Now()
	}
}

func send(w io.Writer, text string) bool {
	_, err := io.WriteString(w, text)
	return err == nil
}

func sendChunk(w io.Writer, text string) bool {
	return send(w, fmt.Sprintf("%x\r\n%s\r\n", len(text), text))
}

// writeAnswer sends the answer that b defines and reports whether the connection
// can be reused.
func (e *Engine) writeAnswer(c net.Conn, req *http.Request, b Behaviour) bool {
	id := req.Header.Get(AttemptIDHeader)
	if b.MismatchedID != "" && !send(c, e.head(b.MismatchedID, Behaviour{}, 5)+"stray") {
		return false
	}
	if b.RepeatRefusal && !send(c, e.refusal(c)) {
		return false
	}
	if b.LastEvent > 0 {
		return e.writeEvents(c, req, id, b)
	}
	length := len(b.Body)
	if b.EndMode == EndTruncated {
		length++
	}
	if b.OmitLength {
		length = -1
	}
	answer := e.head(id, b, length) + b.Body
	if b.NotRun {
		e.keepRefusal(c, answer)
	}
	if b.SendTwice {
		answer += answer
	}
	if b.SecondAfter > 0 && send(c, answer) {
		time.Sleep(b.SecondAfter)
	}
	return send(c, answer) && e.endAnswer(c, b)
}

func (e *Engine) endAnswer(c net.Conn, b Behaviour) bool {
	if b.EndMode == EndStalled {
		io.Copy(io.Discard, c) //nolint:errcheck // blocks until the connection is closed.
	}
	return (b.EndMode == "" || b.EndMode == EndComplete) && !b.OmitLength
}

// head returns the status line and the headers of an answer. A length of -1
// omits the length, -2 selects chunked encoding.
func (e *Engine) head(id string, b Behaviour, length int) string {
	status := b.Status
	if status == 0 {
		status = http.StatusOK
	}
	var h strings.Builder
	fmt.Fprintf(&h, "HTTP/1.1 %d %s\r\n%s", status, http.StatusText(status), b.idHeader(id))
	if !b.OmitStamp && !b.NotRun {
		fmt.Fprintf(&h, "%s: %s.%s\r\n", ServerStampHeader, e.ID, id)
	}
	if b.NotRun {
		fmt.Fprintf(&h, "%s: 1\r\n", NotRunHeader)
	}
	if b.Leaving {
		fmt.Fprintf(&h, "%s: 1\r\n", LeavingHeader)
	}
	if e.RateLimit != nil {
		if limit := e.RateLimit(); limit != "" {
			fmt.Fprintf(&h, "%s: %s\r\n", LimitHeader, limit)
		}
	}
	if e.Brittle != nil {
		if n := e.Brittle(); n > 0 {
			fmt.Fprintf(&h, "%s: %d\r\n", BrittleHeader, n)
		}
	}
	if b.RetryAfter != "" {
		fmt.Fprintf(&h, "Retry-After: %s\r\n", b.RetryAfter)
	}
	if e.Batch != nil {
		l := e.Batch.Load()
		fmt.Fprintf(&h, "%s: %d,%d,%d\r\n", RunnerLoadHeader, l.Running, l.Waiting, l.Slots)
	}
	if b.ContentEncoding != "" {
		fmt.Fprintf(&h, "Content-Encoding: %s\r\n", b.ContentEncoding)
	}
	switch {
	case length >= 0:
		fmt.Fprintf(&h, "Content-Length: %d\r\n", length)
	case length == -2:
		h.WriteString("Transfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n")
	default:
		h.WriteString("Connection: close\r\n")
	}
	return h.String() + "\r\n"
}
