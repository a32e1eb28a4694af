// Package seeds fixes the seed of property-based tests (pgregory.net/rapid), so
// that every run gives the same result.
//
// # Usage
//
//	func TestMain(m *testing.M) { seeds.Main(m) }
package seeds

import (
	"flag"
	"fmt"
	"os"
)

const (
	defaultSeed = "20261204"
	seedFlag    = "rapid.seed"
)

// Main runs the tests of a package with a fixed seed, which it prints, and exits.
// The flag -rapid.seed sets another seed. The tests must import rapid, which defines
// the flag; otherwise Main panics. Main also makes rapid write no files for failed
// tests.
func Main(m interface{ Run() int }) {
	flag.Parse()
	seed := flag.Lookup(seedFlag)
	if seed.Value.String() == "0" {
		setFlag(seedFlag, defaultSeed)
	}
	setFlag("rapid.nofailfile", "true")
	fmt.Println(seedFlag, seed.Value)
	os.Exit(m.Run())
}

func setFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
