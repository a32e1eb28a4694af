package ledger

import (
	"cmp"
	"context"
	"crypto/ed25519"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/process/clock"
	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/trace"
)

var (
	privateKey   = ed25519.NewKeyFromSeed([]byte(strings.Repeat("k", ed25519.SeedSize)))
	publicKey    = privateKey.Public().(ed25519.PublicKey) //nolint:errcheck,revive // Public always returns this type.
	errStoreDown = errors.New("store unavailable")
)

func testRecord(i int) Record {
	return Record{Clock: clock.Time(i), Record: trace.Record{
		Time: time.Unix(int64(i), 5), Node: "n1", Request: ident.RequestID(fmt.Sprint("r", i)), Event: trace.Granted,
		Account: "a", Tier: "top", Endpoint: "e", Sequence: uint64(i),
	}}
}

// testChain returns a chain of blocks with the given number of records each.
func testChain(blocks, records int) []Block {
	var all []Block
	var prevHash Hash
	for b := range blocks {
		var list []Record
		for r := range records {
			list = append(list, testRecord(b*records+r+1))
		}
		block := sealBlock(Chain{"n1", 7}, uint64(b*records+1), prevHash, list, privateKey)
		prevHash = block.LastHash
		all = append(all, block)
	}
	return all
}

// faultsOf returns the faults that Verify finds after an encoding round trip, one
// per line.
func faultsOf(t *testing.T, blocks []Block) string {
	decoded, err := Decode(Encode(blocks))
	qt.Assert(t, err, qt.IsNil)
	var lines []string
	for _, f := range Verify(decoded, publicKey) {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// TestVerify changes, removes and moves records and blocks of a ledger and checks
// that Verify reports the fault.
func TestVerify(t *testing.T) {
	qt.Assert(t, faultsOf(t, testChain(4, 3)), qt.Equals, "")
	twice := append(testChain(4, 3), testChain(4, 3)[1])
	qt.Assert(t, faultsOf(t, twice), qt.Equals, "")
	for name, c := range map[string]struct {
		change func([]Block) []Block
		fault  string
	}{
		"changed":       {func(b []Block) []Block { b[1].Records[1].Tier = "low"; return b }, "record 4: a record from here to 6 was changed"},
		"changed clock": {func(b []Block) []Block { b[1].Records[1].Clock++; return b }, "record 4: a record from here to 6 was changed"},
		"moved": {func(b []Block) []Block {
			r := b[2].Records
			r[0], r[1] = r[1], r[0]
			return b
		}, "record 7: a record from here to 9 was changed"},
		"removed":       {func(b []Block) []Block { b[1].Records = b[1].Records[:2]; return b }, "record 4: the block's head or signature was changed"},
		"missing":       {func(b []Block) []Block { return append(b[:1], b[2:]...) }, "record 4: the records from here to 6 are missing"},
		"missing start": {func(b []Block) []Block { return b[1:] }, "record 1: the records from here to 3 are missing"},
		"renumbered":    {func(b []Block) []Block { b[2].First = 4; return b }, "record 4: the block's head or signature was changed"},
		"other key": {func(b []Block) []Block {
			other := ed25519.NewKeyFromSeed([]byte(strings.Repeat("x", ed25519.SeedSize)))
			b[3] = sealBlock(b[3].Chain, b[3].First, b[3].PrevHash, b[3].Records, other)
			return b
		}, "record 10: the block's head or signature was changed"},
		"forked": {func(b []Block) []Block {
			return append(b, sealBlock(b[1].Chain, b[1].First, b[1].PrevHash, []Record{testRecord(99)}, privateKey))
		}, "two different records have this number"},
		"joined": {func(b []Block) []Block {
			b[2] = sealBlock(b[2].Chain, b[2].First, Hash{1}, b[2].Records, privateKey)
			return b
		}, "record 7: the record does not follow the one before"},
	} {
		qt.Assert(t, faultsOf(t, c.change(testChain(4, 3))), qt.Contains, c.fault, qt.Commentf(name))
	}
}

// TestBitFlips flips each bit of an object and checks that decoding fails, Verify
// reports a fault or the records are unchanged.
func TestBitFlips(t *testing.T) {
	raw := Encode(testChain(2, 2))
	want := fmt.Sprintf("%+v", Merge(testChain(2, 2)))
	for i := range len(raw) * 8 {
		changed := append([]byte(nil), raw...)
		changed[i/8] ^= 1 << (i % 8)
		blocks, err := Decode(changed)
		if err != nil || len(Verify(blocks, publicKey)) > 0 {
			continue
		}
		qt.Assert(t, fmt.Sprintf("%+v", Merge(blocks)), qt.Equals, want, qt.Commentf("bit %d", i))
	}
}

// TestStoreUnavailable checks that every record of an hour without the object
// store is written later, and that a longer outage fills the ledger: further
// records are refused and their number is recorded.
func TestStoreUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var isDown atomic.Bool
		isDown.Store(true)
		objects := map[string][]byte{}
		w := &Writer{Node: "n1", Key: privateKey, Clock: &clock.Clock{}}
		w.Put = func(_ context.Context, name string, body []byte) error {
			if isDown.Load() {
				return errStoreDown
			}
			objects[name] = body
			return nil
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			w.Run(ctx)
			close(done)
		}()
		const perSecond, hour = 30, 3600
		added := 0
		for range hour {
			time.Sleep(time.Second)
			for range perSecond {
				added++
				qt.Assert(t, w.Add(testRecord(added).Record), qt.IsTrue)
			}
		}
		qt.Assert(t, w.Pending(), qt.Equals, added)
		qt.Assert(t, w.Add(trace.Record{Event: trace.GrantRequested}), qt.IsTrue)
		for !w.IsFull() {
			added++
			w.Add(testRecord(added).Record)
		}
		qt.Assert(t, w.Add(testRecord(0).Record), qt.IsFalse)
		isDown.Store(false)
		cancel()
		<-done
		var all []Block
		for _, raw := range objects {
			blocks, err := Decode(raw)
			qt.Assert(t, err, qt.IsNil)
			all = append(all, blocks...)
		}
		qt.Assert(t, Verify(all, publicKey), qt.HasLen, 0)
		recorded, omitted := 0, 0
		for _, r := range Merge(all) {
			if r.Event != trace.RecordsOmitted {
				recorded++
				continue
			}
			n := 0
			fmt.Sscan(r.Reason, &n) //nolint:errcheck // n stays 0 on error, which fails below.
			omitted += n
		}
		qt.Assert(t, [2]int{recorded, omitted}, qt.Equals, [2]int{added, 2})
		qt.Assert(t, w.Pending(), qt.Equals, 0)
	})
}

