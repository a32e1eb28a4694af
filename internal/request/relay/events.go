package relay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strconv"

	"github.com/rotisserie/eris"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/request/answer"
)

const (
	// maxEventBytes limits the size of one line of a model runner's event stream, and of the
	// data of an event.
	maxEventBytes = 1 << 20
	// maxTextBytes limits the text of an answer, which is kept for callers that do not stream.
	// It is above the longest answer that a request can ask for.
	maxTextBytes = 8 << 20
)

var (
	errEventTooLong = eris.Errorf("an event has more than %d bytes", maxEventBytes)
	errTextTooLong  = eris.Errorf("the answer has more than %d bytes", maxTextBytes)
)

var (
	errMismatched    = eris.New("the endpoint sent a part of another request's answer")
	errMissingTokens = eris.New("the endpoint left a part of the answer out")
	errIncomplete    = eris.New("the answer ended before its end marker")
	errTokenCount    = eris.New("the answer's length differs from the endpoint's token count")
)

// event is one server-sent event of a model runner. Its id is the number of tokens
// up to and including this event, or -1 if the event has no id.
type event struct {
	id   int
	data []byte
}

// eventReader reads server-sent events (WHATWG HTML, section 9.2).
type eventReader struct{ lines *bufio.Scanner }

func newEventReader(r io.Reader) *eventReader {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 4096), maxEventBytes)
	return &eventReader{lines}
}

// next returns the next event with data. At the end of the stream it returns
// io.ErrUnexpectedEOF, since a complete stream ends with an end marker. The data
// is valid until the next call.
func (r *eventReader) next() (event, error) {
	e := event{id: -1}
	for r.lines.Scan() {
		line := r.lines.Bytes()
		switch {
		case len(line) == 0 && e.data != nil:
			return e, nil
		case bytes.HasPrefix(line, []byte("id:")):
			n, err := strconv.Atoi(string(bytes.TrimSpace(line[3:])))
			if err != nil {
				return e, eris.Wrap(err, "event id")
			}
			e.id = n
		case bytes.HasPrefix(line, []byte("data:")):
			e.data = append(e.data, bytes.TrimPrefix(line[5:], []byte(" "))...)
			if len(e.data) > maxEventBytes {
				return e, errEventTooLong
			}
		}
	}
	if err := r.lines.Err(); err != nil {
		return e, err
	}
	return e, io.ErrUnexpectedEOF
}

// completionChunk holds the fields of a model runner's event that are used.
type completionChunk struct {
	ID      string `json:"id"`
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Text   string `json:"text"`
		Finish string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		Prompt  int64 `json:"prompt_tokens"`
		Output  int64 `json:"completion_tokens"`
		Details struct {
			Cached int64 `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

func (c completionChunk) text() string {
	if len(c.Choices) == 0 {
		return ""
	}
	return c.Choices[0].Delta.Content + c.Choices[0].Text
}

func (c completionChunk) finishReason() string {
	if len(c.Choices) == 0 {
		return ""
	}
	return c.Choices[0].Finish
}

// assembler checks that the events of one answer are complete, in order and
// belong to the request. It is kept when the answer is resumed on another
// connection.
type assembler struct {
	request ident.RequestID
	// tokens counts the tokens of the answer so far, including those before the
	// offset of Run.Resume, and chunks the chunks that were sent to the sink.
	tokens int
	chunks int
	// bytes is the length of the text so far.
	bytes        int
	finishReason string
	usage        *answer.Usage
}

// add checks one event and returns its text. Done is true at the end marker of a
// complete answer. Text is empty for an event without text and for one that was
// already added.
func (a *assembler) add(e event) (text string, done bool, err error) {
	if bytes.Equal(e.data, []byte("[DONE]")) {
		return "", true, a.checkComplete()
	}
	var c completionChunk
	if err := json.Unmarshal(e.data, &c); err != nil {
		return "", false, eris.Wrap(err, "event data")
	}
	if c.ID != string(a.request) {
		return "", false, errMismatched
	}
	if c.Usage != nil {
		a.usage = &answer.Usage{
			PromptTokens: ident.Tokens(c.Usage.Prompt), CachedTokens: ident.Tokens(c.Usage.Details.Cached),
			OutputTokens: ident.Tokens(c.Usage.Output),
		}
	}
	if reason := c.finishReason(); reason != "" {
		a.finishReason = reason
	}
	text = c.text()
	switch {
	case text == "":
		return "", false, nil
	case e.id < 0:
		a.tokens++
	case e.id <= a.tokens:
		return "", false, nil
	case e.id != a.tokens+1:
		return "", false, errMissingTokens
	default:
		a.tokens = e.id
	}
	if a.bytes += len(text); a.bytes > maxTextBytes {
		return "", false, errTextTooLong
	}
	return text, false, nil
}

// checkComplete checks that the answer has a finish reason and a token count that
// matches the tokens received.
func (a *assembler) checkComplete() error {
	if a.finishReason == "" || a.usage == nil {
		return errIncomplete
	}
	if int(a.usage.OutputTokens) != a.tokens {
		return errTokenCount
	}
	return nil
}
