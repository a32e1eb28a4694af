package origin

import (
	"fmt"
	"iter"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/stand/script"
)

// TestScripts runs the scripts of testdata:
//
//	at T step=                  sets the time, at once like after a freeze, or in steps in which
//	                            releases are checked
//	add STREAM RELEASE new=no   adds a stream, which is new or not
//	add_many count=             adds further streams
//	find STREAM release=        looks for a stream; without release= it is unknown
//	all STREAM... pool=          checks the streams of a pool
//	pool RELEASE... fresh=no    observes the releases of the pool's endpoints
//	table                       learns that pools without a known row have none
//	row RELEASE... gone= era= serial= version= complete_since= started=
//	                            learns the row as a call read it from the store
//	peer RELEASE... gone= era= serial= admitted= started=
//	                            learns the row and the admitted releases of another process
//	era N                       enters an era
//	keep                        learns that all processes were asked since
//	admits RELEASE...           checks which of v1 to v4 are admitted
//	plan RELEASE... gone= complete_since= changed=no keeper=yes
//	                            checks the row that should be written
//	write keeper=yes started=   writes that row
//	version known=no            checks whether the version of the row is known
//	mixed is=no                 checks whether the pool has several releases
//	outdated is=no              checks whether the row may be outdated
//	sole RELEASE... is=NAME row_era= era= complete_since= max_age=
//	                            checks the sole release of a row
//
// Times are since the start.
func TestScripts(t *testing.T) {
	script.Run(t, "testdata/*.script", func(t *testing.T, lines iter.Seq[script.Line]) {
		var streams Streams
		var listing Listing
		start := time.UnixMilli(1_800_000_000_000)
		now := start
		for line := range lines {
			comment := qt.Commentf(line.Position)
			switch line.Command {
			case "at":
				to := start.Add(line.ParseDuration(line.Operands[0]))
				if step := line.Options["step"]; step != "" {
					for ; now.Before(to); now = now.Add(line.ParseDuration(step)) {
						listing.Admits("p", "v1", now)
					}
				}
				now = to
			case "add":
				isNew := streams.Add(ident.RequestID(line.Operands[0]), Origin{"p", ident.Release(line.Operands[1])}, now)
				qt.Check(t, isNew, qt.Equals, line.Options["new"] != "no", comment)
			case "add_many":
				for i := range line.IntOption("count", 0) {
					streams.Add(ident.RequestID(fmt.Sprint("further", i)), Origin{"p", "v"}, now)
				}
			case "find":
				o, ok := streams.Find(ident.RequestID(line.Operands[0]))
				qt.Check(t, ok, qt.Equals, line.Options["release"] != "", comment)
				qt.Check(t, string(o.Release), qt.Equals, line.Options["release"], comment)
			case "all":
				var all []string
				for stream := range streams.All(ident.PoolID(line.Options["pool"])) {
					all = append(all, string(stream))
				}
				slices.Sort(all)
				qt.Check(t, strings.Join(all, " "), qt.Equals, strings.Join(line.Operands, " "), comment)
			case "pool":
				listing.Observe(map[ident.PoolID][]ident.Release{"p": releasesOf(line)}, line.Options["fresh"] != "no", now)
			case "table":
				listing.LearnTable()
			case "row":
				listing.LearnRow("p", rowOf(line, start), int64(line.IntOption("version", 1)), startedOf(line, start, now), now)
			case "peer":
				listing.LearnPeer("p", rowOf(line, start), namesOf(line.Options["admitted"]), startedOf(line, start, now), now)
			case "era":
				listing.EnterEra(int64(line.ParseInt(line.Operands[0])), now)
			case "keep":
				listing.Keep("p", listing.era)
			case "admits":
				var admitted []ident.Release
				for _, release := range []ident.Release{"v1", "v2", "v3", "v4"} {
					if listing.Admits("p", release, now) {
						admitted = append(admitted, release)
					}
				}
				qt.Check(t, admitted, qt.DeepEquals, releasesOf(line), comment)
			case "plan":
				row, isChanged := listing.Plan("p", line.Options["keeper"] == "yes", now)
				qt.Check(t, isChanged, qt.Equals, line.Options["changed"] != "no", comment)
				qt.Check(t, row.Releases, qt.DeepEquals, releasesOf(line), comment)
				qt.Check(t, ident.Join(row.Gone), qt.Equals, ident.Join(namesOf(line.Options["gone"])), comment)
				qt.Check(t, row.CompleteSince, qt.Equals, sinceOf(line, start), comment)
			case "write":
				row, isChanged := listing.Plan("p", line.Options["keeper"] == "yes", now)
				qt.Check(t, isChanged, qt.IsTrue, comment)
				listing.Confirm("p", row, startedOf(line, start, now), now)
			case "version":
				_, ok := listing.Version("p")
				qt.Check(t, ok, qt.Equals, line.Options["known"] != "no", comment)
			case "mixed":
				qt.Check(t, listing.IsMixed("p"), qt.Equals, line.Options["is"] != "no", comment)
			case "outdated":
				qt.Check(t, listing.IsOutdated("p", now), qt.Equals, line.Options["is"] != "no", comment)
			case "sole":
				row := Row{Releases: releasesOf(line), Era: int64(line.IntOption("row_era", 0)), CompleteSince: sinceOf(line, start)}
				release, ok := row.Sole(int64(line.IntOption("era", 0)), line.ParseDuration(line.Options["max_age"]), now)
				qt.Check(t, ok, qt.Equals, line.Options["is"] != "", comment)
				qt.Check(t, string(release), qt.Equals, line.Options["is"], comment)
			default:
				t.Fatalf("%s: unknown command", line.Position)
			}
		}
	})
}

