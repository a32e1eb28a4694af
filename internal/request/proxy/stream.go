package proxy

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"goldcrestwick/internal/connection/reply"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/origin"
	"goldcrestwick/internal/process/sched"
	"goldcrestwick/internal/version/config"
)

const (
	// maxEventBytes limits the size of one event.
	maxEventBytes = 1 << 20
	// eventBufferBytes is the size of the read buffer. Longer lines are read in
	// several parts.
	eventBufferBytes = 4 << 10
	// progressInterval is the minimum time between two reports of a stream's
	// inter-token latency to the cell.
	progressInterval = time.Second
)

// streamState is the state of the event stream to the caller. It is kept across
// retries at other endpoints.
type streamState struct {
	// headSent is set once the head of the answer was written to the caller, and contentType is
	// what it states, "" also if another node has written it.
	headSent    bool
	contentType string
	// lastEventID is the identifier of the last event that was sent to the caller
	// or, before the first, that the caller stated. Identifiers start at 1; 0 means
	// none.
	lastEventID int
}

// isContinuedBy reports whether an answer goes on with the stream, whose head the caller has. It
// may lack a content type, but not have another one.
func (s *streamState) isContinuedBy(resp *http.Response) bool {
	contentType := resp.Header.Get("Content-Type")
	hasBody := isSuccess(resp.StatusCode) && resp.StatusCode != http.StatusNoContent
	return hasBody && (contentType == "" || s.contentType == "" || contentType == s.contentType)
}

func (s *streamState) resumeFrom(r *Request) { s.lastEventID = r.Info.LastEventID }

func (s *requestState) isStream() bool { return s.Route.Kind == config.Stream }

// event is one server-sent event with its bytes as received.
type event struct {
	id    int
	hasID bool
	raw   []byte
}

// answerStart begins the head of an answer, and no line of an event: an endpoint has sent another
// answer in the middle of a stream.
const answerStart = "HTTP/1."

var errAnswerInStream = eris.New("another answer is in the middle of the stream")

var errEventTooLong = eris.Errorf("an event has more than %d bytes", maxEventBytes)

// readEvent reads up to the blank line that ends an event (WHATWG HTML, section
// 9.2). At the end of the stream it returns io.EOF, and io.ErrUnexpectedEOF
// inside an event. The bytes of the event are stored in buffer if they fit.
func readEvent(r *bufio.Reader, buffer []byte) (event, error) {
	e := event{raw: buffer[:0]}
	lineStart := 0
	for {
		part, err := r.ReadSlice('\n')
		e.raw = append(e.raw, part...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull) && len(e.raw) <= maxEventBytes:
			// The line goes on in the next part.
			continue
		case errors.Is(err, io.EOF) && len(bytes.TrimSpace(e.raw)) > 0:
			return e, io.ErrUnexpectedEOF
		case err != nil:
			return e, err
		case len(e.raw) > maxEventBytes:
			return e, errEventTooLong
		}
		text := bytes.TrimRight(e.raw[lineStart:], "\r\n")
		lineStart = len(e.raw)
		if len(text) == 0 {
			return e, nil
		}
		if bytes.HasPrefix(text, []byte(answerStart)) {
			return e, errAnswerInStream
		}
		if id, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			n, err := strconv.Atoi(string(bytes.TrimSpace(id)))
			if err != nil {
				return e, eris.Wrap(err, "event id")
			}
			e.id, e.hasID = n, true
		}
	}
}

// forwardStream forwards an event stream event by event.
func (x *exchange) forwardStream(ctx context.Context, resp *http.Response) outcome {
	s := x.state
	t := &streamTiming{eventTokens: max(s.Pool.TokensPerEvent, 1), sentAt: x.sentAt}
	events := bufio.NewReaderSize(resp.Body, eventBufferBytes)
	var buffer []byte
	for {
		e, err := readEvent(events, buffer)
		buffer = e.raw
		if errors.Is(err, io.EOF) && (t.events == 0 && !reply.IsDelimited(resp) || x.isCutOff(ctx, resp)) {
			err = io.ErrUnexpectedEOF
		}
		if errors.Is(err, io.EOF) {
			x.writeHead(resp)
			x.proxy.lengths.observe(s.Request, ident.Tokens(t.events*t.eventTokens))
			completion := t.completion()
			completion.IsWhole = true
			return outcome{completion: completion}
		}
		if err != nil && t.events == 0 {
			return x.failWithoutAnswer(ctx, "the stream broke off: "+err.Error(), err)
		}
		if err != nil {
			s.flushEvents()
			return x.failMidway(ctx, "the stream broke off: "+err.Error(), err)
		}
		if err := s.stream.advance(e); err != nil {
			s.flushEvents()
			return x.fail(ctx, faultEvent, err.Error())
		}
		x.recordEvent(t)
		x.writeHead(resp)
		if err := s.writeEvent(e, hasEvent(events)); err != nil {
			x.DisableReuse()
			s.result.Truncated = true
			return outcome{answered, "the caller went away", sched.Completion{Cancelled: true}}
		}
	}
}

