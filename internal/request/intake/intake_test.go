package intake

import (
	"bytes"
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/request/ident"
	"goldcrestwick/internal/request/refuse"
	"goldcrestwick/internal/version/config"
)

var limits = config.Limits{BodyBytes: 1 << 20, Deadline: time.Minute, MaxDeadline: time.Hour}

func chat(t *testing.T, body string) *Request {
	r := httptest.NewRequest("POST", "/", strings.NewReader(body))
	q, refusal := Model(r, Chat, limits, time.Unix(1000, 0))
	qt.Assert(t, refusal == nil, qt.IsTrue, qt.Commentf("%v", refusal))
	return q
}

// TestForward checks what an endpoint gets: always a stream with token counts,
// and everything else as the caller sent it.
func TestForward(t *testing.T) {
	q := chat(t, `{"model":"m","temperature":0.25,"max_completion_tokens":9,"messages":[{"role":"user","content":"hi"}],"x":{"y":[1]}}`)
	qt.Assert(t, q.Output, qt.Equals, ident.Tokens(9))
	var got map[string]any
	qt.Assert(t, json.Unmarshal(q.Body, &got), qt.IsNil)
	qt.Assert(t, got, qt.DeepEquals, map[string]any{
		"model": "m", "temperature": 0.25, "max_tokens": 9.0, "stream": true,
		"stream_options": map[string]any{"include_usage": true},
		"messages":       []any{map[string]any{"role": "user", "content": "hi"}},
		"x":              map[string]any{"y": []any{1.0}},
	})
}

// TestPrefix checks that a chat's next turn begins with the fingerprints of
// the turn before.
func TestPrefix(t *testing.T) {
	first := chat(t, `{"model":"m","messages":[{"role":"user","content":"`+strings.Repeat("a", 3000)+`"}]}`)
	second := chat(t, `{"model":"m","messages":[{"role":"user","content":"`+strings.Repeat("a", 3000)+`"},{"role":"assistant","content":"b"},{"role":"user","content":"c"}]}`)
	other := chat(t, `{"model":"m","messages":[{"role":"user","content":"b`+strings.Repeat("a", 3000)+`"}]}`)
	n := len(first.Prefix)
	qt.Assert(t, n > 5, qt.IsTrue)
	qt.Assert(t, second.Prefix[:n], qt.DeepEquals, first.Prefix)
	qt.Assert(t, other.Prefix[0], qt.Not(qt.Equals), first.Prefix[0])
	qt.Assert(t, first.Digest, qt.Not(qt.Equals), second.Digest)
}

// FuzzModel checks that no body makes the reader panic, that a refusal says
// not_run, and that an accepted body is forwarded as JSON.
func FuzzModel(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"hi"}],"max_tokens":5}`))
	f.Add([]byte(`{"model":"m","prompt":"x","stream":true}`))
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text"}]}],"n":null}`))
	f.Add([]byte(`{"model":`))
	f.Fuzz(func(t *testing.T, body []byte) {
		for _, form := range []Form{Chat, Completion} {
			q, refusal := Model(httptest.NewRequest("POST", "/", bytes.NewReader(body)), form, limits, time.Unix(1000, 0))
			if refusal != nil {
				qt.Assert(t, refusal.Run, qt.Equals, refuse.NotRun)
				continue
			}
			qt.Assert(t, json.Valid(q.Body), qt.IsTrue)
			qt.Assert(t, q.Output > 0 && q.Prompt > 0, qt.IsTrue)
		}
	})
}
