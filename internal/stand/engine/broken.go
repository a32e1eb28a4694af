package engine

import (
	"fmt"
	"net"

	"goldcrestwick/internal/stand/broken"
)

// writeBroken sends an answer of package broken and reports whether it keeps the connection open.
func (e *Engine) writeBroken(c net.Conn, id string, b Behaviour) bool {
	a, ok := broken.Find(b.Broken)
	if !ok {
		panic("no answer of package broken is named " + b.Broken)
	}
	fields := fmt.Sprintf("%s%s: %s.%s\r\n", b.idHeader(id), ServerStampHeader, e.ID, id)
	return send(c, a.Text(fields, b.Body)) && a.KeepsOpen
}
