package reach

import (
	"context"
	"fmt"
	"iter"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rotisserie/eris"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/stand/script"
)

var errUnreachable = eris.New("unreachable")

// TestScripts runs the scripts of testdata:
//
//	endpoints N                 sets the number of endpoints, e0 and so on
//	unreachable N hang=yes      makes the last N of them refuse or ignore dials
//	fail ENDPOINT...            records that endpoints did not answer
//	undialed ENDPOINT...        records that endpoints could not be dialed
//	answered | dialed | heard   records a success
//	begin | end                 begins or ends an exchange
//	wait T                      sleeps for a duration
//	suspect is=no | lost is=no  checks the state
//	changes N                   checks how often the path was lost or regained
//	dials at_most=N             bounds the dials since the last such line
func TestScripts(t *testing.T) {
	script.Run(t, "testdata/*.script", runScript)
}

func runScript(t *testing.T, lines iter.Seq[script.Line]) {
	var mu sync.Mutex
	endpoints, unreachable, hangs, changes, dials := 0, 0, false, 0, 0
	m := &Monitor{
		Addresses: func() []string {
			mu.Lock()
			defer mu.Unlock()
			var all []string
			for i := range endpoints {
				all = append(all, fmt.Sprintf("%04d", i))
			}
			return all
		},
		Dial: func(ctx context.Context, address string) error {
			mu.Lock()
			dials++
			isReached, isHanging := address < fmt.Sprintf("%04d", endpoints-unreachable), hangs
			mu.Unlock()
			if isReached {
				return nil
			}
			if isHanging {
				<-ctx.Done()
			}
			return errUnreachable
		},
		Changed: func(bool) {
			mu.Lock()
			defer mu.Unlock()
			changes++
		},
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.Run(ctx)
	}()
	var ends []func()
	for line := range lines {
		comment := qt.Commentf(line.Position)
		want := line.Options["is"] != "no"
		switch line.Command {
		case "endpoints":
			mu.Lock()
			endpoints = line.ParseInt(line.Operands[0])
			mu.Unlock()
		case "unreachable":
			mu.Lock()
			unreachable, hangs = line.ParseInt(line.Operands[0]), line.Options["hang"] == "yes"
			mu.Unlock()
		case "fail":
			for _, id := range line.Operands {
				m.Failed(ident.Endpoint(id))
			}
		case "undialed":
			for _, id := range line.Operands {
				m.DialFailed(ident.Endpoint(id))
			}
		case "answered":
			m.Answered()
		case "dialed":
			m.Dialed()
		case "heard":
			m.Heard()
		case "begin":
			ends = append(ends, m.Begin())
		case "end":
			ends[0]()
			ends = ends[1:]
		case "wait":
			time.Sleep(line.ParseDuration(line.Operands[0]))
			synctest.Wait()
		case "suspect":
			qt.Check(t, m.IsSuspect(), qt.Equals, want, comment)
		case "lost":
			qt.Check(t, m.IsLost(), qt.Equals, want, comment)
		case "changes":
			mu.Lock()
			qt.Check(t, changes, qt.Equals, line.ParseInt(line.Operands[0]), comment)
			mu.Unlock()
		case "dials":
			mu.Lock()
			qt.Check(t, dials <= line.IntOption("at_most", 0), qt.IsTrue, qt.Commentf("%s: %d", line.Position, dials))
			dials = 0
			mu.Unlock()
		default:
			t.Fatalf("%s: unknown command %s", line.Position, strings.Join(line.Args, " "))
		}
	}
	cancel()
	<-done
}
