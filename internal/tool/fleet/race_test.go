//go:build race

package fleet

import "runtime"

// The runtime lets all goroutines of a synctest bubble share one race context for their
// channel timers (runtime.timer.unlockAndRun in Go 1.26), which crashes the race detector
// when two threads use it at once. With one processor this cannot happen.
func init() { runtime.GOMAXPROCS(1) }
