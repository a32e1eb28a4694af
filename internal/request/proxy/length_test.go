package proxy

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/version/config"
)

// TestOutputOfTakenUpStream guards against streams that are refused since no endpoint could
// generate their whole answer by the deadline, although their callers have most of it.
func TestOutputOfTakenUpStream(t *testing.T) {
	for _, c := range []struct {
		hint        ident.Tokens
		lastEventID int
		want        ident.Tokens
	}{
		{hint: 300, want: 300},
		{hint: 300, lastEventID: 20, want: 180},
		{hint: 300, lastEventID: 60, want: 75},
		{hint: 300, lastEventID: math.MaxInt, want: 75},
	} {
		r := &Request{
			Route: &config.Route{Name: "chat"},
			Pool:  &config.Pool{Kind: ident.ModelRunner, TokensPerEvent: 6},
			Info:  RequestInfo{LengthHint: c.hint, LastEventID: c.lastEventID},
		}
		qt.Check(t, (&lengthEstimator{}).estimate(r), qt.Equals, c.want, qt.Commentf("%+v", c))
	}
}
