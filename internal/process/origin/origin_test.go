package origin

import (
	"fmt"
	"iter"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/request/ident"
	"goldcrestwick/internal/stand/script"
)

// TestScripts runs the scripts of testdata:
//
//	at T                        sets the time
//	add STREAM RELEASE new=no   adds a stream, which is new or not
//	add_many count=             adds further streams
//	find STREAM release=        looks for a stream; without release= it is unknown
//	pool RELEASE...             observes the releases of the pool's endpoints
//	learn RELEASE...            learns the releases that the pool had lately
//	learn_all                   learns that the pool had no others
//	recent RELEASE... unknown=yes  checks the releases that the pool had lately
//	sole release= age=          checks the pool's only release; without release= it has none
//	mixed                       checks that the pool has several releases
func TestScripts(t *testing.T) {
	script.Run(t, "testdata/*.script", func(t *testing.T, lines iter.Seq[script.Line]) {
		var streams Streams
		var census Census
		start := time.Now()
		now := start
		for line := range lines {
			comment := qt.Commentf(line.Position)
			switch line.Command {
			case "at":
				now = start.Add(line.ParseDuration(line.Operands[0]))
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
			case "pool":
				census.Observe(map[ident.PoolID][]ident.Release{"p": releasesOf(line)}, now)
			case "learn":
				census.Learn("p", releasesOf(line), now)
			case "learn_all":
				census.LearnAll()
			case "recent":
				recent, ok := census.Recent(now)["p"]
				qt.Check(t, ok, qt.Equals, line.Options["unknown"] != "yes", comment)
				qt.Check(t, recent, qt.DeepEquals, releasesOf(line), comment)
			case "sole":
				release, age, ok := census.Sole("p", now)
				qt.Check(t, ok, qt.Equals, line.Options["release"] != "", comment)
				if ok {
					qt.Check(t, string(release), qt.Equals, line.Options["release"], comment)
					qt.Check(t, age, qt.Equals, line.ParseDuration(line.Options["age"]), comment)
				}
			case "mixed":
				qt.Check(t, census.IsMixed("p"), qt.IsTrue, comment)
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