// TestReplicas checks that the blocks of a dead node are written, and that those
// of a live node are removed once the node has written them.
func TestReplicas(t *testing.T) {
	r := &Replicas{}
	blocks := testChain(4, 3)
	for _, b := range blocks[:3] {
		qt.Assert(t, r.Add(b, 0), qt.IsTrue)
	}
	qt.Assert(t, r.Add(blocks[3], 6), qt.IsTrue)
	qt.Assert(t, r.Count(), qt.Equals, 2)
	var written []Block
	put := func(_ context.Context, _ string, body []byte) error {
		found, err := Decode(body)
		written = append(written, found...)
		return err
	}
	r.Recover(t.Context(), func(ident.NodeID) bool { return true }, put)
	qt.Assert(t, written, qt.HasLen, 0)
	r.Recover(t.Context(), func(ident.NodeID) bool { return false }, func(context.Context, string, []byte) error { return errStoreDown })
	qt.Assert(t, r.Count(), qt.Equals, 2)
	r.Recover(t.Context(), func(ident.NodeID) bool { return false }, put)
	qt.Assert(t, r.Count(), qt.Equals, 0)
	qt.Assert(t, Verify(append(written, blocks[:2]...), publicKey), qt.HasLen, 0)
}

// TestReplicasAddedDuringRecover checks that a block which arrives while the earlier
// ones are written is kept, also if their number stays the same.
func TestReplicasAddedDuringRecover(t *testing.T) {
	r := &Replicas{}
	blocks := testChain(3, 3)
	qt.Assert(t, r.Add(blocks[0], 0), qt.IsTrue)
	qt.Assert(t, r.Add(blocks[1], 0), qt.IsTrue)
	r.Recover(t.Context(), func(ident.NodeID) bool { return false }, func(context.Context, string, []byte) error {
		qt.Check(t, r.Add(blocks[2], blocks[0].Last()), qt.IsTrue)
		return nil
	})
	qt.Assert(t, r.Count(), qt.Equals, 1)
}

