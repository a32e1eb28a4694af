package fleet

import (
	"io"
	"log"
)

// discardLogger returns the error log of servers whose connections are
// interrupted on purpose.
func discardLogger() *log.Logger { return log.New(io.Discard, "", 0) }
