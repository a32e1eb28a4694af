package fleet

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/stand/cloud"
	"goldcrestwick/internal/stand/engine"
)

// addressOf returns the address of an engine, as its entry states it.
func (p *proxyCase) addressOf(name string) string {
	address := fmt.Sprintf("10.0.%d.%d:80", len(p.engines)/250, 1+len(p.engines)%250)
	if e := p.engines[name]; e != nil {
		address, _ = e.entry["address"].(string)
	}
	p.hosts.Store(address, name+":80")
	return address
}

// hostOf returns the host and port of the engine with an address.
func (p *proxyCase) hostOf(address string) string {
	if host, ok := p.hosts.Load(address); ok {
		return fmt.Sprint(host)
	}
	p.strayDials.Add(1)
	return address
}

// onlyListed checks that no node has dialed another address than those of the engines, or sent a
// request to an engine under another name.
func (p *proxyCase) onlyListed([]string, map[string]string) {
	qt.Check(p.T, p.strayDials.Load(), qt.Equals, int64(0), qt.Commentf("%s: dials of addresses that no engine has", p.Position))
	for name, e := range p.engines {
		for _, r := range e.ReceivedRequests() {
			qt.Check(p.T, r.Header.Get(engine.ExpectInstanceHeader), qt.Equals, name, qt.Commentf(p.Position))
		}
	}
}

// malformedEntry writes an invalid endpoint entry: a text, or that of an engine with other fields.
func (p *proxyCase) malformedEntry(names []string, given map[string]string) {
	for _, name := range names {
		value := []byte(given["text"])
		if given["like"] != "" {
			value = p.changedEntry(given)
		}
		p.cloud.Apply(cloud.Transaction{Writes: []cloud.Write{{Table: "servers", Key: name, Value: value}}})
	}
}

func (p *proxyCase) changedEntry(given map[string]string) []byte {
	fields := map[string]json.RawMessage{}
	for name, value := range p.engines[given["like"]].entry {
		raw, err := json.Marshal(value)
		qt.Assert(p.T, err, qt.IsNil, qt.Commentf(p.Position))
		fields[name] = raw
	}
	for name, value := range given {
		fields[name] = json.RawMessage(value)
	}
	if depth := p.IntOption("nested", 0); depth > 0 {
		fields["nested"] = json.RawMessage(strings.Repeat("[", depth) + strings.Repeat("]", depth))
	}
	if length := p.IntOption("long", 0); length > 0 {
		fields["long"] = json.RawMessage(`"` + strings.Repeat("x", length) + `"`)
	}
	delete(fields, "like")
	var parts []string
	for name := range fields {
		parts = append(parts, fmt.Sprintf("%q:%s", name, fields[name]))
	}
	return []byte("{" + strings.Join(parts, ",") + "}")
}

// oddRows writes rows of another writer to tables, under keys of their own and, with key=, under
// one that the nodes use.
func (p *proxyCase) oddRows(tables []string, given map[string]string) {
	const large = "9223372036854775807"
	values := []string{
		"", "not JSON", "[]", "null", "5", "{\"written_unix_ms\":1e999}", strings.Repeat("[", 30000),
		`{"x":` + strings.Repeat("[", 9999) + strings.Repeat("]", 9999) + `}`, "\xff\xfe",
		`{"written_unix_ms":` + large + `,"until_unix_ms":` + large + `,"capacity":` + large + `}`,
		`{"written_unix_ms":-1,"crashes":[{"age_ms":` + large + `,"traits":["` + strings.Repeat("f", 17) + `"]}],"streams_by_release":{"":"\n"}}`,
		`{"releases":["v1"],"era":` + large + `,"serial":` + large + `,"complete_since_unix_ms":` + large + `}`,
		`{"peer_address":"n1:99999","caller_address":"","region":"r","capacity":-1,"availability_zone":null}`,
	}
	for _, table := range tables {
		for i, value := range values {
			key := fmt.Sprint("odd", i)
			if given["key"] != "" {
				key = given["key"]
			}
			p.cloud.Apply(cloud.Transaction{Writes: []cloud.Write{{Table: table, Key: key, Value: []byte(value)}}})
			if given["key"] != "" {
				time.Sleep(oddRowPause)
			}
		}
	}
}

// oddRowPause is the time for which a row has each odd value.
const oddRowPause = 300 * time.Millisecond
