package soak

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"goldcrestwick/internal/stand/engine"
)

const (
	// eventCount is the number of events in a whole stream, and eventTokens that of the tokens
	// in each. A stream takes a second, so that most of those which a kill of all nodes cuts
	// are older than the 200 ms in which their origins may not be in the store.
	eventCount  = 40
	eventTokens = 6
	// requestTimeout is longer than the time-out of any route.
	requestTimeout = 6 * time.Second
	// takeUpTime is the time for which a caller tries to take up a stream, and takeUpPause
	// the pause after an attempt that brought nothing.
	takeUpTime  = 6 * time.Second
	takeUpPause = 200 * time.Millisecond
	// callerPause is the longest pause of a caller between two requests.
	callerPause = 120 * time.Millisecond
)

// record is one request of a caller and what came of it.
type record struct {
	id, kind, node string
	isCrashing     bool
	// tokens holds the numbers of prompt and output tokens of a request to a model.
	tokens     string
	start, end time.Time
	// status is 0 without an answer. attempt and stamp are headers of the answer.
	status         int
	attempt, stamp string
	body           string
	// began is the id of the record that brought the first event of the stream that this
	// one takes up, "" if it takes up none, and resumed what its caller has of the stream.
	began, resumed string
	// isTriedAgain is set if this attempt to take a stream up brought nothing and another one
	// follows.
	isTriedAgain bool
	// isCut is set if the connection ended before the end of the answer.
	isCut bool
	// readSlowly is set if the caller reads the answer slowly.
	readSlowly bool
	err        error
}

// runCaller sends requests until ctx is done. It keeps to a node's connection until the
// connection ends.
func (r *run) runCaller(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(r.Seed, uint64(1+number)))
	kinds := []string{"chat", "chat", "label", "book", "read"}
	var client *http.Client
	var node, address string
	for i := 0; ctx.Err() == nil; i++ {
		if client == nil {
			if node, address = r.chooseNode(random); address == "" {
				time.Sleep(callerPause)
				continue
			}
			client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: requestTimeout}
		}
		rec := record{id: fmt.Sprintf("%d-%d-%d", r.Seed, number, i), kind: kinds[random.IntN(len(kinds))], node: node}
		if r.Earlier == "" {
			// Builds up to e33821d hang on a request of unlimited length.
			rec.tokens = tokenCounts(i)
		}
		mayCrash := rec.kind == "chat" || rec.kind == "read"
		rec.isCrashing = r.world.crashing.Load() && mayCrash && random.IntN(12) == 0
		rec.send(ctx, client, address)
		if ctx.Err() != nil {
			return
		}
		r.add(rec)
		if rec.err != nil || rec.isCut {
			client.CloseIdleConnections()
			client = nil
			r.takeUp(ctx, rec)
		}
		time.Sleep(time.Duration(random.Int64N(int64(callerPause))))
	}
}

func (r *run) add(rec record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records = append(r.records, rec)
}

// takeUp takes up a stream that was cut at other nodes, one after the other, until it is
// whole or takeUpTime has passed. A refusal or a lost connection is tried again, as all nodes
// may have been killed.
func (r *run) takeUp(ctx context.Context, cut record) {
	end := time.Now().Add(takeUpTime)
	for i := 1; time.Now().Before(end) && cut.canBeTakenUp(); i++ {
		next := record{id: fmt.Sprint(cut.id, "-", i), kind: cut.kind, began: cmp.Or(cut.began, cut.id), resumed: cut.wholeEvents()}
		addresses := r.world.addresses()
		names := slices.Sorted(maps.Keys(addresses))
		if len(names) == 0 {
			return
		}
		next.node = names[(slices.Index(names, cut.node)+1)%len(names)]
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: requestTimeout}
		next.send(ctx, client, addresses[next.node])
		if ctx.Err() != nil {
			return
		}
		isRefused := next.status == http.StatusServiceUnavailable || next.status == http.StatusTooManyRequests
		next.isTriedAgain = (next.err != nil || isRefused) && time.Now().Add(takeUpPause).Before(end)
		r.add(next)
		if next.err == nil && !next.isCut && !next.isTriedAgain {
			return
		}
		if next.err != nil || next.body == "" || isRefused {
			next.resumed, next.body = cut.wholeEvents(), ""
			time.Sleep(takeUpPause)
		}
		cut = next
	}
}

