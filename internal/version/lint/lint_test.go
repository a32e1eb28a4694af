package lint

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestCompareAccount guards against a lowered limit that is not marked as risky because a
// value of 0 means unlimited or a default.
func TestCompareAccount(t *testing.T) {
	for _, c := range []struct {
		name       string
		old, after Account
		want       []bool
	}{
		{"half", Account{Rate: 10}, Account{Rate: 5}, []bool{false}},
		{"below half", Account{Rate: 10}, Account{Rate: 4.9}, []bool{true}},
		{"first rate", Account{}, Account{Rate: 1000}, []bool{true}},
		{"negative rate is unlimited", Account{Rate: -1}, Account{Rate: 1000}, []bool{true}},
		{"unlimited", Account{Rate: 10}, Account{}, []bool{false}},
		{"burst below the default", Account{HasTokens: true, Rate: 10}, Account{HasTokens: true, Rate: 10, Burst: 4}, []bool{true}},
		{"burst to the default", Account{HasTokens: true, Rate: 10, Burst: 15}, Account{HasTokens: true, Rate: 10}, []bool{false}},
		{"burst that does not apply", Account{Rate: 10, Burst: 9}, Account{Rate: 10, Burst: 1}, []bool{false}},
	} {
		differences, findings := Compare(Config{Accounts: []Account{c.old}}, Config{Version: 1, Accounts: []Account{c.after}})
		var got []bool
		for _, d := range differences {
			got = append(got, d.IsRisky)
		}
		qt.Check(t, got, qt.DeepEquals, c.want, qt.Commentf("%s: %v", c.name, differences))
		qt.Check(t, findings, qt.HasLen, 0)
	}
}

// TestCompareEngine guards against fields that are lost when a service gains or loses its
// model runners.
func TestCompareEngine(t *testing.T) {
	with := Config{Services: []Service{{Name: "s", Engine: &Engine{Slots: 4}}}}
	without := Config{Version: 1, Services: []Service{{Name: "s"}}}
	removed, _ := Compare(with, without)
	added, _ := Compare(without, with)
	qt.Check(t, fmt.Sprint(removed), qt.Equals,
		"[{changed services s engine true false false} {changed services s engine.slots 4  false}"+
			" {changed services s engine.cache_tokens 0  false} {changed services s engine.tokens_per_event 0  false}]")
	qt.Check(t, added, qt.HasLen, len(removed))
}

// TestIsHost guards against warnings on hosts that requests can name.
func TestIsHost(t *testing.T) {
	for host, want := range map[string]bool{
		"h": true, "a.b-c.example": true, "h.": true, "_x.h": true, "10.0.0.1": true, "::1": true, "[::1]": true,
		"h:80": false, "10.0.0.1:80": false, "[::1]:80": false, "h..x": false, ".h": false, "h/x": false, "*.h": false, "h h": false, "hé": false,
	} {
		qt.Check(t, isHost(host), qt.Equals, want, qt.Commentf(host))
	}
}
