package wire

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/process/adapt"
	"goldcrestwick/internal/process/admit"
	"goldcrestwick/internal/process/claims"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/member"
	"goldcrestwick/internal/process/poison"
	"goldcrestwick/internal/process/quota"
	"goldcrestwick/internal/process/sched"
	"goldcrestwick/internal/process/trace"
	"goldcrestwick/internal/request/answer"
	"goldcrestwick/internal/request/refuse"
	"goldcrestwick/internal/version/follow"
	"goldcrestwick/internal/version/repo"
)

// roundTrip encodes and decodes a message.
func roundTrip[T any](t testing.TB, message T) T {
	body, err := cbor.Marshal(message)
	qt.Assert(t, err, qt.IsNil)
	decoded, err := link.Decode[T](body)
	qt.Assert(t, err, qt.IsNil)
	return decoded
}

var now = time.Unix(1000, 0)

// TestRoundTrip checks that values converted to a message and encoded are the same
// after decoding and converting back.
func TestRoundTrip(t *testing.T) {
	equal := func(got, want any) {
		t.Helper()
		qt.Assert(t, got, qt.DeepEquals, want)
	}
	response := sched.GrantResponse{Outcome: sched.Granted, Reason: sched.ReasonProbe, Endpoint: "e", Address: "a", Sequence: 4, TTL: 5, Cached: 6, Considered: 7, Waited: 8, RetryAfter: 9}
	equal(roundTrip(t, FromGrantResponse(response)).ToGrantResponse(), response)
	completion := sched.Completion{
		Failed: true, Unused: true, TimeToFirstToken: 1, InterTokenLatency: 2, Uncached: 3, Cached: 4, Output: 5, NoAnswer: true, IsWhole: true,
		Statement: &sched.Statement{Occupancy: &sched.Occupancy{Running: 1, Waiting: 2}, RateLimit: 2.5},
	}
	equal(roundTrip(t, FromCompletion(completion)).ToCompletion(), completion)
	crashes := []poison.Crash{{Endpoint: poison.Endpoint{Pool: "p", ID: "e", StartedUnixMilli: 7}, SentAt: now.Add(-2 * time.Second), At: now.Add(-time.Second), Traits: []ident.Trait{1 << 63, 2}}}
	report := poison.Report{
		Crashes: crashes, Completed: map[ident.Trait]time.Time{2: now.Add(-3 * time.Second)},
		Working: map[poison.Endpoint]time.Time{crashes[0].Endpoint: now.Add(-time.Second)}, Blamed: []ident.Trait{1 << 63},
	}
	equal(roundTrip(t, FromReport(report, now)).ToReport(now), report)
	equal(roundTrip(t, FromSuspects([]poison.Suspect{{Trait: 5}})).ToTraits(), []ident.Trait{5})
	limits := map[ident.Endpoint]ident.Rate{"e": 0.5}
	equal(ToLimits(roundTrip(t, InFlightReply{Limits: FromLimits(limits)}).Limits), limits)
	acquire := quota.AcquireRequest{Tokens: 1, Refund: quota.Refund{Requests: 2, Tokens: 3}, RefundOnly: true}
	equal(roundTrip(t, FromAcquireRequest("a", acquire)).ToAcquireRequest(), acquire)
	equal(Acquire{Tokens: -1, RefundRequests: -2, RefundTokens: -3}.ToAcquireRequest(), quota.AcquireRequest{})
	levels := quota.Levels{Requests: quota.Level{Level: 1.5, Burst: 2}, Tokens: quota.Level{Level: -3, Burst: 4}}
	handover := roundTrip(t, Handover{Node: "n", Run: 1 << 63, Sequence: 2, Buckets: FromLevels(map[ident.ClientAccount]quota.Levels{"b": levels, "a": {}})})
	equal(handover.Buckets[1].ToLevels(), levels)
	equal(handover.Buckets[0], HandedBucket{Account: "a"})
	inFlight := sched.InFlight{Request: "r", Node: "n", Endpoint: "e", Charge: 3, Started: true}
	equal(roundTrip(t, FromInFlight(inFlight)).ToInFlight("n"), inFlight)
	estimate := sched.EndpointEstimate{Endpoint: "e", Window: 1, PrefillRate: 2.5, InterTokenLatency: 3}
	equal(roundTrip(t, FromEndpointEstimate(estimate)).ToEndpointEstimate(), estimate)
	estimate.Load = adapt.Estimate{Slots: 4, Limit: 2, PerUnit: []time.Duration{5, 6, 7, 8}}
	equal(roundTrip(t, FromEndpointEstimate(estimate)).ToEndpointEstimate(), estimate)
	id, estimates := roundTrip(t, FromEstimates(ident.CellID{Pool: "t/p", Index: 3}, []sched.EndpointEstimate{estimate})).ToEstimates()
	equal(id, ident.CellID{Pool: "t/p", Index: 3})
	equal(estimates, []sched.EndpointEstimate{estimate})
	statement := sched.Statement{Occupancy: &sched.Occupancy{Running: 1, Waiting: 2, Pace: 130}}
	equal(roundTrip(t, FromStatement(&statement)).ToStatement(), statement)
	closeRequest := admit.CloseRequest{Pool: "p", Level: 2, Run: 1 << 63, Epoch: 4}
	equal(roundTrip(t, FromCloseRequest("n", closeRequest)).ToCloseRequest(), closeRequest)
	m := member.Member{ID: "n", Region: "r", Zone: "z", PeerAddress: "p", CallerAddress: "c", State: member.Leaving, Suspect: true, Incarnation: 8, Settings: 9}
	equal(roundTrip(t, FromMembers([]member.Member{m})).ToMembers(), []member.Member{m})
	claim := claims.Claim{Key: claims.Key{Account: "a", Key: "k"}, Request: "r", Node: "n", Token: "t", Digest: 1 << 63, Created: time.UnixMilli(77), Idempotent: true}
	equal(roundTrip(t, FromClaim(claim, time.Second)).ToClaim(), claim)
	result := claims.Result{Outcome: claims.Settled, Request: "r", Node: "n", Stored: &claims.Stored{Status: 201, ContentType: "x", Body: []byte("b")}}
	equal(roundTrip(t, FromClaimResult(result)).ToClaimResult(), result)
	head := answer.Head{Status: 200, Header: http.Header{"X": {"y", "z"}}, Endpoint: "e", Request: "r"}
	equal(roundTrip(t, FromHead(head)).ToHead(), head)
	chunk := answer.Chunk{Index: 1, CumulativeTokens: 2, Data: []byte("d"), Last: true, FinishReason: "stop", Usage: answer.Usage{PromptTokens: 3, CachedTokens: 4, OutputTokens: 5}}
	equal(roundTrip(t, FromChunk(chunk)).ToChunk(), chunk)
	refusal := &refuse.Refusal{Reason: "x", Message: "m", RunState: refuse.Unknown, Tier: "t", RetryAfter: 5}
	equal(roundTrip(t, FromRefusal(refusal)).ToRefusal(), refusal)
	records := []trace.Record{{
		Time: now, Node: "n", Request: "r", Event: trace.Granted, Account: "a", Tier: "t", Pool: "p", Cell: "c", Endpoint: "e",
		Reason: "x", Considered: "e f", Waiting: 1, Cached: 2, Sequence: 3, Waited: 4, Settings: 5,
	}}
	equal(roundTrip(t, FromRecords(records)).ToRecords(), records)
	update := follow.Update{Head: repo.Head{Version: 3, Files: map[string]repo.File{"f": {Hash: "h", ChangedIn: 2}}}, Texts: map[string][]byte{"h": []byte("t")}}
	got := roundTrip(t, FromUpdate(update)).ToUpdate()
	equal(got.Texts, update.Texts)
	equal(got.Head.Version, update.Head.Version)
	equal(got.Head.Files, update.Head.Files)
}

