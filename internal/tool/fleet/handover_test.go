package fleet

import (
	"strconv"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/version/config"
)

// setTolerance sets what is tolerated above the limits of accounts for the nodes that start.
func (p *proxyCase) setTolerance(_ []string, given map[string]string) {
	over, err := strconv.ParseFloat(given["over"], 64)
	qt.Assert(p.T, err, qt.IsNil, qt.Commentf(p.Position))
	p.bounds.LimitTolerance = config.LimitTolerance{Over: over, Slack: float64(p.IntOption("slack", 0)), Window: p.ParseDuration(given["window"])}
}
