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
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/process/clock"
	"goldcrestwick/internal/process/trace"
	"goldcrestwick/internal/request/ident"
)

var (
	private = ed25519.NewKeyFromSeed([]byte(strings.Repeat("k", ed25519.SeedSize)))
	public  = private.Public().(ed25519.PublicKey) //nolint:errcheck,revive // always this type.
	errAway = errors.New("away")
)

func record(i int) Record {
	return Record{Clock: clock.Time(i), Record: trace.Record{
		Time: time.Unix(int64(i), 5), Node: "n1", Request: ident.RequestID(fmt.Sprint("r", i)), Event: trace.Granted,
		Account: "a", Tier: "top", Endpoint: "e", Sequence: uint64(i),
	}}
}

// chain makes blocks of so many records each.
func chain(blocks, records int) []Block {
	var all []Block
	var before Hash
	for b := range blocks {
		var list []Record
		for r := range records {
			list = append(list, record(b*records+r+1))
		}
		block := seal(Chain{"n1", 7}, uint64(b*records+1), before, list, private)
		before = block.After
		all = append(all, block)
	}
	return all
}

func faultsOf(t *testing.T, blocks []Block) string {
	decoded, err := Decode(Encode(blocks))
	qt.Assert(t, err, qt.IsNil)
	var lines []string
	for _, f := range Verify(decoded, public) {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// TestVerify changes a ledger in every way that a record can be changed,
// missing or moved, and checks that the fault is named.
func TestVerify(t *testing.T) {
	qt.Assert(t, faultsOf(t, chain(4, 3)), qt.Equals, "")
	twice := append(chain(4, 3), chain(4, 3)[1])
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
			b[3] = seal(b[3].Chain, b[3].First, b[3].Before, b[3].Records, other)
			return b
		}, "record 10: the block's head or signature was changed"},
		"forked": {func(b []Block) []Block {
			return append(b, seal(b[1].Chain, b[1].First, b[1].Before, []Record{record(99)}, private))
		}, "two different records have this number"},
		"joined": {func(b []Block) []Block {
			b[2] = seal(b[2].Chain, b[2].First, Hash{1}, b[2].Records, private)
			return b
		}, "record 7: the record does not follow the one before"},
	} {
		qt.Assert(t, faultsOf(t, c.change(chain(4, 3))), qt.Contains, c.fault, qt.Commentf(name))
	}
}

// TestEveryBit flips each bit of an object: it cannot be read, or has a fault.
func TestEveryBit(t *testing.T) {
	raw := Encode(chain(2, 2))
	want := fmt.Sprintf("%+v", Merge(chain(2, 2)))
	for i := range len(raw) * 8 {
		changed := append([]byte(nil), raw...)
		changed[i/8] ^= 1 << (i % 8)
		blocks, err := Decode(changed)
		if err != nil || len(Verify(blocks, public)) > 0 {
			continue
		}
		qt.Assert(t, fmt.Sprintf("%+v", Merge(blocks)), qt.Equals, want, qt.Commentf("bit %d", i))
	}
}

// TestStoreAway keeps the object store away for an hour and checks that every
// record comes through, and that a longer absence is noted and refused.
func TestStoreAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var away atomic.Bool
		away.Store(true)
		objects := map[string][]byte{}
		w := &Writer{Node: "n1", Key: private, Clock: &clock.Clock{}}
		w.Put = func(_ context.Context, name string, body []byte) error {
			if away.Load() {
				return errAway
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
				qt.Assert(t, w.Add(record(added).Record), qt.IsTrue)
			}
		}
		qt.Assert(t, w.Kept(), qt.Equals, added)
		qt.Assert(t, w.Add(trace.Record{Event: trace.GrantRequested}), qt.IsTrue)
		for !w.IsFull() {
			added++
			w.Add(record(added).Record)
		}
		qt.Assert(t, w.Add(record(0).Record), qt.IsFalse)
		away.Store(false)
		cancel()
		<-done
		var all []Block
		for _, raw := range objects {
			blocks, err := Decode(raw)
			qt.Assert(t, err, qt.IsNil)
			all = append(all, blocks...)
		}
		qt.Assert(t, Verify(all, public), qt.HasLen, 0)
		proved, left := 0, 0
		for _, r := range Merge(all) {
			if r.Event != trace.LeftOut {
				proved++
				continue
			}
			n := 0
			fmt.Sscan(r.Reason, &n) //nolint:errcheck // 0 fails below.
			left += n
		}
		qt.Assert(t, [2]int{proved, left}, qt.Equals, [2]int{added, 2})
		qt.Assert(t, w.Kept(), qt.Equals, 0)
	})
}

// TestHolder checks that a dead node's blocks are written and a living one's
// forgotten once it has written them itself.
func TestHolder(t *testing.T) {
	h := &Replicas{}
	blocks := chain(4, 3)
	for _, b := range blocks[:3] {
		qt.Assert(t, h.Add(b, 0), qt.IsTrue)
	}
	qt.Assert(t, h.Add(blocks[3], 6), qt.IsTrue)
	qt.Assert(t, h.Count(), qt.Equals, 2)
	var written []Block
	put := func(_ context.Context, _ string, body []byte) error {
		found, err := Decode(body)
		written = append(written, found...)
		return err
	}
	h.Recover(t.Context(), func(ident.NodeID) bool { return true }, put)
	qt.Assert(t, written, qt.HasLen, 0)
	h.Recover(t.Context(), func(ident.NodeID) bool { return false }, func(context.Context, string, []byte) error { return errAway })
	qt.Assert(t, h.Count(), qt.Equals, 2)
	h.Recover(t.Context(), func(ident.NodeID) bool { return false }, put)
	qt.Assert(t, h.Count(), qt.Equals, 0)
	qt.Assert(t, Verify(append(written, blocks[:2]...), public), qt.HasLen, 0)
}

// TestPack checks that packing loses nothing, and reports how small records of
// passed requests become.
func TestPack(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2)) //nolint:gosec // a fixed seed.
	w := &Writer{Node: "front-konya-a-1", Clock: &clock.Clock{}}
	w.Key = private
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
	w.Cut(t.Context())
	blocks := w.blocks
	packed := Pack(Encode(blocks))
	got, err := Unpack(packed)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, Encode(got), qt.DeepEquals, Encode(blocks))
	_, err = Unpack(packed[:len(packed)/2])
	qt.Assert(t, err, qt.IsNotNil)
	t.Logf("%d records: %d bytes each, %d packed", len(blocks[0].Records), len(Encode(blocks))/len(blocks[0].Records), len(packed)/len(blocks[0].Records))
}

// TestAge checks the order in which objects are dropped from a full store.
func TestAge(t *testing.T) {
	names := []string{
		"ledger/b/1700000000200/000000000001-000000000009", "ledger/a/1700000000100/000000000010-000000000019",
		"ledger/c/1700000000100/000000000001-000000000009", "ledger/odd",
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(Age(a), Age(b)) })
	qt.Assert(t, names[0], qt.Equals, "ledger/odd")
	qt.Assert(t, names[1], qt.Contains, "/c/")
	qt.Assert(t, names[2], qt.Contains, "/a/")
	qt.Assert(t, names[3], qt.Contains, "/b/")
}
