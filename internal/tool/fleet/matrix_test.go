package fleet

import (
	"bufio"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

var (
	pairSeed  = flag.Uint64("pairs.seed", 20261204, "seed of the random pairs of faults")
	pairCount = flag.Int("pairs", 60, "number of random pairs of faults")
)

// matrixRow is one line of the fault matrix.
type matrixRow struct {
	fault        string
	mustComplete bool
	steps        []string
}

func readMatrix(t *testing.T) []matrixRow {
	f, err := os.Open("testdata/matrix.txt")
	qt.Assert(t, err, qt.IsNil)
	defer f.Close() //nolint:errcheck // the file is only read.
	var rows []matrixRow
	for lines := bufio.NewScanner(f); lines.Scan(); {
		line, _, _ := strings.Cut(lines.Text(), "#")
		if words := strings.Fields(line); len(words) > 2 {
			qt.Assert(t, faults[words[0]], qt.IsNotNil, qt.Commentf(words[0]))
			rows = append(rows, matrixRow{words[0], words[1] == "complete", words[2:]})
		}
	}
	qt.Assert(t, len(rows) > 0, qt.IsTrue)
	return rows
}

var requestKinds = []string{"chat", "keyed_chat", "booking"}

// hasStep reports whether a kind of request has a step: only requests with an
// idempotency key are claimed, and a service's answer has no tokens.
func hasStep(kind, step string) bool {
	switch step {
	case "claim":
		return kind != "chat"
	case "first_byte", "mid_stream", "last_byte":
		return kind != "booking"
	default:
		return true
	}
}

// TestFaultMatrix injects each fault at the steps that its line of the matrix lists,
// for every kind of request that has the step, and checks the answers and the number of runs. It prints a table of the results.
func TestFaultMatrix(t *testing.T) {
	for _, r := range readMatrix(t) {
		t.Run(r.fault, func(t *testing.T) {
			line := make([]string, 0, len(r.steps))
			for _, step := range r.steps {
				ok := true
				for _, kind := range requestKinds {
					if !hasStep(kind, step) {
						continue
					}
					ok = t.Run(step+"/"+kind, func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) { runCase(t, kind, r.mustComplete, injection{r.fault, step}) })
					}) && ok
				}
				line = append(line, step+":"+map[bool]string{true: "pass", false: "FAIL"}[ok])
			}
			fmt.Printf("%-20s %s\n", r.fault, strings.Join(line, " "))
		})
	}
}

// TestFaultPairs injects random pairs of faults, each at a random step. The first
// row of the matrix, which is no fault, is left out.
func TestFaultPairs(t *testing.T) {
	fmt.Println("pairs.seed", *pairSeed)
	random := rand.New(rand.NewPCG(*pairSeed, 0)) //nolint:gosec // the test must be reproducible.
	rows := readMatrix(t)
	randomInjection := func() (injection, string) {
		r := rows[1+random.IntN(len(rows)-1)]
		kind := requestKinds[random.IntN(len(requestKinds))]
		steps := slices.DeleteFunc(slices.Clone(r.steps), func(s string) bool { return !hasStep(kind, s) })
		return injection{r.fault, steps[random.IntN(len(steps))]}, kind
	}
	for range *pairCount {
		first, kind := randomInjection()
		second, _ := randomInjection()
		if !hasStep(kind, second.step) {
			second.step = "dispatch"
		}
		t.Run(fmt.Sprintf("%s@%s+%s@%s/%s", first.fault, first.step, second.fault, second.step, kind), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runCase(t, kind, false, first, second) })
		})
	}
}

// runCase starts a fleet, sends one request while it injects the faults, retries
// it as a caller would, and checks the results. With mustComplete set, the first
// attempt must get its complete answer.
func runCase(t *testing.T, kind string, mustComplete bool, injections ...injection) {
	c := newCase(t, kind, injections)
	defer c.stop()
	attempts := []attempt{c.sendSubject(0)}
	if mustComplete {
		qt.Assert(t, attempts[0].complete, qt.IsTrue, qt.Commentf("not complete: %+v; %s", attempts[0], c.describe()))
	}
	for number := 1; number < 4 && !attempts[len(attempts)-1].complete; number++ {
		time.Sleep(5 * time.Second)
		if kind == "chat" && attempts[len(attempts)-1].run != "not_run" {
			break
		}
		attempts = append(attempts, c.sendSubject(number))
	}
	time.Sleep(20 * time.Second)
	c.checkInvariants(attempts)
}
