package detour

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/connection/wire"
	"goldcrestwick/internal/request/proxy"
	"goldcrestwick/internal/version/config"
)

// TestBrokenHead checks that no head of an answer reaches a caller through another node, perhaps one of an
// earlier build, that could not be read from an endpoint here.
func TestBrokenHead(t *testing.T) {
	for name, test := range map[string]struct {
		head    wire.DetourHead
		isSound bool
	}{
		"sound":         {wire.DetourHead{Status: 200, Header: http.Header{"X-Other": {"\u00e9"}}}, true},
		"not_modified":  {wire.DetourHead{Status: 304}, true},
		"failure":       {wire.DetourHead{Status: 599}, true},
		"status_000":    {wire.DetourHead{}, false},
		"status_101":    {wire.DetourHead{Status: 101}, false},
		"status_103":    {wire.DetourHead{Status: 103}, false},
		"status_600":    {wire.DetourHead{Status: 600}, false},
		"status_1000":   {wire.DetourHead{Status: 1000}, false},
		"name_blank":    {wire.DetourHead{Status: 200, Header: http.Header{"Content-Length ": {"5"}}}, false},
		"name_empty":    {wire.DetourHead{Status: 200, Header: http.Header{"": {"5"}}}, false},
		"value_control": {wire.DetourHead{Status: 200, Header: http.Header{"X-Other": {"a\nb"}}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				near, far := net.Pipe()
				defer near.Close() //nolint:errcheck // the test is over.
				go func() {
					stream := link.NewStream(far)
					stream.Send(wire.KindDetourHead, test.head)                             //nolint:errcheck // the other side notices.
					stream.Send(wire.KindDetourData, wire.DetourData{Data: []byte("part")}) //nolint:errcheck // the other side notices.
					far.Close()                                                             //nolint:errcheck // the other side notices.
				}()
				w := httptest.NewRecorder()
				e := &exchange{request: &proxy.Request{Route: &config.Route{}}, w: w}
				_, _, err := e.receive(link.NewStream(near))
				qt.Check(t, err, qt.IsNotNil)
				qt.Check(t, e.hasAttempt.Load(), qt.IsTrue)
				qt.Check(t, e.hasHead, qt.Equals, test.isSound)
				qt.Check(t, w.Body.Len() > 0, qt.Equals, test.isSound)
			})
		})
	}
}
