package intake

import (
	"bytes"
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/request/refuse"
	"goldcrestwick/internal/version/config"
)

var testLimits = config.Limits{BodyBytes: 1 << 20, DefaultDeadline: time.Minute, MaxDeadline: time.Hour}

func parseChat(t *testing.T, body string) *Request {
	r := httptest.NewRequest("POST", "/", strings.NewReader(body))
	q, refusal := ParseModel(r, Chat, testLimits, time.Unix(1000, 0))
	qt.Assert(t, refusal == nil, qt.IsTrue, qt.Commentf("%v", refusal))
	return q
}

// TestForwardedBody checks the body that an endpoint receives: it always requests a
// stream with token counts and has the output limit in max_tokens. The other fields are
// unchanged.
func TestForwardedBody(t *testing.T) {
	q := parseChat(t, `{"model":"m","temperature":0.25,"max_completion_tokens":9,"messages":[{"role":"user","content":"hi"}],"x":{"y":[1]}}`)
	qt.Assert(t, q.OutputTokens, qt.Equals, ident.Tokens(9))
	var got map[string]any
	qt.Assert(t, json.Unmarshal(q.Body, &got), qt.IsNil)
	qt.Assert(t, got, qt.DeepEquals, map[string]any{
		"model": "m", "temperature": 0.25, "max_tokens": 9.0, "stream": true,
		"stream_options": map[string]any{"include_usage": true},
		"messages":       []any{map[string]any{"role": "user", "content": "hi"}},
		"x":              map[string]any{"y": []any{1.0}},
	})
}

// TestNextTurnExtendsPrefix checks that the fingerprints of a chat's next turn
// begin with those of the previous turn.
func TestNextTurnExtendsPrefix(t *testing.T) {
	first := parseChat(t, `{"model":"m","messages":[{"role":"user","content":"`+strings.Repeat("a", 3000)+`"}]}`)
	second := parseChat(t, `{"model":"m","messages":[{"role":"user","content":"`+strings.Repeat("a", 3000)+`"},{"role":"assistant","content":"b"},{"role":"user","content":"c"}]}`)
	other := parseChat(t, `{"model":"m","messages":[{"role":"user","content":"b`+strings.Repeat("a", 3000)+`"}]}`)
	n := len(first.Prefix)
	qt.Assert(t, n > 5, qt.IsTrue)
	qt.Assert(t, second.Prefix[:n], qt.DeepEquals, first.Prefix)
	qt.Assert(t, other.Prefix[0], qt.Not(qt.Equals), first.Prefix[0])
	qt.Assert(t, first.Digest, qt.Not(qt.Equals), second.Digest)
}

// FuzzModel checks that no body makes the parser panic, that every refusal has the
// state not_run, and that the forwarded body is valid JSON.
func FuzzModel(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"hi"}],"max_tokens":5}`))
	f.Add([]byte(`{"model":"m","prompt":"x","stream":true}`))
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text"}]}],"n":null}`))
	f.Add([]byte(`{"model":`))
	f.Fuzz(func(t *testing.T, body []byte) {
		for _, form := range []Form{Chat, Completion} {
			q, refusal := ParseModel(httptest.NewRequest("POST", "/", bytes.NewReader(body)), form, testLimits, time.Unix(1000, 0))
			if refusal != nil {
				qt.Assert(t, refusal.RunState, qt.Equals, refuse.NotRun)
				continue
			}
			qt.Assert(t, json.Valid(q.Body), qt.IsTrue)
			qt.Assert(t, q.OutputTokens > 0 && q.PromptTokens > 0, qt.IsTrue)
		}
	})
}
