package node

import (
	"encoding/base64"
	"fmt"
	"io"
	"math"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/poison"
	"goldcrestwick/internal/process/store"
	"goldcrestwick/internal/version/config"
)

// maxStoredBytes is the size of a row that the platform's store accepts.
const maxStoredBytes = 65_536

func crashOf(id string, at time.Time, traits int) poison.Crash {
	c := poison.Crash{Endpoint: poison.Endpoint{Pool: "p", ID: ident.Endpoint(id), StartedUnixMilli: 1_700_000_000_000}, SentAt: at.Add(-time.Second), At: at}
	for i := range traits {
		c.Traits = append(c.Traits, ident.Trait(^uint64(0)-uint64(i)))
	}
	return c
}

// TestCrashRow checks that a row keeps its crashes and completions, and guards against
// evidence that is older than the evidence time or has a time in the future.
func TestCrashRow(t *testing.T) {
	now := time.UnixMilli(1_700_000_100_000)
	crashes := []poison.Crash{crashOf("old", now.Add(-poison.EvidenceTime-time.Second), 1), crashOf("e", now.Add(-2*time.Second), 3)}
	completed := map[ident.Trait]time.Time{crashes[1].Traits[1]: now.Add(-time.Second)}
	value := encodeCrashRow(crashes, completed, now)
	report, written, err := decodeCrashRow("p", value, now)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, written, qt.Equals, now)
	qt.Check(t, report, qt.DeepEquals, poison.Report{Crashes: crashes[1:], Completed: completed})
	report, _, err = decodeCrashRow("p", value, now.Add(-time.Minute))
	qt.Assert(t, err, qt.IsNil)
	// The order of crashes and completions stays the same, and the latest one is not later
	// than now.
	past := now.Add(-time.Minute)
	qt.Check(t, report.Crashes[0].At, qt.Equals, past.Add(-2*time.Second))
	qt.Check(t, report.Completed[crashes[1].Traits[1]], qt.Equals, past.Add(-time.Second))
	_, _, err = decodeCrashRow("p", []byte("{"), now)
	qt.Check(t, err, qt.IsNotNil)
	for key, want := range map[string]bool{"p|n|31": true, "p|n|32": false, "p|n": false, "p|n|x": false} {
		_, _, _, ok := parseCrashKey(store.Row{Key: key})
		qt.Check(t, ok, qt.Equals, want, qt.Commentf("%s", key))
	}
}

// TestCrashRowAges guards against crashes and completions of now or later that a row of another
// writer names with ages that are too large, or negative.
func TestCrashRowAges(t *testing.T) {
	now := time.UnixMilli(1_700_000_100_000)
	for _, age := range []int64{math.MaxInt64, math.MaxInt64 / 2, math.MaxInt64 / 1_000_000 * 3, 9_223_372_036_855} {
		value := fmt.Appendf(nil, `{"written_unix_ms":1700000100000,"crashes":[{"endpoint":"e","age_ms":%d,"traits":["a"]}],"completed_ages_ms":{"a":%d}}`, age, age)
		report, _, err := decodeCrashRow("p", value, now)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, report.Crashes, qt.HasLen, 0, qt.Commentf("%d", age))
		for _, at := range report.Completed {
			qt.Check(t, at.After(now.Add(-poison.EvidenceTime)), qt.IsFalse, qt.Commentf("%d", age))
		}
	}
	report, _, err := decodeCrashRow("p", []byte(`{"written_unix_ms":9223372036854775807,"crashes":[{"age_ms":-9223372036854775808}]}`), now)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, report.Crashes[0].At, qt.Equals, now)
}

