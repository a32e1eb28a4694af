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

	"goldcrestwick/internal/process/sched"
	"goldcrestwick/internal/request/ident"
	"goldcrestwick/internal/version/config"
)

const (
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
	eventBuffer   = 4 << 10
	// progressTime is the time between two words to the cell on the pace of a
	// stream.
	progressTime = time.Second
)

// stream is an event stream to the caller, over as many endpoints as it takes.
type stream struct {
	// started is set once the caller has the head of the answer.
	started bool
	// last is the identifier of the last event that the caller has. Events
	// count from 1.
	last int
}

func (s *stream) start(r *Request) { s.last = r.Info.After }

func (t *try) isStream() bool { return t.Route.Kind == config.Stream }

// event is one server-sent event with its bytes as they came.
type event struct {
	id    int
	hasID bool
	raw   []byte
}

var errEventTooLong = eris.Errorf("an event has more than %d bytes", maxEventBytes)

// readEvent reads up to the blank line that ends an event (WHATWG HTML, section
// 9.2). At the end of the stream it returns io.EOF, and io.ErrUnexpectedEOF
// inside an event.
func readEvent(r *bufio.Reader, buffer []byte) (event, error) {
	e := event{raw: buffer[:0]}
	for {
		line, err := r.ReadSlice('\n')
		e.raw = append(e.raw, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull) && len(e.raw) <= maxEventBytes:
			continue
		case errors.Is(err, io.EOF) && len(bytes.TrimSpace(e.raw)) > 0:
			return e, io.ErrUnexpectedEOF
		case err != nil:
			return e, err
		case len(e.raw) > maxEventBytes:
			return e, errEventTooLong
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return e, nil
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

// stream passes an event stream on, event by event.
func (x *exchange) stream(ctx context.Context, resp *http.Response) outcome {
	t := x.try
	p := &pace{eventTokens: max(t.Pool.EventTokens, 1), sentAt: x.sentAt}
	events := bufio.NewReaderSize(resp.Body, eventBuffer)
	var buffer []byte
	for {
		e, err := readEvent(events, buffer)
		buffer = e.raw
		if errors.Is(err, io.EOF) {
			x.begin(resp)
			x.proxy.lengths.learn(t.Request, ident.Tokens(p.count*p.eventTokens))
			return outcome{ending: p.ending()}
		}
		if err != nil {
			return x.fail(ctx, "the stream broke off: "+err.Error())
		}
		if err := t.stream.take(e); err != nil {
			return x.fail(ctx, err.Error())
		}
		x.tell(p)
		x.begin(resp)
		if err := t.deliver(e); err != nil {
			x.Spoil()
			t.result.Cut = true
			return outcome{done, "the caller went away", sched.Completion{Cancelled: true}}
		}
	}
}

var errOrder = eris.New("an event is missing or out of order")

// take checks an event's place. An endpoint that begins anew instead of going on
// is another run, whose events must not be joined to those of the first.
func (s *stream) take(e event) error {
	if !e.hasID {
		return nil
	}
	if e.id != s.last+1 {
		return errOrder
	}
	s.last = e.id
	return nil
}

// begin writes the head of the answer once. A stream that goes on at another
// endpoint keeps the head of its first.
func (x *exchange) begin(resp *http.Response) {
	t := x.try
	if t.stream.started {
		return
	}
	t.stream.started = true
	t.result.Status = resp.StatusCode
	t.result.FirstAnswer = time.Since(t.Arrived)
	writeHeader(t.w, resp.Header)
	t.w.Header().Del("Content-Length")
	t.w.WriteHeader(resp.StatusCode)
}

func (t *try) deliver(e event) error {
	if _, err := t.w.Write(e.raw); err != nil {
		return err
	}
	return http.NewResponseController(t.w).Flush()
}

// pace measures a stream for its cell.
type pace struct {
	eventTokens int
	sentAt      time.Time
	first, last time.Time
	count       int
	told        time.Time
	toldCount   int
}

// tell counts an event and tells the cell of the first and, now and then, of
// the pace.
func (x *exchange) tell(p *pace) {
	now := time.Now()
	p.last = now
	p.count++
	if p.count == 1 {
		p.first, p.told, p.toldCount = now, now, 1
		x.grant.Started(x.occupancy)
		return
	}
	if took := now.Sub(p.told); took >= progressTime {
		x.grant.Progress(took / time.Duration((p.count-p.toldCount)*p.eventTokens))
		p.told, p.toldCount = now, p.count
	}
}

func (p *pace) ending() sched.Completion {
	e := sched.Completion{}
	if p.count == 0 {
		return e
	}
	e.TimeToFirstToken = p.first.Sub(p.sentAt)
	if p.count > 1 {
		e.InterTokenLatency = p.last.Sub(p.first) / time.Duration((p.count-1)*p.eventTokens)
	}
	return e
}
