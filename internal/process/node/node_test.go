package node

import (
	"io"
	"testing"
	"testing/synctest"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/process/store"
	"goldcrestwick/internal/version/config"
)

// TestStopBeforeStart checks that a node whose process gets TERM before it has joined the
// fleet stops.
func TestStopBeforeStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &Node{
			Process: config.Process{Name: "n0"}, Tree: &config.Tree{}, Store: &store.Client{}, Log: log.New(io.Discard),
		}
		n.Prepare(&link.Mux{}, nil)
		n.Leave()
		n.Stop()
		qt.Check(t, n.isReady(), qt.IsFalse)
	})
}
