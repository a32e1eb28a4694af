package relay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strconv"

	"github.com/rotisserie/eris"

	"goldcrestwick/internal/request/answer"
	"goldcrestwick/internal/request/ident"
)

// maxEventBytes bounds one event of a model runner's stream.
const maxEventBytes = 1 << 20

var (
	errCrossed  = eris.New("the endpoint sent a part of another request's answer")
	errGap      = eris.New("the endpoint left a part of the answer out")
	errTooShort = eris.New("the answer ended before its end marker")
	errCount    = eris.New("the answer's length differs from the endpoint's token count")
)

// event is one server-sent event of a model runner. Its id counts the tokens
// up to and with this event.
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

// next returns the next event with data; its data is valid until the call
// after.
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
		}
	}
	if err := r.lines.Err(); err != nil {
		return e, err
	}
	return e, io.ErrUnexpectedEOF
}

// chunk is the part of a model runner's event that counts.
type chunk struct {
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

func (c chunk) text() string {
	if len(c.Choices) == 0 {
		return ""
	}
	return c.Choices[0].Delta.Content + c.Choices[0].Text
}

func (c chunk) finish() string {
	if len(c.Choices) == 0 {
		return ""
	}
	return c.Choices[0].Finish
}

// assembly checks that the events of one answer are whole, in order and its
// own, over as many connections as it takes.
type assembly struct {
	request ident.RequestID
	tokens  int
	pieces  int
	finish  string
	usage   *answer.Usage
}

// add takes one event and returns its text; done is true at the end marker of
// a whole answer. Events that came before are passed over.
func (a *assembly) add(e event) (text string, done bool, err error) {
	if bytes.Equal(e.data, []byte("[DONE]")) {
		return "", true, a.check()
	}
	var c chunk
	if err := json.Unmarshal(e.data, &c); err != nil {
		return "", false, eris.Wrap(err, "event data")
	}
	if c.ID != string(a.request) {
		return "", false, errCrossed
	}
	if c.Usage != nil {
		a.usage = &answer.Usage{
			Prompt: ident.Tokens(c.Usage.Prompt), Cached: ident.Tokens(c.Usage.Details.Cached),
			Output: ident.Tokens(c.Usage.Output),
		}
	}
	if f := c.finish(); f != "" {
		a.finish = f
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
		return "", false, errGap
	default:
		a.tokens = e.id
	}
	return text, false, nil
}

func (a *assembly) check() error {
	if a.finish == "" || a.usage == nil {
		return errTooShort
	}
	if int(a.usage.Output) != a.tokens {
		return errCount
	}
	return nil
}