func releasesOf(line script.Line) []ident.Release {
	var releases []ident.Release
	for _, name := range line.Operands {
		releases = append(releases, ident.Release(name))
	}
	return releases
}

func namesOf(list string) []ident.Release {
	var releases []ident.Release
	for _, name := range strings.FieldsFunc(list, func(r rune) bool { return r == ',' }) {
		releases = append(releases, ident.Release(name))
	}
	return releases
}

// startedOf returns when the call of a line started.
func startedOf(line script.Line, start, now time.Time) time.Time {
	if line.Options["started"] == "" {
		return now
	}
	return start.Add(line.ParseDuration(line.Options["started"]))
}

func sinceOf(line script.Line, start time.Time) int64 {
	if line.Options["complete_since"] == "" {
		return 0
	}
	return start.Add(line.ParseDuration(line.Options["complete_since"])).UnixMilli()
}

func rowOf(line script.Line, start time.Time) Row {
	return Row{
		Releases: releasesOf(line), Gone: namesOf(line.Options["gone"]), Era: int64(line.IntOption("era", 0)),
		Serial: int64(line.IntOption("serial", 1)), CompleteSince: sinceOf(line, start),
	}
}

// TestPending checks that no origin is lost or written twice when writes are full or fail,
// that rows and writes stay within the store's limits, and that memory is bounded.
func TestPending(t *testing.T) {
	var p Pending
	all := func(ident.PoolID) bool { return true }
	id := func(i int) ident.RequestID { return ident.RequestID(fmt.Sprintf("%016x", i)) }
	for i := range 10000 {
		p.Add(id(i), Origin{"p", "v1"})
	}
	p.Add(id(10000), Origin{"q", "v2"})
	p.Add(ident.RequestID(strings.Repeat("x", maxRowBytes)), Origin{"p", "v1"})
	first := p.Take(all)
	qt.Check(t, first["q"], qt.DeepEquals, Batch{"v2": {id(10000)}})
	p.Return(first)
	seen := map[ident.RequestID]int{}
	for !p.IsEmpty() {
		for _, batch := range p.Take(all) {
			bytes := 0
			for _, streams := range batch {
				for _, stream := range streams {
					seen[stream]++
					bytes += len(stream) + identifierOverhead
				}
			}
			qt.Check(t, bytes <= maxRowBytes, qt.IsTrue)
		}
	}
	qt.Check(t, len(seen), qt.Equals, 10001)
	for stream, count := range seen {
		qt.Check(t, count, qt.Equals, 1, qt.Commentf("%s", stream))
	}
	for i := range 2 * maxPending {
		p.Add(id(i), Origin{"p", "v1"})
	}
	qt.Check(t, len(p.queue), qt.Equals, maxPending)
	qt.Check(t, p.Take(all)["p"]["v1"][0], qt.Equals, id(maxPending), qt.Commentf("the oldest are dropped"))
	// A batch with both releases of an identifier that was used again would bind its stream to
	// either of them.
	p.Take(func(ident.PoolID) bool { return false })
	p.Add("again", Origin{"p", "v1"})
	p.Add("again", Origin{"p", "v2"})
	qt.Check(t, p.Take(all), qt.DeepEquals, map[ident.PoolID]Batch{"p": {"v2": {"again"}}})
	p.Add("again", Origin{"p", "v2"})
	p.Take(func(ident.PoolID) bool { return false })
	qt.Check(t, p.IsEmpty(), qt.IsTrue)
}

// TestRingSlot checks that a process which is started again within the time of the ring
// writes other rows than before.
func TestRingSlot(t *testing.T) {
	start := time.UnixMilli(1_800_000_000_000)
	used := map[int]bool{}
	for at := time.Duration(0); at < 32*time.Second; at += WriteInterval {
		used[RingSlot(start.Add(at))] = true
	}
	qt.Check(t, len(used), qt.Equals, int(32*time.Second/WriteInterval))
}