func testGrantRequest(blocks int) *sched.GrantRequest {
	r := &sched.GrantRequest{
		Request: "06h3x5aasw7ytxyd5y9cez0r20", Node: "entry-17", Tier: 3, Account: "ekin/grain_union", Weight: 4,
		Prompt: 6000, Output: 600, Deadline: now.Add(time.Minute),
	}
	for i := range blocks {
		r.Prefix = append(r.Prefix, ident.Fingerprint(1<<63+uint64(i)*1e15))
	}
	return r
}

// TestGrantRequest checks that a grant request carries the time remaining, so
// that the receiver computes the deadline from its own clock.
func TestGrantRequest(t *testing.T) {
	sent := testGrantRequest(9)
	sent.Traits, sent.KnownLimits = []ident.Trait{1 << 63, 7}, map[ident.Endpoint]ident.Rate{"e": 2.5}
	sent.FirstTokenTarget, sent.FullTarget = 2*time.Second, 3*time.Second
	message := roundTrip(t, FromGrantRequest(sent, ident.CellID{Pool: "ekin/reports", Index: 3}, 7, now))
	receiverNow := now.Add(time.Hour)
	got := message.ToGrantRequest(receiverNow)
	qt.Assert(t, got.Deadline, qt.Equals, receiverNow.Add(time.Minute))
	got.Deadline = sent.Deadline
	qt.Assert(t, got.Request, qt.Equals, sent.Request)
	qt.Assert(t, got.Prefix, qt.DeepEquals, sent.Prefix)
	qt.Assert(t, got.Traits, qt.DeepEquals, sent.Traits)
	qt.Assert(t, got.KnownLimits, qt.DeepEquals, sent.KnownLimits)
	qt.Assert(t, [2]time.Duration{got.FirstTokenTarget, got.FullTarget}, qt.Equals, [2]time.Duration{2 * time.Second, 3 * time.Second})
	qt.Assert(t, [4]int{int(got.Tier), got.Weight, int(got.Prompt), int(got.Output)}, qt.Equals, [4]int{3, 4, 6000, 600})
	qt.Assert(t, message.CellID(), qt.Equals, ident.CellID{Pool: "ekin/reports", Index: 3})
}

