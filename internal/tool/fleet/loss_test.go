package fleet

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/stand/cloud"
)

// revive starts nodes again that were killed, at the same moment.
func (p *proxyCase) revive(names []string, _ map[string]string) {
	for _, name := range names {
		p.net.Revive(name)
		p.startNode(name)
	}
}

// unmark makes the rows in the store those that a version without marks of tables leaves.
func (p *proxyCase) unmark([]string, map[string]string) {
	for key := range p.cloud.Rows("releases") {
		if strings.HasPrefix(key, "|") {
			p.cloud.Apply(cloud.Transaction{Writes: []cloud.Write{{Table: "releases", Key: key}}})
		}
	}
	for key, value := range p.cloud.Rows("nodes") {
		row := map[string]any{}
		qt.Assert(p.T, json.Unmarshal(value, &row), qt.IsNil, qt.Commentf("%s: %s", p.Position, key))
		delete(row, "schema")
		p.putRow("nodes", key, row)
	}
}

// unreadable makes the store refuse reads of tables, and with writes=down all writes.
func (p *proxyCase) unreadable(names []string, given map[string]string) {
	p.cloud.SetFault(func(op cloud.Op) cloud.Fault {
		return cloud.Fault{Unavailable: slices.Contains(names, op.Table) || op.IsWrite && given["writes"] == "down"}
	})
}

// failWrites injects a fault into the writes of the store only.
func (p *proxyCase) failWrites(names []string, _ map[string]string) {
	fault, ok := storeFaults[names[0]]
	qt.Assert(p.T, ok, qt.IsTrue, qt.Commentf(p.Position))
	p.cloud.SetFault(func(op cloud.Op) cloud.Fault {
		if op.IsWrite {
			return fault
		}
		return cloud.Fault{}
	})
}

// checkRows checks the number of rows of a table, and that one of them has a text.
func (p *proxyCase) checkRows(names []string, given map[string]string) {
	rows := p.cloud.Rows(names[0])
	comment := qt.Commentf("%s: %d rows", p.Position, len(rows))
	if given["at_most"] != "" {
		qt.Check(p.T, len(rows) <= p.IntOption("at_most", 0), qt.IsTrue, comment)
	}
	qt.Check(p.T, len(rows) >= p.IntOption("at_least", 0), qt.IsTrue, comment)
	if given["crashes_at_least"] != "" || given["crashes_at_most"] != "" || given["traits_at_most"] != "" {
		p.checkRowCrashes(rows, given)
	}
	if given["has"] == "" {
		return
	}
	hasText := false
	for _, value := range rows {
		hasText = hasText || strings.Contains(string(value), given["has"])
	}
	qt.Check(p.T, hasText, qt.IsTrue, comment)
}

// checkRowCrashes checks the number of crashes in rows, and of the traits of each.
func (p *proxyCase) checkRowCrashes(rows map[string][]byte, given map[string]string) {
	crashes := 0
	for key, value := range rows {
		var row struct {
			Crashes []struct{ Traits []string }
		}
		qt.Check(p.T, json.Unmarshal(value, &row), qt.IsNil, qt.Commentf("%s: %s", p.Position, key))
		crashes += len(row.Crashes)
		for _, c := range row.Crashes {
			isBounded := given["traits_at_most"] == "" || len(c.Traits) <= p.IntOption("traits_at_most", 0)
			qt.Check(p.T, isBounded, qt.IsTrue, qt.Commentf("%s: %s has %d traits", p.Position, key, len(c.Traits)))
		}
	}
	comment := qt.Commentf("%s: %d crashes", p.Position, crashes)
	qt.Check(p.T, crashes >= p.IntOption("crashes_at_least", 0), qt.IsTrue, comment)
	isBounded := given["crashes_at_most"] == "" || crashes <= p.IntOption("crashes_at_most", 0)
	qt.Check(p.T, isBounded, qt.IsTrue, comment)
}

// checkCounted checks the sum of the metrics of all nodes whose names have a text.
func (p *proxyCase) checkCounted(names []string, given map[string]string) {
	sum := 0.0
	for _, n := range p.nodes {
		var b strings.Builder
		n.WriteMetrics(&b)
		for line := range strings.Lines(b.String()) {
			name, value, _ := strings.Cut(strings.TrimSpace(line), " ")
			isCounted := strings.Contains(name, names[0])
			for label, want := range given {
				isCounted = isCounted && (label == "at_least" || strings.Contains(name, label+`="`+want+`"`))
			}
			if v, err := strconv.ParseFloat(value, 64); err == nil && isCounted {
				sum += v
			}
		}
	}
	qt.Check(p.T, sum >= float64(p.IntOption("at_least", 0)), qt.IsTrue, qt.Commentf("%s: %v", p.Position, sum))
}
