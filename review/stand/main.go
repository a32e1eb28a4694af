// Command stand plays the cases of the review: it starts the project's own program as node processes, with
// the command of the deploy file, a stand-in of the platform's store, stand-in runners and clients, all
// on loopback addresses and the real clock.
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run. With
// TROUBLE=0 it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// The exit codes of a case.
const (
	held     = 0
	broken   = 1
	unplayed = 2
)

// cases holds the cases by the name of their folder's subject. Each reports whether its rule was broken.
var cases = map[string]func(*world) (isBroken bool, err error){
	"tokens": playTokens,
	"drain":  playDrain,
	"stale":  playStale,
}

func main() { os.Exit(play(os.Args[1:])) }

// play plays the case args[0] and writes its record to the folder args[1].
func play(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-stand CASE FOLDER")
		return unplayed
	}
	record, err := os.Create(filepath.Join(args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unplayed
	}
	defer record.Close() //nolint:errcheck // the record is complete.
	w, err := newWorld(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unplayed
	}
	defer w.close()
	isBroken, err := cases[args[0]](w)
	switch {
	case err != nil:
		w.note("could not run: %v", err)
		return unplayed
	case isBroken:
		w.note("verdict: the rule was broken")
		return broken
	}
	w.note("verdict: the rule held")
	return held
}
