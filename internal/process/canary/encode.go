package canary

import (
	"encoding/binary"
	"math"
	"slices"

	"github.com/rotisserie/eris"

	"goldcrestwick/internal/process/ident"
)

const (
	// encodingVersion is the first byte of an encoded Machine.
	encodingVersion = 2
	// unpacedVersion has no speeds of endpoints at its end, and unpacedSteps steps.
	unpacedVersion = 1
	unpacedSteps   = 4
	// maxEncoded keeps an encoded Machine below a row's 65,536 bytes, with room for the
	// order's own fields. Beyond it, durations of the old release and then the counts by
	// entry node are left out, which steps bring again.
	maxEncoded = 60_000
	// maxDecoded is the size of a row of the store.
	maxDecoded = 65_536
)

// omission is what is left out of an encoded Machine.
type omission uint8

const (
	nothing omission = iota
	recentDurations
	allDurations
	// durationsAndEntries leaves out the counts by entry node as well, which have about 90 bytes
	// a node and epoch: of 195 nodes they are more than half of a row.
	durationsAndEntries
)

// codec writes values to bytes, or reads them back: one description of the layout serves
// both. After a failure it does nothing more.
type codec struct {
	b         []byte
	isReading bool
	version   byte
	omits     omission
	err       error
}

// Encode returns the whole state, for Decode at another node. It has maxEncoded bytes at most.
func (m *Machine) Encode() []byte {
	var c *codec
	for omits := nothing; omits <= durationsAndEntries; omits++ {
		c = &codec{b: []byte{encodingVersion}, version: encodingVersion, omits: omits}
		if m.transfer(c); len(c.b) <= maxEncoded {
			break
		}
	}
	return c.b
}

// Decode replaces the state, but not Limits, by an encoded one. It fails on bytes that Encode
// did not write and leaves the state as it was.
func (m *Machine) Decode(b []byte) error {
	if len(b) > maxDecoded {
		return eris.Errorf("rollout state has %d bytes, more than a row", len(b))
	}
	if len(b) == 0 || (b[0] != encodingVersion && b[0] != unpacedVersion) {
		return eris.New("rollout state has an unknown version")
	}
	c := &codec{b: b[1:], isReading: true, version: b[0]}
	decoded := &Machine{Limits: m.Limits}
	decoded.transfer(c)
	if c.err == nil && len(c.b) > 0 {
		c.fail("bytes are left over")
	}
	if c.version == unpacedVersion {
		decoded.plan.convertStep()
	}
	if c.err == nil && !decoded.isValid() {
		c.fail("state out of range")
	}
	if c.err != nil {
		return eris.Wrap(c.err, "decode rollout state")
	}
	*m = *decoded
	return nil
}

// isValid reports that a decoded state is one that Step can continue.
func (m *Machine) isValid() bool {
	p, j := &m.plan, &m.judge
	isJudge := len(j.places) <= maxPlaces && len(j.paces.endpoints) <= maxPaces && len(j.routes) <= maxRoutes && (len(j.routes) == 0 || j.routes[allRoutes] != nil)
	isPlan := p.next >= 0 && p.next <= len(steps) && p.share >= 0 && p.share <= 1 && p.seen >= 0 && p.sent >= 0
	hasOrder := m.order.Target == "" || p.ramp >= MinRamp
	return m.state <= RolledBack && m.verdict <= Bad && isJudge && isPlan && hasOrder && m.usable >= 0 && m.clear >= 0
}

func (m *Machine) transfer(c *codec) {
	text(c, &m.order.Pool)
	text(c, &m.order.Target)
	integer(c, &m.order.Ramp)
	integer(c, &m.order.Version)
	integer(c, &m.state)
	integer(c, &m.verdict)
	text(c, &m.reason)
	m.plan.transfer(c)
	m.judge.transfer(c)
	boolean(c, &m.isWidened)
	integer(c, &m.widened)
	integer(c, &m.clear)
	for i := range m.recent {
		a := &m.recent[i]
		integer(c, &a.interval)
		integer(c, &a.old)
		integer(c, &a.target)
		integer(c, &a.oldEndpoints)
		integer(c, &a.targetUsable)
	}
	m.usualLoad.transfer(c)
	table(c, &m.sent, text[ident.Release], integer[int])
	integer(c, &m.usable)
	for i := range m.usables {
		integer(c, &m.usables[i])
	}
	if c.version >= encodingVersion {
		m.judge.paces.transfer(c)
	}
}

func (p *Plan) transfer(c *codec) {
	integer(c, &p.start)
	integer(c, &p.ramp)
	integer(c, &p.ready)
	boolean(c, &p.isReady)
	integer(c, &p.next)
	integer(c, &p.raised)
	integer(c, &p.answered)
	integer(c, &p.failures)
	integer(c, &p.sentBefore)
	integer(c, &p.seen)
	integer(c, &p.sent)
	number(c, &p.share)
}

func (j *Judge) transfer(c *codec) {
	text(c, &j.target)
	integer(c, &j.epochEnd)
	places := &j.places
	if c.omits >= allDurations {
		places = &map[place]*baseline{}
	}
	table(c, places, transferPlace, func(c *codec, b **baseline) {
		if *b == nil {
			*b = &baseline{}
		}
		previous, current := &(*b).previous, &(*b).current
		if c.omits == recentDurations {
			previous, current = &speeds{}, &speeds{}
		}
		for _, s := range []*speeds{&(*b).history, previous, current} {
			s.latency.transfer(c)
			s.interToken.transfer(c)
		}
	})
	table(c, &j.routes, text[string], func(c *codec, r **route) {
		if *r == nil {
			*r = &route{}
		}
		(*r).transfer(c)
	})
	integer(c, &j.entries.end)
	previous, current := &j.entries.previous, &j.entries.current
	if c.omits >= durationsAndEntries {
		previous, current = &map[Entry]Tally{}, &map[Entry]Tally{}
	}
	table(c, previous, transferEntry, transferTally)
	table(c, current, transferEntry, transferTally)
}

