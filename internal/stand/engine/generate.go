package engine

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"goldcrestwick/internal/request/ident"
	"goldcrestwick/internal/stand/batch"
)

// The headers of requests to a model engine.
const (
	// TokensHeader holds the prompt's tokens and the most output tokens.
	TokensHeader = "Goldcrestwick-Token-Counts"
	// PartsHeader holds the parts of the prompt as ID:TOKENS.
	PartsHeader = "Goldcrestwick-Prompt-Prefix"
	// DeadlineHeader holds how long the caller waits, in milliseconds.
	DeadlineHeader = "Goldcrestwick-Deadline-Ms"
	// LoadHeader holds the running and the waiting requests and the slots.
	LoadHeader = "Goldcrestwick-Runner-Load"
)

// defaultTokens is what an event holds where the engine does not say.
const defaultTokens = 1

// generate answers by the model of a batch, and reports whether the connection
// goes on. A caller that closes the connection takes its run with it.
func (e *Engine) generate(w io.Writer, r *bufio.Reader, req *http.Request) bool {
	asked, err := e.requestOf(req.Header)
	if err != nil {
		return e.refuse(w, req, http.StatusBadRequest)
	}
	run, err := e.Batch.Submit(asked)
	if err != nil {
		return e.refuse(w, req, http.StatusServiceUnavailable)
	}
	defer run.Cancel()
	ctx, cancel := context.WithCancel(context.Background())
	if ms, err := strconv.Atoi(req.Header.Get(DeadlineHeader)); err == nil {
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
	}
	next := make(chan struct{})
	go func() {
		defer close(next)
		if _, err := r.Peek(1); err != nil {
			cancel()
		}
	}()
	goesOn := e.stream(ctx, w, req, asked, run)
	if goesOn {
		<-next // the reader is free once the next request begins.
	}
	cancel()
	return goesOn
}

// stream sends the events of a run. It begins with the first token.
func (e *Engine) stream(ctx context.Context, w io.Writer, req *http.Request, asked batch.Request, run *batch.Sequence) bool {
	id := req.Header.Get(AttemptHeader)
	per := e.perEvent()
	made := asked.GeneratedTokens
	if made >= asked.OutputTokens {
		return send(w, e.head(id, Behaviour{}, -2)+"0\r\n\r\n")
	}
	for event := int(made/per) + 1; made < asked.OutputTokens; event++ {
		for until := min(ident.Tokens(event)*per, asked.OutputTokens); made < until; {
			now, err := run.Wait(ctx, made)
			switch {
			case err == nil:
			case made > asked.GeneratedTokens:
				return false // a stream at its deadline ends without its end.
			case errors.Is(err, context.DeadlineExceeded):
				return e.refuse(w, req, http.StatusServiceUnavailable)
			default:
				return false
			}
			if made == asked.GeneratedTokens && !send(w, e.head(id, Behaviour{}, -2)) {
				return false
			}
			made = now
		}
		if !sendChunk(w, eventText(event)) {
			return false
		}
	}
	return send(w, "0\r\n\r\n")
}

func (e *Engine) refuse(w io.Writer, req *http.Request, status int) bool {
	return send(w, e.head(req.Header.Get(AttemptHeader), Behaviour{Status: status, NotRun: true}, 0))
}

func (e *Engine) perEvent() ident.Tokens {
	if e.PerEvent == 0 {
		return defaultTokens
	}
	return e.PerEvent
}

// requestOf reads what a request asks of the model.
func (e *Engine) requestOf(h http.Header) (batch.Request, error) {
	var r batch.Request
	if _, err := fmt.Sscanf(h.Get(TokensHeader), "%d,%d", &r.PromptTokens, &r.OutputTokens); err != nil {
		return r, err
	}
	for word := range strings.SplitSeq(h.Get(PartsHeader), ",") {
		if word == "" {
			continue
		}
		id, size, _ := strings.Cut(strings.TrimSpace(word), ":")
		n, err := strconv.ParseUint(size, 10, 31)
		if err != nil {
			return r, err
		}
		r.Parts = append(r.Parts, batch.PromptPart{ID: id, Tokens: ident.Tokens(n)})
	}
	if after := h.Get(AfterHeader); after != "" {
		n, err := strconv.ParseUint(after, 10, 31)
		if err != nil {
			return r, err
		}
		r.GeneratedTokens = min(ident.Tokens(n)*e.perEvent(), r.OutputTokens)
	}
	return r, nil
}
