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

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/stand/batch"
)

// Headers of requests to an inference engine and of its answers.
const (
	// TokenCountsHeader holds the number of prompt tokens and the maximum number of
	// output tokens.
	TokenCountsHeader = "Goldcrestwick-Token-Counts"
	// PromptPrefixHeader holds the leading parts of the prompt as a
	// comma-separated list of ID:TOKENS.
	PromptPrefixHeader = "Goldcrestwick-Prompt-Prefix"
	// DeadlineHeader holds the time that the caller waits for its answer, in
	// milliseconds.
	DeadlineHeader = "Goldcrestwick-Deadline-Ms"
	// RunnerLoadHeader holds the number of running requests, of waiting requests
	// and of slots.
	RunnerLoadHeader = "Goldcrestwick-Runner-Load"
)

// defaultTokensPerEvent is the number of tokens in an event if
// Engine.TokensPerEvent is zero.
const defaultTokensPerEvent = 1

// generate answers a request with the tokens that the batch engine generates,
// and reports whether the connection can be reused. If the caller closes the
// connection, the sequence is canceled. The index is that of the recorded request.
func (e *Engine) generate(w io.Writer, r *bufio.Reader, req *http.Request, index int) bool {
	generation, err := e.parseRequest(req.Header)
	if err != nil {
		return e.reject(w, req, index, http.StatusBadRequest)
	}
	seq, err := e.Batch.Submit(generation)
	if err != nil {
		if e.Refused != nil {
			e.Refused()
		}
		return e.reject(w, req, index, http.StatusServiceUnavailable)
	}
	defer seq.Cancel()
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
	keepAlive := e.streamSequence(ctx, w, req, index, generation, seq)
	e.recordEnd(index) // serveRequest returns only when the connection is used again.
	if keepAlive {
		<-next // Serve may use r only after Peek has returned.
	}
	cancel()
	return keepAlive
}

// streamSequence sends the tokens of a sequence as events, and reports whether
// the connection can be reused. It sends the header when the first token has been
// generated. If the deadline passes before that, the answer is 503; later the stream
// is truncated.
func (e *Engine) streamSequence(ctx context.Context, w io.Writer, req *http.Request, index int, generation batch.Request, seq *batch.Sequence) bool {
	id := req.Header.Get(AttemptIDHeader)
	perEvent := e.tokensPerEvent()
	generated := generation.GeneratedTokens
	head, sendEvent := e.head(id, Behaviour{}, -2), sendChunk
	end := func() bool { return send(w, "0\r\n\r\n") }
	if e.OmitsLength != nil && e.OmitsLength() {
		head, sendEvent = e.head(id, Behaviour{}, -1), send
		end = func() bool { return false }
	}
	if generated >= generation.OutputTokens {
		return send(w, head) && end()
	}
	for event := int(generated/perEvent) + 1; ident.Tokens(event-1)*perEvent < generation.OutputTokens; event++ {
		for until := min(ident.Tokens(event)*perEvent, generation.OutputTokens); generated < until; {
			total, err := seq.Wait(ctx, generated)
			switch {
			case err == nil:
			case generated > generation.GeneratedTokens:
				return false // the deadline has passed or the caller has disconnected.
			case errors.Is(err, context.DeadlineExceeded):
				return e.reject(w, req, index, http.StatusServiceUnavailable)
			default:
				return false
			}
			if generated == generation.GeneratedTokens && e.Crash != nil && e.Crash(req.RequestURI, generation.Parts) {
				return false
			}
			if generated == generation.GeneratedTokens && !send(w, head) {
				return false
			}
			generated = total
		}
		if !sendEvent(w, EventText(event, e.Release)) {
			return false
		}
	}
	return end()
}

func (e *Engine) reject(w io.Writer, req *http.Request, index, status int) bool {
	return e.refuse(w, index, e.head(req.Header.Get(AttemptIDHeader), Behaviour{Status: status, NotRun: true}, 0))
}

func (e *Engine) tokensPerEvent() ident.Tokens {
	if e.TokensPerEvent == 0 {
		return defaultTokensPerEvent
	}
	return e.TokensPerEvent
}

// parseRequest reads the generation request from the request headers.
func (e *Engine) parseRequest(h http.Header) (batch.Request, error) {
	var r batch.Request
	if _, err := fmt.Sscanf(h.Get(TokenCountsHeader), "%d,%d", &r.PromptTokens, &r.OutputTokens); err != nil {
		return r, err
	}
	for entry := range strings.SplitSeq(h.Get(PromptPrefixHeader), ",") {
		if entry == "" {
			continue
		}
		id, size, _ := strings.Cut(strings.TrimSpace(entry), ":")
		n, err := strconv.ParseUint(size, 10, 31)
		if err != nil {
			return r, err
		}
		r.Parts = append(r.Parts, batch.PromptPart{ID: id, Tokens: ident.Tokens(n)})
	}
	if after := h.Get(LastEventIDHeader); after != "" {
		n, err := strconv.ParseUint(after, 10, 31)
		if err != nil {
			return r, err
		}
		r.GeneratedTokens = min(ident.Tokens(n)*e.tokensPerEvent(), r.OutputTokens)
	}
	return r, nil
}