// TestCrashStoreBounds guards against rows that the store rejects for their size, and against
// memory that grows while the store is unavailable, when all endpoints crash at once.
func TestCrashStoreBounds(t *testing.T) {
	s, now := &crashStore{nextSlots: map[ident.PoolID]int{}}, time.UnixMilli(1_700_000_100_000)
	for range 200 {
		var crashes []poison.Crash
		for range 20 {
			crashes = append(crashes, crashOf("<endpoint>", now, 64))
		}
		crashes = append(crashes, crashOf("many", now, 5000))
		s.add(crashes)
		s.finish(s.take(now.Add(poison.ConfirmDelay)), false)
	}
	rows := 0
	for written := s.take(now.Add(time.Second)); len(written) > 0; written = s.take(now.Add(time.Second)) {
		completed := map[ident.Trait]time.Time{}
		for _, c := range written["p"] {
			for _, trait := range c.Traits {
				completed[trait] = now.Add(-poison.EvidenceTime)
			}
		}
		value := encodeCrashRow(written["p"], completed, now)
		qt.Assert(t, len(value) <= maxStoredBytes, qt.IsTrue, qt.Commentf("%d bytes", len(value)))
		s.finish(written, true)
		rows++
	}
	qt.Check(t, rows > crashSlots/2 && rows <= 2*crashSlots, qt.IsTrue, qt.Commentf("%d rows", rows))
	s.rewrite(now.Add(poison.EvidenceTime))
	again := s.take(now.Add(time.Second))
	qt.Check(t, again, qt.HasLen, 1)
	s.finish(again, true)
	s.rewrite(now.Add(2 * poison.EvidenceTime))
	qt.Check(t, s.written, qt.HasLen, 0)
}

// TestCrashRowsRead guards against a node that starts and blames a trait which completed
// since, or again for crashes under which it was quarantined before, or for crashes of which a
// node that runs knows more, and against one that overwrites its latest row.
func TestCrashRowsRead(t *testing.T) {
	now := time.Now()
	rows := func(completed map[ident.Trait]time.Time) (rows []store.Row) {
		for i, id := range []string{"e", "f", "g"} {
			at := now.Add(time.Duration(i-60) * time.Second)
			value := encodeCrashRow([]poison.Crash{crashOf(id, at, 2)}, completed, at.Add(100*time.Millisecond))
			rows = append(rows, store.Row{Key: fmt.Sprintf("p|n|%02d", (i+30)%crashSlots), Value: value})
		}
		return append(rows, rows[0], store.Row{Key: "p|n"}, store.Row{Key: "p|n|01", Value: []byte("{")})
	}
	traits := crashOf("", now, 2).Traits
	quarantined := func(until time.Time) store.Row {
		return store.Row{Key: traitKey(traits[1]), Value: fmt.Appendf(nil, `{"until_unix_ms":%d}`, until.UnixMilli())}
	}
	for name, test := range map[string]struct {
		completed   map[ident.Trait]time.Time
		quarantines []store.Row
		known       map[poison.Endpoint]time.Time
		want        int
	}{
		"all suspects":    {want: 2},
		"completed":       {completed: map[ident.Trait]time.Time{traits[0]: now.Add(-time.Second)}, want: 1},
		"was quarantined": {quarantines: []store.Row{quarantined(now.Add(-time.Minute))}, want: 0},
		"long ago":        {quarantines: []store.Row{quarantined(now.Add(-time.Hour))}, want: 2},
		"others know":     {known: map[poison.Endpoint]time.Time{crashOf("f", now, 0).Endpoint: now}, want: 0},
	} {
		n := &Node{Log: log.New(io.Discard), Process: config.Process{Name: "n"}}
		n.addQuarantineRows(test.quarantines)
		n.addCrashRows(rows(test.completed))
		n.tasks.Wait()
		n.learnRead("p", test.known)
		d := &n.poison.detector
		d.Suspects(now)
		for range 8 {
			d.Answered("p", nil, 0, now)
		}
		d.Suspects(now)
		suspects, _ := d.Suspects(now.Add(time.Second))
		qt.Check(t, suspects, qt.HasLen, test.want, qt.Commentf("%s", name))
		qt.Check(t, n.poison.rows.nextSlots["p"], qt.Equals, 1)
	}
}

