package node

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/process/canary"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/origin"
	"goldcrestwick/internal/process/poison"
	"goldcrestwick/internal/process/store"
	"goldcrestwick/internal/version/config"
)

// rowDecoders decode the rows of this program's tables as nodes do.
var rowDecoders = map[string]func([]byte) (any, error){
	"nodes": decodeAs[nodeRow], "quarantine": decodeAs[quarantineRow], "marks": decodeAs[tableMark],
	"origins": decodeAs[originRow], "rollouts": decodeAs[rolloutRow],
	"routes":   func(value []byte) (any, error) { return decodeRoutesRow(store.Row{Version: 1, Value: value}) },
	"releases": func(value []byte) (any, error) { return decodeReleaseRow(store.Row{Version: 1, Value: value}) },
	"crashes": func(value []byte) (any, error) {
		report, _, err := decodeCrashRow("p", value, time.UnixMilli(1_800_000_000_000))
		return report, err
	},
}

func decodeAs[T any](value []byte) (any, error) {
	var row T
	err := json.Unmarshal(value, &row)
	return row, err
}

// TestRowsOfOtherBuilds guards against rows in the store that a node cannot use since another
// build wrote them, with fields that this one does not know or without some that it has.
func TestRowsOfOtherBuilds(t *testing.T) {
	text, err := os.ReadFile("testdata/rows.txt")
	qt.Assert(t, err, qt.IsNil)
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		parts := strings.SplitN(strings.TrimSpace(line), " ", 3)
		comment, decode := qt.Commentf("%s", line), rowDecoders[parts[1]]
		row, err := decode([]byte(parts[2]))
		qt.Assert(t, err, qt.IsNil, comment)

		fields := func() map[string]any {
			var fields map[string]any
			qt.Assert(t, json.Unmarshal([]byte(parts[2]), &fields), qt.IsNil, comment)
			return fields
		}
		later := fields()
		later["new_text"], later["new_list"] = "x", []any{map[string]any{"deep": []any{1.5, nil}}}
		again, err := decode(encodeJSON(t, later))
		qt.Check(t, err, qt.IsNil, comment)
		qt.Check(t, again, qt.DeepEquals, row, comment)
		for name := range fields() {
			earlier := fields()
			delete(earlier, name)
			_, err := decode(encodeJSON(t, earlier))
			qt.Check(t, err, qt.IsNil, qt.Commentf("%s without %s", line, name))
		}
	}
}

func encodeJSON(t *testing.T, value any) []byte {
	raw, err := json.Marshal(value)
	qt.Assert(t, err, qt.IsNil)
	return raw
}

// TestMeaningOfOtherBuilds guards against fields that are missing, or values that are not known
// yet, which are taken for something that another build did not mean.
func TestMeaningOfOtherBuilds(t *testing.T) {
	row, err := decodeReleaseRow(store.Row{Version: 1, Value: []byte(`{"releases":["v1"]}`)})
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, row, qt.DeepEquals, origin.Row{Releases: row.Releases, Era: unknownEra})
	_, isSole := row.Sole(0, 0, time.UnixMilli(1_800_000_000_000))
	qt.Check(t, isSole, qt.IsFalse, qt.Commentf("the row of a build that did not list releases first"))
	qt.Check(t, rolloutRow{State: "paused"}.canaryState(), qt.Equals, canary.Running)
	report, _, err := decodeCrashRow("p", []byte(`{"written_unix_ms":1800000000000,"crashes":[{"endpoint":"e","traits":["not hexadecimal","ff"]}]}`), time.UnixMilli(1_800_000_000_000))
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, report.Crashes[0].Endpoint, qt.Equals, poison.Endpoint{Pool: "p", ID: "e"})
	qt.Check(t, len(report.Crashes[0].Traits), qt.Equals, 1)
}

// TestLongRoutesRow guards against first rows of pools that the store refuses with a row of too many
// routes, without which no endpoint is used.
func TestLongRoutesRow(t *testing.T) {
	for count, isCreated := range map[int]bool{10: true, 5000: false} {
		team := &config.Team{ID: "t"}
		pool := config.NewPool("t/p", team)
		team.Pools = []*config.Pool{pool}
		spec := config.TreeSpec{Version: 1, Team: team}
		for i := range count {
			spec.Routes = append(spec.Routes, &config.Route{
				Name: fmt.Sprint("route", i), Host: "h", Prefix: fmt.Sprintf("/%d/", i), Kind: config.Stream, Timeout: time.Second, MaxAttempts: 1,
				FirstAnswerTarget: time.Second, Shares: []config.PoolShare{{Pool: pool, Weight: 1}},
			})
		}
		tree, err := config.NewTree(spec)
		qt.Assert(t, err, qt.IsNil)
		var n Node
		n.tree.Store(tree)
		n.formerPools.learnTable(true)
		_, writes := n.firstRoutesRow(1)
		qt.Check(t, len(writes) == 1, qt.Equals, isCreated, qt.Commentf("%d routes", count))
	}
}

// TestRoutesRowOfAnotherPool guards against the release of one pool as proof for streams that began
// in another one, to which the row shows that their route leads or led.
func TestRoutesRowOfAnotherPool(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	lately := map[ident.PoolID]int64{"b": now.Add(-time.Minute).UnixMilli()}
	for _, c := range []struct {
		row  routePools
		want bool
	}{
		{routePools{Pools: []ident.PoolID{"a"}}, true},
		{routePools{Pools: []ident.PoolID{"b"}}, false},
		{routePools{Pools: []ident.PoolID{"a", "b"}}, false},
		{routePools{Pools: []ident.PoolID{"a"}, LeftAt: lately}, false},
		{routePools{}, false},
	} {
		row := routesRow{Era: 1, Routes: map[string]routePools{"r": c.row}}
		qt.Check(t, row.covers("r", []ident.PoolID{"a"}, 1, time.Minute, now), qt.Equals, c.want, qt.Commentf("%+v", c.row))
	}
}
