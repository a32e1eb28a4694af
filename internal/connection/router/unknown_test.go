package router

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/process/meter"
	"goldcrestwick/internal/request/proxy"
	"goldcrestwick/internal/version/config"
)

// TestUnknownLinesAreBounded guards against clients without a key that write the log full.
func TestUnknownLinesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		rt := &Router{
			Tree: func() *config.Tree { return &config.Tree{} }, Meter: &meter.Meter{}, Log: log.New(&out),
			DecodeRequest: func(http.Header) (proxy.RequestInfo, error) { return proxy.RequestInfo{}, nil },
		}
		rt.Server()
		send := func() {
			rt.ServeHTTP(httptest.NewRecorder(), httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/", nil))
		}
		for range 5000 {
			send()
		}
		qt.Check(t, strings.Count(out.String(), "request_refused"), qt.Equals, unknownLinesBurst)
		time.Sleep(time.Second)
		out.Reset()
		send()
		qt.Check(t, out.String(), qt.Contains, "lines_left_out=4800")
	})
}