// canBeTakenUp reports whether a stream that was cut can be taken up.
func (rec *record) canBeTakenUp() bool { return rec.kind == "chat" && rec.wholeEvents() != "" }

// wholeEvents returns the whole events that the caller has of a stream.
func (rec *record) wholeEvents() string {
	all := rec.resumed + rec.body
	end := strings.LastIndex(all, "\n\n")
	if end < 0 {
		return ""
	}
	return all[:end+len("\n\n")]
}

// chooseNode returns a node at random, its address empty if none is known.
func (r *run) chooseNode(random *rand.Rand) (name, address string) {
	addresses := r.world.addresses()
	name = fmt.Sprint("n", random.IntN(r.Nodes))
	return name, addresses[name]
}

// send sends the request and reads the answer.
func (rec *record) send(ctx context.Context, client *http.Client, address string) {
	rec.start = time.Now()
	defer func() { rec.end = time.Now() }()
	path := "/" + rec.kind + "/x"
	if rec.isCrashing && rec.kind == "read" {
		path = crashingPath
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, io.NopCloser(strings.NewReader("body")))
	if err != nil {
		rec.err = err
		return
	}
	req.Host, req.ContentLength = "h.example", int64(len("body"))
	req.Header.Set(engine.AttemptIDHeader, rec.id)
	req.Header.Set("X-Api-Key", "k1")
	if rec.began != "" {
		req.Header.Set(engine.ResumesHeader, rec.began)
		req.Header.Set(engine.LastEventIDHeader, strconv.Itoa(strings.Count(rec.resumed, "id: ")))
	}
	if rec.kind == "chat" || rec.kind == "label" {
		part := "c"
		if rec.isCrashing {
			part = crashingPart
		}
		req.Header.Set(engine.TokenCountsHeader, cmp.Or(rec.tokens, tokenCounts(0)))
		req.Header.Set(engine.PromptPrefixHeader, fmt.Sprintf("a:50,b:40,%s:50,%x:20", part, rec.start.UnixNano()))
	}
	resp, err := client.Do(req)
	if err != nil {
		rec.err = err
		return
	}
	defer resp.Body.Close() //nolint:errcheck // the body has been read.
	rec.status, rec.attempt, rec.stamp = resp.StatusCode, resp.Header.Get(engine.AttemptIDHeader), resp.Header.Get(engine.ServerStampHeader)
	readBody := io.ReadAll
	if rec.readSlowly {
		readBody = readSlowly
	}
	raw, err := readBody(resp.Body)
	rec.body, rec.isCut = string(raw), err != nil
}

// isWholeStream reports whether a body has all events in order, of one release.
func isWholeStream(body string) bool {
	return slices.ContainsFunc(append(releases, targetRelease), func(release string) bool { return body == streamText(release) })
}

// isStreamStart reports whether a body is a beginning of a stream of one release.
func isStreamStart(body string) bool {
	return slices.ContainsFunc(append(releases, targetRelease), func(release string) bool { return strings.HasPrefix(streamText(release), body) })
}

func streamText(release string) string {
	var b strings.Builder
	for n := 1; n <= eventCount; n++ {
		b.WriteString(engine.EventText(n, release))
	}
	return b.String()
}

// hugeEvery is the number of a caller's requests of which one asks for an answer of unlimited length.
const hugeEvery = 23

// tokenCounts returns the numbers of prompt and output tokens of a caller's request by its number.
func tokenCounts(number int) string {
	output := int64(eventCount * eventTokens)
	if number%hugeEvery == hugeEvery-1 {
		output = []int64{1<<53 - 1, math.MaxInt64, 1e12}[number/hugeEvery%3]
	}
	return fmt.Sprint("160,", output)
}
