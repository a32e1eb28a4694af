package engine

import (
	"io"
	"strings"
)

// NoID is the value of Behaviour.AnswerIDs for an answer without an attempt ID.
const NoID = "none"

// idHeader returns the header lines with the attempt IDs of the answer to a request.
func (b Behaviour) idHeader(id string) string {
	if b.AnswerIDs == NoID {
		return ""
	}
	if b.AnswerIDs != "" {
		id = b.AnswerIDs
	}
	return AttemptIDHeader + ": " + strings.ReplaceAll(id, ",", "\r\n"+AttemptIDHeader+": ") + "\r\n"
}

// refuse sends an answer that states that a recorded request was not run, and reports whether
// the connection can be reused.
func (e *Engine) refuse(w io.Writer, index int, answer string) bool {
	e.recordRefused(index)
	e.keepRefusal(w, answer)
	return send(w, answer)
}

func (e *Engine) recordRefused(index int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.received[index].WasRefused = true
}

// keepRefusal keeps the latest refusal of a connection, to be repeated.
func (e *Engine) keepRefusal(w io.Writer, answer string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.refusals == nil {
		e.refusals = map[io.Writer]string{}
	}
	e.refusals[w] = answer
}

func (e *Engine) refusal(w io.Writer) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.refusals[w]
}

func (e *Engine) forgetRefusal(w io.Writer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.refusals, w)
}