// transfer leaves out the endpoints with the entry nodes: they are fewer bytes, and lost ones only
// cause another try of slow endpoints.
func (p *paces) transfer(c *codec) {
	endpoints := &p.endpoints
	if c.omits >= durationsAndEntries {
		endpoints = &map[ident.Endpoint]tally{}
	}
	table(c, endpoints, text[ident.Endpoint], func(c *codec, t *tally) { t.transfer(c) })
	p.variance.transfer(c)
}

func transferPlace(c *codec, p *place) {
	text(c, &p.route)
	integer(c, &p.class)
}

func transferEntry(c *codec, e *Entry) {
	text(c, &e.Node)
	text(c, &e.Release)
}

func transferTally(c *codec, t *Tally) {
	integer(c, &t.Answers)
	integer(c, &t.Failures)
}

func (r *route) transfer(c *codec) {
	for k := range r.tests {
		number(c, &r.tests[k].ratio)
		number(c, &r.tests[k].sum)
		r.tests[k].seen.transfer(c)
		r.long[k].transfer(c)
		for i := range r.recent {
			r.recent[i][k].transfer(c)
		}
	}
}

func (t *tally) transfer(c *codec) {
	number(c, &t.trials)
	number(c, &t.adverse)
}

// transfer writes the buckets that are not empty: how many are skipped, and the number there.
func (h *Histogram) transfer(c *codec) {
	var used, next int
	for _, n := range h.Buckets {
		if n > 0 {
			used++
		}
	}
	integer(c, &used)
	if !c.isReading {
		for i, n := range h.Buckets {
			if n > 0 {
				skipped := i - next
				integer(c, &skipped)
				integer(c, &n)
				next = i + 1
			}
		}
		return
	}
	for ; used > 0 && c.err == nil; used-- {
		var skipped int
		var n uint32
		integer(c, &skipped)
		integer(c, &n)
		if skipped < 0 || skipped >= NumBuckets-next {
			c.fail("a histogram has too many buckets")
			return
		}
		h.Buckets[next+skipped] = n
		next += skipped + 1
	}
}

func (c *codec) fail(cause string) {
	if c.err == nil {
		c.err = eris.New(cause)
	}
}

// integer transfers an integer as a varint.
func integer[T ~int | ~int64 | ~uint8 | ~uint32](c *codec, v *T) {
	if !c.isReading {
		c.b = binary.AppendVarint(c.b, int64(*v))
		return
	}
	if c.err != nil {
		return
	}
	n, size := binary.Varint(c.b)
	if size <= 0 || int64(T(n)) != n {
		c.fail("a number is cut off or out of range")
		return
	}
	*v, c.b = T(n), c.b[size:]
}

// number transfers a float. Whole numbers, which most are, take a varint of two bytes or so.
func number(c *codec, v *float64) {
	n := int64(*v)
	isWhole := float64(n) == *v && math.Abs(*v) < 1<<50 && !math.Signbit(*v)
	boolean(c, &isWhole)
	if isWhole {
		integer(c, &n)
		if c.isReading {
			*v = float64(n)
		}
		return
	}
	if !c.isReading {
		c.b = binary.LittleEndian.AppendUint64(c.b, math.Float64bits(*v))
		return
	}
	if c.err == nil && len(c.b) < 8 {
		c.fail("a number is cut off")
	}
	if c.err == nil {
		*v, c.b = math.Float64frombits(binary.LittleEndian.Uint64(c.b)), c.b[8:]
		if math.IsNaN(*v) || math.IsInf(*v, 0) {
			c.fail("a number is not finite")
		}
	}
}

func boolean(c *codec, v *bool) {
	var n uint8
	if *v {
		n = 1
	}
	integer(c, &n)
	*v = n == 1
}

func text[T ~string](c *codec, v *T) {
	size := len(*v)
	integer(c, &size)
	if !c.isReading {
		c.b = append(c.b, *v...)
		return
	}
	if c.err == nil && (size < 0 || size > len(c.b)) {
		c.fail("a text is cut off")
	}
	if c.err == nil {
		*v, c.b = T(c.b[:size]), c.b[size:]
	}
}

// table transfers a map, in one order so that equal states have equal bytes. An empty one is
// read as nil.
func table[K comparable, V any](c *codec, v *map[K]V, key func(*codec, *K), value func(*codec, *V)) {
	size := len(*v)
	integer(c, &size)
	if !c.isReading {
		entries := make([]string, 0, size)
		for k, entry := range *v {
			e := &codec{omits: c.omits}
			key(e, &k)
			value(e, &entry)
			entries = append(entries, string(e.b))
		}
		slices.Sort(entries)
		for _, e := range entries {
			c.b = append(c.b, e...)
		}
		return
	}
	if size > 0 && c.err == nil {
		*v = map[K]V{}
	}
	for ; size > 0 && c.err == nil; size-- {
		var k K
		var entry V
		key(c, &k)
		value(c, &entry)
		if c.err == nil {
			(*v)[k] = entry
		}
	}
}
