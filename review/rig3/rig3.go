// Rig3 plays the cases of the third review. It starts entry nodes as processes with the command of
// the deploy file, and has stand-ins of its own for the platform's store, its runners and clients.
//
//	rig3 late-beat FOLDER
//	rig3 stale-nodes FOLDER
//
// FOLDER/record.txt gets what was sent, answered and run. The exit status is 0 if the rule held, 1
// if it was broken, and 2 if the case could not run. With TROUBLE=0 there is no disruption. It is run
// in the root of the repository, after the build of the deploy file.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// The exit statuses.
const (
	statusHeld = iota
	statusBroken
	statusNotRun
)

// maxTime bounds a case.
const maxTime = 115 * time.Second

var errUsage = errors.New("usage: rig3 late-beat|stale-nodes FOLDER")

func main() {
	status, err := run(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig3:", err) //nolint:errcheck // nothing else can be done.
	}
	os.Exit(status)
}

func run(args []string) (status int, err error) {
	if len(args) != 2 {
		return statusNotRun, errUsage
	}
	cases := map[string]func(*world) (bool, error){"late-beat": lateBeat, "stale-nodes": staleNodes}
	play := cases[args[0]]
	if play == nil {
		return statusNotRun, errUsage
	}
	record, err := newRecord(filepath.Join(args[1], "record.txt"))
	if err != nil {
		return statusNotRun, err
	}
	defer record.close()
	w, err := newWorld(record)
	if err != nil {
		return statusNotRun, err
	}
	defer w.close()
	watchdog := time.AfterFunc(maxTime, func() {
		w.close()
		record.note("the case took more than %v", maxTime)
		os.Exit(statusNotRun)
	})
	defer watchdog.Stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		w.close()
		os.Exit(statusNotRun)
	}()
	held, err := play(w)
	switch {
	case err != nil:
		record.note("could not run: %v", err)
		return statusNotRun, err
	case !held:
		record.note("BROKEN")
		return statusBroken, nil
	}
	record.note("HELD")
	return statusHeld, nil
}
