package proxy

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/version/config"
)

// TestFingerprint checks that a request which comes again has the same fingerprint, and one
// that differs in any field has another.
func TestFingerprint(t *testing.T) {
	request := func() *Request {
		return &Request{
			ID: "one", Account: &config.Account{ID: "team/a"}, Method: "POST", Host: "h", Target: "/p/1?q=2", Body: []byte("body"),
		}
	}
	again := request()
	again.ID, again.Info.AttemptID = "two", "two"
	qt.Check(t, again.Fingerprint(), qt.Equals, request().Fingerprint())
	seen := map[ident.Trait]bool{request().Fingerprint(): true}
	for _, change := range []func(*Request){
		func(r *Request) { r.Account = nil },
		func(r *Request) { r.Account = &config.Account{ID: "team/b"} },
		func(r *Request) { r.Method = "PUT" },
		func(r *Request) { r.Host = "g" },
		func(r *Request) { r.Target = "/p/1?q=3" },
		func(r *Request) { r.Body = []byte("other") },
		func(r *Request) { r.Body = nil },
		func(r *Request) { r.Host, r.Target = "h/p", "/1?q=2" },
		func(r *Request) { r.Target, r.Body = "/p/1?q=2b", []byte("ody") },
	} {
		r := request()
		change(r)
		qt.Check(t, seen[r.Fingerprint()], qt.IsFalse, qt.Commentf("%+v", r))
		seen[r.Fingerprint()] = true
	}
}