// TestCrashRowsSettle guards against rows that keep crashes which were withdrawn, or traits
// that completed, shortly after the crash.
func TestCrashRowsSettle(t *testing.T) {
	n, now := &Node{}, time.UnixMilli(1_700_000_100_000)
	s, d := &n.poison.rows, &n.poison.detector
	s.nextSlots = map[ident.PoolID]int{"p": 7}
	works, refuted := crashOf("works", now, 2), crashOf("refuted", now, 2)
	for _, c := range []poison.Crash{works, refuted} {
		d.Crashed(c)
		s.add([]poison.Crash{c})
	}
	qt.Check(t, s.take(now.Add(poison.ConfirmDelay-1)), qt.HasLen, 0)
	wait, ok := s.next(now.Add(poison.ConfirmDelay - 100*time.Millisecond))
	qt.Check(t, ok, qt.IsTrue)
	qt.Check(t, wait, qt.Equals, 100*time.Millisecond)
	d.Completed(works.Endpoint, nil, now.Add(poison.ConfirmDelay-1))
	rows := s.take(now.Add(poison.ConfirmDelay))
	qt.Check(t, d.Standing(rows["p"]), qt.DeepEquals, []poison.Crash{refuted})
	s.finish(map[ident.PoolID][]poison.Crash{"p": {refuted}}, true)
	d.Completed(poison.Endpoint{Pool: "p", ID: "other"}, refuted.Traits[:1], now.Add(800*time.Millisecond))
	qt.Check(t, s.takeSettled(now.Add(minSettleDelay-1)), qt.HasLen, 0)
	settled := s.takeSettled(now.Add(maxSettleDelay))
	qt.Check(t, settled, qt.HasLen, 1)
	standing := d.Standing(settled[crashSlot{"p", 7}])
	qt.Assert(t, standing, qt.HasLen, 1)
	qt.Check(t, standing[0].Traits, qt.DeepEquals, refuted.Traits[1:])
	qt.Check(t, isSame(standing, settled[crashSlot{"p", 7}]), qt.IsFalse)
	qt.Check(t, s.takeSettled(now.Add(time.Minute)), qt.HasLen, 0)
}

// TestCrashWriteSize guards against a write that the store rejects for its size, when endpoints
// of many pools crash at once. Values are sent in base64.
func TestCrashWriteSize(t *testing.T) {
	s, now := &crashStore{nextSlots: map[ident.PoolID]int{}}, time.UnixMilli(1_700_000_100_000)
	for pool := range 20 {
		for range 10 {
			c := crashOf("endpoint", now, 100)
			c.Endpoint.Pool = ident.PoolID(fmt.Sprint("pool", pool))
			s.add([]poison.Crash{c})
		}
	}
	crashes := 0
	for rows := s.take(now.Add(time.Second)); len(rows) > 0; rows = s.take(now.Add(time.Second)) {
		size := len(rows) * base64.StdEncoding.EncodedLen(maxStoredBytes)
		qt.Assert(t, size < 1_000_000, qt.IsTrue, qt.Commentf("%d bytes", size))
		for _, row := range rows {
			crashes += len(row)
		}
	}
	qt.Check(t, crashes, qt.Equals, 200)
}

// TestOutdatedCrashRows guards against rows that stay for ever: old ones, and unreadable ones,
// whose age is known only from an earlier look at the table.
func TestOutdatedCrashRows(t *testing.T) {
	now := time.UnixMilli(1_700_000_100_000)
	row := func(key string, version int64, value []byte) store.Row {
		return store.Row{Key: key, Version: version, Value: value}
	}
	old := now.Add(-poison.EvidenceTime - time.Second)
	rows := []store.Row{
		row("p|n|00", 1, encodeCrashRow([]poison.Crash{crashOf("e", old, 1)}, nil, old)),
		row("p|n|01", 2, encodeCrashRow([]poison.Crash{crashOf("e", now, 1)}, nil, now)),
		row("p|n|02", 3, []byte("{")), row("p|n", 4, []byte("{}")), row("p|n|03", 5, []byte("{")),
	}
	keys := func(rows []store.Row) (keys []string) {
		for _, r := range rows {
			keys = append(keys, r.Key)
		}
		return keys
	}
	outdated, unreadable := outdatedCrashRows(rows, nil, now)
	qt.Check(t, keys(outdated), qt.DeepEquals, []string{"p|n|00"})
	rows[4].Version++
	outdated, _ = outdatedCrashRows(rows, unreadable, now)
	qt.Check(t, keys(outdated), qt.DeepEquals, []string{"p|n|00", "p|n|02", "p|n"})
}
