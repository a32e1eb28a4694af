package soak

import (
	"fmt"
	"strings"

	"goldcrestwick/internal/stand/cloud"
)

// oddEntries returns entries of another writer: nested deeply, with a number too large, or a port
// out of range. Those with an address name a model's.
func (w *world) oddEntries() []string {
	address := w.models[0].address
	sound := `{"service":"llm","address":"` + address + `","zone":"z","version":"v1","slots":6,"state":"ready","cold_left_ms":0,"seq":1`
	return []string{
		sound + `,"nested":` + strings.Repeat("[", 9999) + strings.Repeat("]", 9999) + `}`,
		sound + `,"nested":` + strings.Repeat(`{"a":`, 11000),
		strings.Replace(sound, `"slots":6`, `"slots":9223372036854775807`, 1) + `}`,
		strings.Replace(sound, `"slots":6`, `"slots":-9223372036854775808`, 1) + `}`,
		strings.Replace(sound, `"slots":6`, `"slots":1e999`, 1) + `}`,
		strings.Replace(sound, `"seq":1`, `"seq":1e999`, 1) + `}`,
		sound + `,"born":1e300}`,
		strings.Replace(sound, address, "127.0.0.1:65536", 1) + `}`,
		strings.Replace(sound, address, "127.0.0.1:-1", 1) + `}`,
		strings.Replace(sound, address, "localhost:0", 1) + `}`,
		strings.Replace(sound, `"zone":"z"`, `"zone":null`, 1) + `}`,
		strings.Replace(sound, `"service":"llm"`, `"service":7`, 1) + `}`,
		sound + `,"long":"` + strings.Repeat("x", 60000) + `"`, "", "null", `""`, "\xff",
	}
}

// writeOddEntries writes the odd entries among those of the endpoints.
func (w *world) writeOddEntries() {
	for i, text := range w.oddEntries() {
		w.cloud.Apply(cloud.Transaction{Writes: []cloud.Write{{Table: "servers", Key: fmt.Sprint("odd", i), Value: []byte(text)}}})
	}
}
