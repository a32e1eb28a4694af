package engine

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// EventText returns the event with identifier n of an engine with a release. It does not
// name the release if that is empty.
func EventText(n int, release string) string {
	if release == "" {
		return fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n)
	}
	return fmt.Sprintf("id: %d\ndata: piece %d\n%s%s\n\n", n, n, releaseField, release)
}

// releaseField begins the comment line of an event that names the release of the engine.
const releaseField = ": release "

// ReleasesOf returns the releases that the events of a stream name, without repetitions
// that follow each other.
func ReleasesOf(stream string) []string {
	var releases []string
	for line := range strings.Lines(stream) {
		if release, ok := strings.CutPrefix(strings.TrimSpace(line), releaseField); ok {
			releases = append(releases, release)
		}
	}
	return slices.Compact(releases)
}

func (e *Engine) writeEvents(c net.Conn, req *http.Request, id string, b Behaviour) bool {
	length, sendEvent := -2, sendChunk
	if b.OmitLength {
		length, sendEvent = -1, send
	}
	if !send(c, e.head(id, b, length)) || b.NoEvents {
		return false
	}
	first := b.FirstEvent
	if first == 0 {
		after, err := strconv.Atoi(req.Header.Get(LastEventIDHeader))
		if err != nil {
			after = 0
		}
		first = after + 1
	}
	for n := first; n <= b.LastEvent; n++ {
		if n > first {
			time.Sleep(b.EventInterval)
		}
		if n == b.RepeatBeforeEvent && !send(c, e.refusal(c)) {
			return false
		}
		text := EventText(n, e.Release)
		if n == b.LastEvent && b.EndMode == EndMidEvent {
			text = text[:len(text)/2]
		}
		if !sendEvent(c, text) {
			return false
		}
	}
	if b.OmitLength {
		return b.EndMode == EndStalled && e.endAnswer(c, b)
	}
	if b.EndMode != "" && b.EndMode != EndComplete {
		return e.endAnswer(c, b)
	}
	return send(c, "0\r\n\r\n")
}
