package relay

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestEvents checks the error of each answer of testdata/events.txt.
func TestEvents(t *testing.T) {
	f, err := os.Open("testdata/events.txt")
	qt.Assert(t, err, qt.IsNil)
	defer f.Close() //nolint:errcheck // only read.
	for lines := bufio.NewScanner(f); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < 2 || fields[0][0] == '#' {
			continue
		}
		got := "complete"
		if err := checkEvents(encodeEvents(fields[1:])); err != nil {
			got = err.Error()
		}
		want := strings.ReplaceAll(fields[0], "_", " ")
		qt.Assert(t, got, qt.Contains, want, qt.Commentf(lines.Text()))
	}
}

// checkEvents returns the first error of an event stream.
func checkEvents(text string) error {
	events := newEventReader(strings.NewReader(text))
	a := &assembler{request: "r1"}
	for {
		e, err := events.next()
		if err != nil {
			return err
		}
		if _, done, err := a.add(e); done || err != nil {
			return err
		}
	}
}

// encodeEvents returns the events as the event stream of a model runner.
func encodeEvents(fields []string) string {
	var b strings.Builder
	for _, field := range fields {
		request := "r1"
		if rest, ok := strings.CutPrefix(field, "!"); ok {
			request, field = "r2", rest
		}
		name, text, _ := strings.Cut(field, ":")
		switch name {
		case "truncated":
			return b.String()
		case "DONE":
			b.WriteString("data: [DONE]\n\n")
		case "stop":
			fmt.Fprintf(&b, "data: {\"id\":%q,\"choices\":[{\"finish_reason\":\"stop\"}]}\n\n", request)
		case "usage":
			fmt.Fprintf(&b, "data: {\"id\":%q,\"choices\":[],\"usage\":{\"prompt_tokens\":1,\"completion_tokens\":%s}}\n\n", request, text)
		default:
			if name != "-" {
				fmt.Fprintf(&b, "id: %s\n", name)
			}
			fmt.Fprintf(&b, "data: {\"id\":%q,\"choices\":[{\"text\":%q}]}\n\n", request, text)
		}
	}
	return b.String()
}
