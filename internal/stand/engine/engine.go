// Package engine is a stand-in for an endpoint of the users' platform, a model
// engine or a plain service, that misbehaves on demand.
//
// With a batch it answers model requests as the batch makes their tokens: they
// queue, share steps and memory, and are preempted. Without one it answers
// each request by a Behaviour alone.
//
// It answers over raw connections, since its faults break HTTP: answers that
// are cut, late, unframed or of another request.
//
// # Usage
//
//	e := &engine.Engine{ID: "e1", Next: func() engine.Behaviour { return engine.Behaviour{Last: 3} }}
//	go e.Serve(conn)
package engine

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"goldcrestwick/internal/request/ident"
	"goldcrestwick/internal/stand/batch"
)

// The headers of the platform's protocol.
const (
	AttemptHeader = "Goldcrestwick-Attempt-Id"
	StampHeader   = "Goldcrestwick-Server-Stamp"
	NotRunHeader  = "Goldcrestwick-Not-Run"
	ExpectHeader  = "Goldcrestwick-Expect-Instance"
	AfterHeader   = "Last-Event-Id"
)

// Ending says what follows after the last byte of an answer.
type Ending string

// The endings.
const (
	// Whole ends the answer as announced and keeps the connection.
	Whole Ending = "whole"
	// Cut closes the connection inside the answer.
	Cut Ending = "cut"
	// Torn closes it inside an event.
	Torn Ending = "torn"
	// Silent sends no more and keeps the connection open.
	Silent Ending = "silent"
)

// Behaviour is how one request is answered. The zero value answers 200 with an
// empty body.
type Behaviour struct {
	// Status of the answer; 0 is 200.
	Status int
	Body   string
	// First and Last are the events of a stream; Last 0 sends none. A First of
	// 0 goes on after the caller's last event.
	First, Last int
	Ending      Ending
	// Pace is the time before the answer and before each further event.
	Pace     time.Duration
	NotRun   bool
	Unsigned bool
	// Encoding sets a content encoding.
	Encoding string
	// Stray is the identifier of another request whose answer comes first.
	Stray string
	// Unframed answers without a length.
	Unframed bool
	// Extra sends a second answer after the first.
	Extra bool
	// Early answers before the request's body is read, and closes.
	Early bool
	// Drop closes the connection without an answer.
	Drop bool
}

// Arrival is one request that reached the engine.
type Arrival struct {
	Method, Target string
	Header         http.Header
	Body           string
}

// Engine is one endpoint. Set ID and Next before use; it is safe for concurrent
// use.
type Engine struct {
	ID string
	// Next returns the behaviour for the next request.
	Next func() Behaviour
	// Batch makes the tokens of model requests whose Behaviour is the zero
	// value; nil leaves them to the Behaviour.
	Batch *batch.Engine
	// PerEvent is how many tokens an event holds; 0 takes 1.
	PerEvent ident.Tokens

	mu       sync.Mutex
	arrivals []Arrival
}

// Arrivals returns the requests so far.
func (e *Engine) Arrivals() []Arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Arrival(nil), e.arrivals...)
}

// Serve answers the requests of a connection until it ends.
func (e *Engine) Serve(c net.Conn) {
	defer c.Close() //nolint:errcheck // it is over in any case.
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if !e.answer(c, r, req) {
			return
		}
	}
}

// answer answers one request and reports whether the connection goes on.
func (e *Engine) answer(c net.Conn, r *bufio.Reader, req *http.Request) bool {
	b := e.Next()
	if b.Early {
		e.note(req, "")
		e.write(c, req, b)
		return false
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return false
	}
	e.note(req, string(body))
	if want := req.Header.Get(ExpectHeader); want != "" && want != e.ID {
		return send(c, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
	}
	if b.Drop {
		return false
	}
	if b == (Behaviour{}) && e.Batch != nil && req.Header.Get(TokensHeader) != "" {
		return e.generate(c, r, req)
	}
	time.Sleep(b.Pace)
	return e.write(c, req, b)
}

func (e *Engine) note(req *http.Request, body string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrivals = append(e.arrivals, Arrival{req.Method, req.RequestURI, req.Header, body})
}

func send(w io.Writer, text string) bool {
	_, err := io.WriteString(w, text)
	return err == nil
}

func sendChunk(w io.Writer, text string) bool {
	return send(w, fmt.Sprintf("%x\r\n%s\r\n", len(text), text))
}

func eventText(n int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n) }

// write sends the answer and reports whether the connection goes on.
func (e *Engine) write(c net.Conn, req *http.Request, b Behaviour) bool {
	id := req.Header.Get(AttemptHeader)
	if b.Stray != "" && !send(c, e.head(b.Stray, Behaviour{}, 5)+"stray") {
		return false
	}
	if b.Last > 0 {
		return e.events(c, req, id, b)
	}
	length := len(b.Body)
	if b.Ending == Cut {
		length++
	}
	if b.Unframed {
		length = -1
	}
	answer := e.head(id, b, length) + b.Body
	if b.Extra {
		answer += answer
	}
	return send(c, answer) && e.end(c, b)
}

func (e *Engine) end(c net.Conn, b Behaviour) bool {
	if b.Ending == Silent {
		io.Copy(io.Discard, c) //nolint:errcheck // it ends with the connection.
	}
	return (b.Ending == "" || b.Ending == Whole) && !b.Unframed
}

// head returns the head of an answer; a length of -1 gives none, -2 announces
// chunks.
func (e *Engine) head(id string, b Behaviour, length int) string {
	status := b.Status
	if status == 0 {
		status = http.StatusOK
	}
	var h strings.Builder
	fmt.Fprintf(&h, "HTTP/1.1 %d %s\r\n%s: %s\r\n", status, http.StatusText(status), AttemptHeader, id)
	if !b.Unsigned && !b.NotRun {
		fmt.Fprintf(&h, "%s: %s.%s\r\n", StampHeader, e.ID, id)
	}
	if b.NotRun {
		fmt.Fprintf(&h, "%s: 1\r\n", NotRunHeader)
	}
	if e.Batch != nil {
		l := e.Batch.Load()
		fmt.Fprintf(&h, "%s: %d,%d,%d\r\n", LoadHeader, l.Running, l.Waiting, l.Slots)
	}
	if b.Encoding != "" {
		fmt.Fprintf(&h, "Content-Encoding: %s\r\n", b.Encoding)
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

func (e *Engine) events(c net.Conn, req *http.Request, id string, b Behaviour) bool {
	if !send(c, e.head(id, b, -2)) {
		return false
	}
	first := b.First
	if first == 0 {
		after, err := strconv.Atoi(req.Header.Get(AfterHeader))
		if err != nil {
			after = 0
		}
		first = after + 1
	}
	for n := first; n <= b.Last; n++ {
		if n > first {
			time.Sleep(b.Pace)
		}
		text := eventText(n)
		if n == b.Last && b.Ending == Torn {
			text = text[:len(text)/2]
		}
		if !sendChunk(c, text) {
			return false
		}
	}
	if b.Ending != "" && b.Ending != Whole {
		return e.end(c, b)
	}
	return send(c, "0\r\n\r\n")
}
