package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/version/config"
)

// TestResumptionsGoFirst replays callers who take up their streams while new requests ask for
// three times the account's limit. Refused as often as those, the streams would be lost; the
// account must still get no more than its limit and the tolerated tenth.
func TestResumptionsGoFirst(t *testing.T) {
	const (
		seed     = 20261204
		limit    = 100_000.0
		size     = 1000
		duration = 8 * time.Second
	)
	t.Logf("seed %d", seed)
	random := rand.New(rand.NewPCG(seed, 0))
	coordinator := Coordinator{}
	account := &config.Account{ID: "team/a", TokensPerSecond: limit}
	offered, admitted := [2]int{}, [2]int{}
	for at := time.Duration(0); at < duration; at += time.Duration(random.ExpFloat64() * size / (3.5 * limit) * float64(time.Second)) {
		kind := 0
		if random.IntN(7) == 0 {
			kind = 1
		}
		offered[kind]++
		result, _ := coordinator.Acquire(account, AcquireRequest{Tokens: size, IsResumption: kind == 1}, start.Add(at))
		if result == Admitted {
			admitted[kind]++
		}
	}
	t.Logf("new %d of %d, resumed %d of %d", admitted[0], offered[0], admitted[1], offered[1])
	qt.Check(t, float64(admitted[1]) >= 0.95*float64(offered[1]), qt.IsTrue)
	most := 1.1 * limit / size * (duration.Seconds() + 1)
	qt.Check(t, float64(admitted[0]+admitted[1]) <= most, qt.IsTrue, qt.Commentf("at most %.0f", most))
}
