package soak

import (
	"fmt"
	"strings"

	"goldcrestwick/internal/stand/cloud"
)

// writeOddEntries writes entries of another writer among those of the endpoints: nested deeply,
// with a number too large, or a port out of range. Those with an address name an endpoint's.
func (w *world) writeOddEntries() {
	address := w.models[0].listener.Addr().String()
	sound := `{"service":"llm","address":"` + address + `","zone":"z","version":"v1","slots":6,"state":"ready","cold_left_ms":0,"seq":1`
	for i, text := range []string{
		sound + `,"nested":` + strings.Repeat("[", 9999) + strings.Repeat("]", 9999) + `}`,
		sound + `,"nested":` + strings.Repeat(`{"a":`, 11000),
		strings.Replace(sound, `"slots":6`, `"slots":9223372036854775807`, 1) + `}`,
		strings.Replace(sound, `"slots":6`, `"slots":1e999`, 1) + `}`,
		strings.Replace(sound, `"seq":1`, `"seq":1e999`, 1) + `}`,
		strings.Replace(sound, address, "127.0.0.1:65536", 1) + `}`,
		strings.Replace(sound, address, "localhost:0", 1) + `}`,
		strings.Replace(sound, `"zone":"z"`, `"zone":null`, 1) + `}`,
		sound + `,"long":"` + strings.Repeat("x", 60000) + `"}`, "", "\xff",
	} {
		w.cloud.Apply(cloud.Transaction{Writes: []cloud.Write{{Table: "servers", Key: fmt.Sprint("odd", i), Value: []byte(text)}}})
	}
}