// TestRewrite checks that after the store was restored from an older copy, the
// writer writes the lost objects again, and the ledger is whole.
func TestRewrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		objects := map[string][]byte{}
		w := &Writer{Node: "n1", Key: privateKey, Clock: &clock.Clock{}}
		w.Put = func(_ context.Context, name string, body []byte) error {
			objects[name] = body
			return nil
		}
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { w.Run(ctx) })
		time.Sleep(time.Second)
		for i := range 40 {
			time.Sleep(time.Second)
			w.Add(testRecord(i).Record)
		}
		for name := range objects {
			if SortKey(name) > SortKey(Prefix+"n1/"+fmt.Sprint(w.chain.Start)+"/000000000020-0") {
				delete(objects, name)
			}
		}
		qt.Assert(t, w.Rewrite(ctx), qt.IsNil)
		cancel()
		running.Wait()
		var all []Block
		for _, raw := range objects {
			blocks, err := Decode(raw)
			qt.Assert(t, err, qt.IsNil)
			all = append(all, blocks...)
		}
		qt.Assert(t, Verify(all, publicKey), qt.HasLen, 0)
		qt.Assert(t, Merge(all), qt.HasLen, 40)
	})
}

// TestPack checks that packing is lossless and that truncated data is rejected. It
// logs the packed size of the records of proxied requests.
func TestPack(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2)) //nolint:gosec // the fixed seed makes the test reproducible.
	w := &Writer{Node: "front-konya-a-1", Clock: &clock.Clock{}}
	w.Key = privateKey
	events := []trace.Event{trace.Accepted, trace.GrantRequested, trace.GrantTaken, trace.Granted, trace.Dispatched, trace.Finished}
	for range 100 {
		id := ident.RequestID(fmt.Sprintf("%016x", random.Uint64()))
		for _, event := range events {
			w.Add(trace.Record{
				Time: time.Now(), Node: w.Node, Request: id, Event: event, Account: "platform/rany240", Tier: "rank_1_0",
				Pool: "platform/kawu25a", Cell: "platform/kawu25a#0", Endpoint: ident.Endpoint(fmt.Sprintf("i-%010x", random.IntN(18))),
				Reason: "least_expected_time", Waited: time.Duration(random.IntN(1000)) * time.Microsecond, Settings: 7,
			})
		}
	}
	w.SealBlock(t.Context())
	blocks := w.unwritten
	packed := Pack(Encode(blocks))
	got, err := Unpack(packed)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, Encode(got), qt.DeepEquals, Encode(blocks))
	_, err = Unpack(packed[:len(packed)/2])
	qt.Assert(t, err, qt.IsNotNil)
	t.Logf("%d records: %d bytes each, %d packed", len(blocks[0].Records), len(Encode(blocks))/len(blocks[0].Records), len(packed)/len(blocks[0].Records))
}

// TestSortKey checks the order in which objects are deleted from a full store.
func TestSortKey(t *testing.T) {
	names := []string{
		"ledger/b/1700000000200/000000000001-000000000009", "ledger/a/1700000000100/000000000010-000000000019",
		"ledger/c/1700000000100/000000000001-000000000009", "ledger/odd",
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(SortKey(a), SortKey(b)) })
	qt.Assert(t, names[0], qt.Equals, "ledger/odd")
	qt.Assert(t, names[1], qt.Contains, "/c/")
	qt.Assert(t, names[2], qt.Contains, "/a/")
	qt.Assert(t, names[3], qt.Contains, "/b/")
}

// BenchmarkPack measures the packing of a block of 60 records.
func BenchmarkPack(b *testing.B) {
	w := &Writer{Node: "n1", Clock: &clock.Clock{}, Key: privateKey}
	for i := range 60 {
		w.Add(trace.Record{Time: time.Now(), Node: w.Node, Request: ident.RequestID(fmt.Sprint(i)), Event: trace.Granted, Pool: "platform/kawu25a"})
	}
	w.SealBlock(b.Context())
	encoded := Encode(w.unwritten)
	b.ReportAllocs()
	for b.Loop() {
		Pack(encoded)
	}
}
