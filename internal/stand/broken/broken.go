// Package broken has answers that violate HTTP/1.1 in one way each, and sound ones beside them, for
// stand-ins that send them on raw connections.
//
// # Usage
//
//	for _, a := range broken.Answers() {
//		go broken.Serve(conn, a.KeepsOpen, nil, a.Text("X-Request-Id: r1\r\n", "body"))
//	}
package broken

import (
	"bufio"
	_ "embed"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
)

//go:embed answers.txt
var answersText string

// Answer is an answer of an endpoint.
type Answer struct {
	Name string
	// Fault says why the answer must not be used, "" if it is sound.
	Fault string
	// KeepsOpen is set if the endpoint keeps the connection open after the answer.
	KeepsOpen bool

	template string
}

var answers = sync.OnceValue(parseAnswers)

// Answers returns all answers of answers.txt.
func Answers() []Answer { return slices.Clone(answers()) }

func parseAnswers() []Answer {
	var all []Answer
	for line := range strings.Lines(answersText) {
		fields := strings.Fields(line)
		if len(fields) == 0 || strings.HasPrefix(line, "#") {
			continue
		}
		quoted := strings.TrimSpace(line[strings.Index(line, `"`):])
		template, err := strconv.Unquote(quoted)
		if err != nil {
			panic("answers.txt: " + fields[0] + ": " + err.Error())
		}
		a := Answer{Name: fields[0], Fault: fields[1], KeepsOpen: fields[2] == "keep", template: template}
		if a.Fault == "-" {
			a.Fault = ""
		}
		all = append(all, a)
	}
	return all
}

// Find returns the answer with a name.
func Find(name string) (Answer, bool) {
	for _, a := range answers() {
		if a.Name == name {
			return a, true
		}
	}
	return Answer{}, false
}

// Text returns the bytes of the answer with the given header lines, each with its line end, and body.
func (a Answer) Text(fields, body string) string {
	half := len(body) / 2
	return strings.NewReplacer(
		"{fields}", fields, "{length}", fmt.Sprintf("Content-Length: %d\r\n", len(body)), "{body}", body, "{part}", body[:half],
		"{chunks}", fmt.Sprintf("%x\r\n%s\r\n%x\r\n%s\r\n", half, body[:half], len(body)-half, body[half:]),
	).Replace(a.template)
}

// HeadCuts returns the answers that end at each byte of the head of a sound answer without a length.
func HeadCuts(fields string) []Answer {
	head := "HTTP/1.1 200 OK\r\n" + fields + "\r\n"
	var answers []Answer
	for n := 1; n < len(head); n++ {
		answers = append(answers, Answer{Name: fmt.Sprint("head_cut_at_", n), Fault: "head_cut", template: head[:n]})
	}
	return answers
}

// Serve answers the requests of a connection by texts, in turn. Then it closes the connection or, if
// keepsOpen is set, waits until the client does. Arrived is called for each request once its body has
// been read; it may be nil.
func Serve(c net.Conn, keepsOpen bool, arrived func(), texts ...string) {
	defer c.Close() //nolint:errcheck // the client notices.
	reader := bufio.NewReader(c)
	for _, text := range texts {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if arrived != nil {
			arrived()
		}
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
	}
	if keepsOpen {
		io.Copy(io.Discard, reader) //nolint:errcheck // until the client closes the connection.
	}
}

// IsUndelimited reports whether only the end of its connection ends the answer.
func (a Answer) IsUndelimited() bool {
	return !strings.Contains(a.template, "{length}") && !strings.Contains(a.template, "Transfer-Encoding") && !strings.Contains(a.template, "Content-Length")
}
