package admit

import (
	"flag"
	"testing"

	"goldcrestwick/internal/stand/seeds"
)

// The searches are larger than rapid's defaults of 100 searches of about 30 steps, which
// reach few openings whose messages arrive after a later closure.
const (
	searches = "1000"
	steps    = "100"
)

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.checks": searches, "rapid.steps": steps} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	seeds.Main(m)
}