var errEventOrder = eris.New("an event is missing or out of order")

// advance checks that an event follows the last one and records its identifier.
// An event without an identifier is not checked. An endpoint
// that starts from the first event instead of resuming is a second run, whose
// events must not be appended to those of the first run.
func (s *streamState) advance(e event) error {
	if !e.hasID {
		return nil
	}
	if e.id != s.lastEventID+1 {
		return errEventOrder
	}
	s.lastEventID = e.id
	return nil
}

// writeHead writes the head of the answer once. A stream that is resumed at
// another endpoint keeps the head of the first endpoint.
func (x *exchange) writeHead(resp *http.Response) {
	s := x.state
	if s.stream.headSent {
		return
	}
	s.stream.headSent, s.stream.contentType = true, resp.Header.Get("Content-Type")
	s.result.Status = resp.StatusCode
	s.result.TimeToFirstAnswer = time.Since(s.Arrived)
	copyHeader(s.w, resp.Header)
	s.w.Header().Del("Content-Length")
	s.w.WriteHeader(resp.StatusCode)
}

// writeEvent writes an event to the caller. If another event follows at once, both are sent
// together, which saves a system call and a wake-up of the caller.
func (s *requestState) writeEvent(e event, isFollowed bool) error {
	if _, err := s.w.Write(e.raw); err != nil {
		return err
	}
	s.result.Events++
	if isFollowed {
		return nil
	}
	return s.flush()
}

func (s *requestState) flush() error { return http.NewResponseController(s.w).Flush() }

// flushEvents sends the events that have been written. Before the head is written it does
// nothing, since that would send an empty head with status 200.
func (s *requestState) flushEvents() {
	if s.stream.headSent {
		s.flush() //nolint:errcheck // the caller may be gone.
	}
}

// hasEvent reports whether a whole event is buffered, so that reading it does not wait.
func hasEvent(r *bufio.Reader) bool {
	n := r.Buffered()
	if n == 0 {
		return false
	}
	text, _ := r.Peek(n) //nolint:errcheck // the bytes are buffered.
	return bytes.Contains(text, []byte("\n\n")) || bytes.Contains(text, []byte("\n\r\n"))
}

// streamTiming measures the time to first token and the inter-token latency of
// the events of one exchange. Tokens are estimated as events times eventTokens.
type streamTiming struct {
	eventTokens           int
	sentAt                time.Time
	firstEvent, lastEvent time.Time
	events                int
	reportedAt            time.Time
	reportedEvents        int
}

// recordEvent counts an event. It reports the first event to the cell, and the
// inter-token latency at most once per progressInterval.
func (x *exchange) recordEvent(t *streamTiming) {
	if p := x.proxy; p.Reach != nil {
		p.Reach.Heard()
	}
	now := time.Now()
	if t.events > 0 {
		r := &x.state.result
		r.LongestGap = max(r.LongestGap, now.Sub(t.lastEvent))
	}
	t.lastEvent = now
	t.events++
	if t.events == 1 {
		x.bindStream()
		t.firstEvent, t.reportedAt, t.reportedEvents = now, now, 1
		x.reportStarted()
		return
	}
	if took := now.Sub(t.reportedAt); took >= progressInterval {
		x.grant.ReportProgress(took / time.Duration((t.events-t.reportedEvents)*t.eventTokens))
		t.reportedAt, t.reportedEvents = now, t.events
	}
}

// bindStream binds the stream, of which the first event has arrived, to the release that
// sent it.
func (x *exchange) bindStream() {
	s, release := x.state, x.grant.Response.Release
	s.result.Releases = append(s.result.Releases, release)
	s.job.Release = &release
	if x.proxy.Started != nil && s.job.Stream != "" {
		x.proxy.Started(s.job.Stream, origin.Origin{Pool: s.Pool.ID, Release: release})
	}
}

func (t *streamTiming) completion() sched.Completion {
	c := sched.Completion{}
	if t.events == 0 {
		return c
	}
	c.TimeToFirstToken = t.firstEvent.Sub(t.sentAt)
	if t.events > 1 {
		c.InterTokenLatency = t.lastEvent.Sub(t.firstEvent) / time.Duration((t.events-1)*t.eventTokens)
	}
	return c
}
