package rig2

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Request is a client's request.
type Request struct {
	// Attempt is the identifier of the client's attempt.
	Attempt, Method, Path string
	Header                http.Header
	Body                  []byte
	// Timeout is how long the client waits.
	Timeout time.Duration
}

// Answer is what a client has seen of a request.
type Answer struct {
	Attempt string
	// Status is 0 if no whole answer came.
	Status     int
	Header     http.Header
	Body       string
	Problem    string
	Sent, Took time.Duration
}

// Host and Key are the host of all routes and the key of the tenant.
const (
	Host = "h.example"
	Key  = "key1"
)

// Send sends a request on a new connection to a node and waits for its answer.
func (d *Deployment) Send(n *Node, r Request) Answer {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), r.Timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+n.CallerAddress+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		panic(err) // the address is valid.
	}
	request.Host = Host
	request.Header.Set("Goldcrestwick-Attempt-Id", r.Attempt)
	request.Header.Set("Goldcrestwick-Deadline-Ms", fmt.Sprint(r.Timeout.Milliseconds()))
	request.Header.Set("X-Api-Key", Key)
	for name, values := range r.Header {
		request.Header[name] = values
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	a := Answer{Attempt: r.Attempt, Sent: began.Sub(d.started)}
	reply, err := transport.RoundTrip(request)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(reply.Body)
		reply.Body.Close() //nolint:errcheck // it was read.
		a.Header, a.Body = reply.Header, string(body)
	}
	a.Took = time.Since(began)
	if err != nil {
		a.Problem = err.Error()
	} else {
		a.Status = reply.StatusCode
	}
	d.Record("client sent %s %s %s to %s at %.3f, answered after %.3f s: status %d %s %s", r.Attempt, r.Method, r.Path, n.Name, a.Sent.Seconds(), a.Took.Seconds(), a.Status, a.Problem, oneLine(a.Body))
	return a
}

// maxLogged bounds what a line of the record has of a body.
const maxLogged = 120

func oneLine(text string) string {
	text = strings.ReplaceAll(strings.TrimSpace(text), "\n", " ")
	return text[:min(len(text), maxLogged)]
}
