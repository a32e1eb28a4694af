package fleet

import (
	"io"
	"log"
)

// discardLogger returns a logger that discards its output. It is the error log of
// servers whose connections are interrupted on purpose.
func discardLogger() *log.Logger { return log.New(io.Discard, "", 0) }
