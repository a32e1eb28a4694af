package poison

import (
	"iter"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/stand/script"
)

// TestScripts runs the scripts of testdata. Their commands are:
//
//	sent                       the requests of the next crashes are sent now
//	crash ENDPOINT PART...     an endpoint crashed with a request of these parts
//	complete ENDPOINT PART...  an endpoint completed a request of these parts
//	wait T                     advances the clock
//	others ENDPOINT            an endpoint completed ten requests with parts of their own
//	answered N                 N requests were answered in part
//	answered_elsewhere N       the same, by another pool
//	ran T PART...              a request of these parts broke off T after its first token
//	elsewhere PART             a request with the part completed at another node
//	blamed PART...             checks the parts that are blamed, in any order
//	pending yes|no             checks what Suspects returned for the last blamed line
//	flood N                    N crashes, each at its own endpoint with its own part
func TestScripts(t *testing.T) { script.Run(t, "testdata/*.script", runScript) }

func runScript(t *testing.T, lines iter.Seq[script.Line]) {
	d := &Detector{}
	isPending := false
	var sentAt time.Time
	for line := range lines {
		comment := qt.Commentf("%s", line.Position)
		switch line.Command {
		case "crash":
			d.Crashed(Crash{Endpoint: endpointOf(line.Args[0]), SentAt: sentAt, At: time.Now(), Traits: traitsOf(line.Args[1:])})
		case "sent":
			sentAt = time.Now()
		case "complete":
			d.Completed(endpointOf(line.Args[0]), traitsOf(line.Args[1:]), time.Now())
		case "others":
			for i := range 10 {
				d.Completed(endpointOf(line.Args[0]), []ident.Trait{ident.Trait(500 + i)}, time.Now())
			}
		case "answered":
			for range line.ParseInt(line.Args[0]) {
				d.Answered("", nil, 0, time.Now())
			}
		case "answered_elsewhere":
			for range line.ParseInt(line.Args[0]) {
				d.Answered("other", nil, 0, time.Now())
			}
		case "ran":
			d.Answered("", traitsOf(line.Args[1:]), line.ParseDuration(line.Args[0]), time.Now())
		case "elsewhere":
			d.Exonerate(traitsOf(line.Args)[0], time.Now())
		case "wait":
			// A node looks for suspects at intervals while there is reason to.
			left := line.ParseDuration(line.Args[0])
			for ; left > 0; left -= checkInterval {
				if _, isPending := d.Suspects(time.Now()); !isPending {
					break
				}
				time.Sleep(min(left, checkInterval))
			}
			time.Sleep(max(left, 0))
		case "blamed":
			var blamed []Suspect
			blamed, isPending = d.Suspects(time.Now())
			blamed = d.Blame(blamed, time.Now())
			traits := []ident.Trait{}
			for _, s := range blamed {
				traits = append(traits, s.Trait)
			}
			slices.Sort(traits)
			qt.Check(t, traits, qt.DeepEquals, traitsOf(line.Args), comment)
		case "pending":
			qt.Check(t, isPending, qt.Equals, line.Args[0] == "yes", comment)
		case "flood":
			for i := range line.ParseInt(line.Args[0]) {
				d.Crashed(Crash{Endpoint: Endpoint{ID: "flood", StartedUnixMilli: int64(i)}, At: time.Now(), Traits: []ident.Trait{ident.Trait(1000 + i)}})
			}
			qt.Check(t, len(d.suspects) <= maxSuspects, qt.IsTrue, comment)
		default:
			t.Fatalf("%s: unknown command %s", line.Position, line.Command)
		}
	}
}

// endpointOf parses an endpoint of the form NAME or NAME/RUN.
func endpointOf(word string) Endpoint {
	name, run, _ := strings.Cut(word, "/")
	return Endpoint{ID: ident.Endpoint(name), StartedUnixMilli: int64(len(run))}
}

func traitsOf(names []string) []ident.Trait {
	traits := []ident.Trait{}
	for _, name := range names {
		traits = append(traits, ident.Trait(name[0]))
	}
	return traits
}

// TestList checks that the list bounds its size and the time of a quarantine, and that
// a part leaves it when its time ends.
func TestList(t *testing.T) {
	l, now := &List{}, time.Unix(1000, 0)
	_, _, ok := l.Find([]ident.Trait{1}, now)
	qt.Assert(t, ok, qt.IsFalse)
	qt.Check(t, l.Add(1, now.Add(time.Hour), now), qt.IsTrue)
	qt.Check(t, l.Add(1, now.Add(time.Minute), now), qt.IsFalse)
	trait, until, ok := l.Find([]ident.Trait{2, 1}, now)
	qt.Check(t, ok, qt.IsTrue)
	qt.Check(t, trait, qt.Equals, ident.Trait(1))
	qt.Check(t, until, qt.Equals, now.Add(QuarantineTime))
	_, _, ok = l.Find([]ident.Trait{1}, until)
	qt.Check(t, ok, qt.IsFalse)
	// Remaining times that are passed from node to node do not prolong a quarantine.
	for i := range 100 {
		l.Add(1, until.Add(time.Duration(i+1)*time.Second), now.Add(time.Duration(i)*time.Second))
	}
	_, kept, _ := l.Find([]ident.Trait{1}, now)
	qt.Check(t, kept, qt.Equals, until.Add(time.Minute))
	qt.Check(t, l.Add(3, now, now), qt.IsFalse)
	for i := range maxQuarantined {
		qt.Check(t, l.Add(ident.Trait(10+i), now.Add(time.Minute), now), qt.IsTrue)
	}
	qt.Check(t, len(l.All(now)), qt.Equals, maxQuarantined)
	_, _, ok = l.Find([]ident.Trait{1}, now)
	qt.Check(t, ok, qt.IsTrue)
}
