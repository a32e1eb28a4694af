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
	pairSeed  = flag.Uint64("pairs.seed", 20261204, "seed that draws pairs of faults")
	pairCount = flag.Int("pairs", 60, "number of pairs of faults drawn")
)

// row is one line of the fault matrix.
type row struct {
	fault string
	whole bool
	steps []string
}

func readMatrix(t *testing.T) []row {
	f, err := os.Open("testdata/matrix.txt")
	qt.Assert(t, err, qt.IsNil)
	defer f.Close() //nolint:errcheck // only read.
	var rows []row
	for lines := bufio.NewScanner(f); lines.Scan(); {
		line, _, _ := strings.Cut(lines.Text(), "#")
		if words := strings.Fields(line); len(words) > 2 {
			qt.Assert(t, faults[words[0]], qt.IsNotNil, qt.Commentf(words[0]))
			rows = append(rows, row{words[0], words[1] == "whole", words[2:]})
		}
	}
	qt.Assert(t, len(rows) > 0, qt.IsTrue)
	return rows
}

var kinds = []string{"chat", "keyed_chat", "booking"}

// happens reports whether a kind of request has a step: only keyed requests
// are claimed, and a service's answer has no tokens.
func happens(kind, step string) bool {
	switch step {
	case "claim":
		return kind != "chat"
	case "first_byte", "mid_stream", "last_byte":
		return kind != "booking"
	default:
		return true
	}
}

// TestFaultMatrix brings about every fault at every step of every kind of
// request and checks all promises. It prints the table.
func TestFaultMatrix(t *testing.T) {
	for _, r := range readMatrix(t) {
		t.Run(r.fault, func(t *testing.T) {
			line := make([]string, 0, len(r.steps))
			for _, step := range r.steps {
				ok := true
				for _, kind := range kinds {
					if !happens(kind, step) {
						continue
					}
					ok = t.Run(step+"/"+kind, func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) { runCase(t, kind, r.whole, injection{r.fault, step}) })
					}) && ok
				}
				line = append(line, step+":"+map[bool]string{true: "pass", false: "FAIL"}[ok])
			}
			fmt.Printf("%-20s %s\n", r.fault, strings.Join(line, " "))
		})
	}
}

// TestFaultPairs draws pairs of faults, each at a step of its own.
func TestFaultPairs(t *testing.T) {
	fmt.Println("pairs.seed", *pairSeed)
	random := rand.New(rand.NewPCG(*pairSeed, 0)) //nolint:gosec // a test must be repeatable.
	rows := readMatrix(t)
	draw := func() (injection, string) {
		r := rows[1+random.IntN(len(rows)-1)]
		kind := kinds[random.IntN(len(kinds))]
		steps := slices.DeleteFunc(slices.Clone(r.steps), func(s string) bool { return !happens(kind, s) })
		return injection{r.fault, steps[random.IntN(len(steps))]}, kind
	}
	for range *pairCount {
		first, kind := draw()
		second, _ := draw()
		if !happens(kind, second.step) {
			second.step = "dispatch"
		}
		t.Run(fmt.Sprintf("%s@%s+%s@%s/%s", first.fault, first.step, second.fault, second.step, kind), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runCase(t, kind, false, first, second) })
		})
	}
}

// runCase starts a fleet, sends one request with the faults, tries it again
// where a caller would, and checks the promises.
func runCase(t *testing.T, kind string, whole bool, injections ...injection) {
	c := newCase(t, kind, injections)
	defer c.stop()
	tries := []attempt{c.send(0)}
	if whole {
		qt.Assert(t, tries[0].whole, qt.IsTrue, qt.Commentf("the answer: %+v; %s", tries[0], c.story()))
	}
	for try := 1; try < 4 && !tries[len(tries)-1].whole; try++ {
		time.Sleep(5 * time.Second)
		if kind == "chat" && tries[len(tries)-1].run != "not_run" {
			break
		}
		tries = append(tries, c.send(try))
	}
	time.Sleep(20 * time.Second)
	c.check(tries)
}