// FuzzDecode checks that decoding and converting arbitrary bytes does not panic.
func FuzzDecode(f *testing.F) {
	for _, message := range []any{FromGrantRequest(testGrantRequest(3), ident.CellID{Pool: "p"}, 1, now), Gossip{Members: []Member{{ID: "n"}}}, Tree{Version: 1}} {
		body, err := cbor.Marshal(message)
		qt.Assert(f, err, qt.IsNil)
		f.Add(body)
	}
	f.Fuzz(func(_ *testing.T, body []byte) {
		if m, err := link.Decode[GrantRequest](body); err == nil {
			m.ToGrantRequest(now)
		}
		if m, err := link.Decode[Gossip](body); err == nil {
			m.ToMembers()
		}
		if m, err := link.Decode[Tree](body); err == nil {
			m.ToUpdate()
		}
		if m, err := link.Decode[ClaimResult](body); err == nil {
			m.ToClaimResult()
		}
	})
}

// BenchmarkMessageSizes reports the sizes of the messages that a remote request
// needs, and of gossip.
func BenchmarkMessageSizes(b *testing.B) {
	size := func(message any) float64 {
		body, err := cbor.Marshal(message)
		qt.Assert(b, err, qt.IsNil)
		return float64(len(link.AppendFrame(nil, 0, body)))
	}
	for b.Loop() {
		size(Empty{})
	}
	cell := ident.CellID{Pool: "ekin/reports", Index: 3}
	b.ReportMetric(size(FromGrantRequest(testGrantRequest(0), cell, 7, now)), "grant_request_bytes")
	b.ReportMetric(size(FromGrantRequest(testGrantRequest(100), cell, 7, now)), "grant_request_100_blocks_bytes")
	b.ReportMetric(size(FromGrantResponse(sched.GrantResponse{Outcome: 1, Reason: sched.ReasonCachedPrefix, Endpoint: "ekin/reader_01", Address: "http://10.0.0.7:8000", Sequence: 9999, TTL: sched.GrantTTL, Cached: 5000, Considered: 9, Waited: time.Second})), "grant_response_bytes")
	b.ReportMetric(size(Progress{InterTokenLatency: 3e7}), "progress_bytes")
	b.ReportMetric(size(FromCompletion(sched.Completion{TimeToFirstToken: 1e9, InterTokenLatency: 3e7, Uncached: 1000, Cached: 5000, Output: 600})), "completion_bytes")
	m := member.Member{ID: "entry-117", Region: "central_anatolia", Zone: "anadolu_a", PeerAddress: "10.0.0.11:8443", CallerAddress: "10.0.0.11:8080", Incarnation: 1 << 50, Settings: 4400}
	b.ReportMetric(size(FromMembers([]member.Member{m, m})), "gossip_of_2_bytes")
	b.ReportMetric(size(FromMembers([]member.Member{m, m, m})), "gossip_of_3_bytes")
	c := claims.Claim{Key: claims.Key{Account: "ekin/grain_union", Key: "claim-2026-0001"}, Request: "06h3x5aasw7ytxyd5y9cez0r20", Node: "entry-17", Token: "06h3x5aasw7ytxyd5y9cez0r21", Digest: 1 << 63}
	b.ReportMetric(size(FromClaim(c, time.Minute)), "claim_bytes")
}
