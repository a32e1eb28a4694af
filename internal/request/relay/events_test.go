package relay

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestEvents reads the answers of testdata/events.txt.
func TestEvents(t *testing.T) {
	f, err := os.Open("testdata/events.txt")
	qt.Assert(t, err, qt.IsNil)
	defer f.Close() //nolint:errcheck // only read.
	for lines := bufio.NewScanner(f); lines.Scan(); {
		words := strings.Fields(lines.Text())
		if len(words) < 2 || words[0][0] == '#' {
			continue
		}
		got := "whole"
		if err := readAll(stream(words[1:])); err != nil {
			got = err.Error()
		}
		want := strings.ReplaceAll(words[0], "_", " ")
		qt.Assert(t, got, qt.Contains, want, qt.Commentf(lines.Text()))
	}
}

func readAll(text string) error {
	events := newEventReader(strings.NewReader(text))
	a := &assembly{request: "r1"}
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

// stream writes the events in the form of model runners.
func stream(words []string) string {
	var b strings.Builder
	for _, w := range words {
		request := "r1"
		if rest, ok := strings.CutPrefix(w, "!"); ok {
			request, w = "r2", rest
		}
		name, text, _ := strings.Cut(w, ":")
		switch name {
		case "cut":
			return b.String()
		case "DONE":
			b.WriteString("data: [DONE]\n\n")
		case "stop":
			fmt.Fprintf(&b, "data: {\"id\":%q,\"choices\":[{\"finish_reason\":\"stop\"}]}\n\n", request)
		case "end":
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
