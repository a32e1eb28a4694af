package fleet

import (
	"io"
	"log"
)

// quiet is the error log of servers whose connections are cut on purpose.
func quiet() *log.Logger { return log.New(io.Discard, "", 0) }
