package wire

import (
	"bufio"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/process/ident"
)

// decoders holds the decoder of each message and of each part of one.
var decoders = map[string]func([]byte) (any, error){
	"Follow":              decode[Follow],
	"Position":            decode[Position],
	"Cursor":              decode[Cursor],
	"Changes":             decode[Changes],
	"Row":                 decode[Row],
	"Claim":               decode[Claim],
	"ClaimResult":         decode[ClaimResult],
	"Stored":              decode[Stored],
	"ClaimEnd":            decode[ClaimEnd],
	"Join":                decode[Join],
	"Head":                decode[Head],
	"Chunk":               decode[Chunk],
	"Refusal":             decode[Refusal],
	"Explain":             decode[Explain],
	"Records":             decode[Records],
	"Record":              decode[Record],
	"Acquire":             decode[Acquire],
	"Acquired":            decode[Acquired],
	"ShareRequest":        decode[ShareRequest],
	"Shares":              decode[Shares],
	"Crashes":             decode[Crashes],
	"Crash":               decode[Crash],
	"Working":             decode[Working],
	"CrashQuery":          decode[CrashQuery],
	"CompletedTraits":     decode[CompletedTraits],
	"Detour":              decode[Detour],
	"DetourData":          decode[DetourData],
	"DetourHead":          decode[DetourHead],
	"DetourEnd":           decode[DetourEnd],
	"EndpointEstimate":    decode[EndpointEstimate],
	"Estimates":           decode[Estimates],
	"Handover":            decode[Handover],
	"HandedBucket":        decode[HandedBucket],
	"Gossip":              decode[Gossip],
	"IndirectProbe":       decode[IndirectProbe],
	"IndirectProbeResult": decode[IndirectProbeResult],
	"Member":              decode[Member],
	"Origins":             decode[Origins],
	"OriginQuery":         decode[OriginQuery],
	"OriginReply":         decode[OriginReply],
	"ReleaseQuery":        decode[ReleaseQuery],
	"Releases":            decode[Releases],
	"PoolReleases":        decode[PoolReleases],
	"RolloutStep":         decode[RolloutStep],
	"RolloutReply":        decode[RolloutReply],
	"RolloutPace":         decode[RolloutPace],
	"RolloutCount":        decode[RolloutCount],
	"RolloutEntryAnswers": decode[RolloutEntryAnswers],
	"RolloutQuery":        decode[RolloutQuery],
	"RolloutStatus":       decode[RolloutStatus],
	"Started":             decode[Started],
	"VersionNotice":       decode[VersionNotice],
	"TreeQuery":           decode[TreeQuery],
	"Tree":                decode[Tree],
	"TreeFile":            decode[TreeFile],
	"Version":             decode[Version],
	"LedgerReplica":       decode[LedgerReplica],
	"GrantRequest":        decode[GrantRequest],
	"GrantResponse":       decode[GrantResponse],
	"IdleSlots":           decode[IdleSlots],
	"Progress":            decode[Progress],
	"Completion":          decode[Completion],
	"InFlightQuery":       decode[InFlightQuery],
	"InFlightReply":       decode[InFlightReply],
	"InFlight":            decode[InFlight],
	"CloseTiers":          decode[CloseTiers],
}

func decode[T any](body []byte) (any, error) { return link.Decode[T](body) }

// removedKeys holds the keys that messages of earlier builds have and no later one may use for
// something else.
var removedKeys = map[string][]uint64{"OriginReply": {4, 5, 6}}

// TestMessagesOfOtherBuilds guards against messages that another build cannot read while nodes
// of both run. The files of testdata have each message as the build of a commit encoded it, with
// no field empty. It has to be read, with unknown fields, without any field, and with values of
// enumerations that are not known yet.
func TestMessagesOfOtherBuilds(t *testing.T) {
	files, err := filepath.Glob("testdata/*.golden")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, files, qt.HasLen, 3)
	known := map[string]bool{}
	for _, file := range files {
		f, err := os.Open(file)
		qt.Assert(t, err, qt.IsNil)
		defer f.Close() //nolint:errcheck // it is only read.
		for lines := bufio.NewScanner(f); lines.Scan(); {
			name, body, _ := strings.Cut(lines.Text(), " ")
			known[name] = true
			raw, err := hex.DecodeString(body)
			qt.Assert(t, err, qt.IsNil)
			t.Run(filepath.Base(file)+"/"+name, func(t *testing.T) { checkMessage(t, name, raw) })
		}
	}
	qt.Check(t, known, qt.HasLen, len(decoders))
}

func checkMessage(t *testing.T, name string, raw []byte) {
	qt.Assert(t, decoders[name], qt.IsNotNil)
	message, err := decoders[name](raw)
	qt.Assert(t, err, qt.IsNil)
	fields := fieldsOf(t, raw)
	again := fieldsOf(t, encode(t, message))
	for key, value := range fields {
		if !isRemoved(name, key) {
			qt.Check(t, fmt.Sprint(again[key]), qt.Equals, fmt.Sprint(value), qt.Commentf("key %v", key))
		}
	}

	withUnknown, err := decoders[name](encode(t, addUnknown(fieldsOf(t, raw), reflect.TypeOf(message))))
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, withUnknown, qt.DeepEquals, message)

	for key, value := range fields {
		without := fieldsOf(t, raw)
		delete(without, key)
		convert(t, name, encode(t, without))
		if _, isInteger := value.(uint64); isInteger {
			without[key] = uint64(200)
			convert(t, name, encode(t, without))
		}
	}
}

// convert decodes a message and calls its conversions, which must not panic.
func convert(t *testing.T, name string, raw []byte) {
	message, err := decoders[name](raw)
	qt.Assert(t, err, qt.IsNil)
	v := reflect.ValueOf(message)
	for i := range v.NumMethod() {
		method := v.Method(i)
		if !strings.HasPrefix(v.Type().Method(i).Name, "To") {
			continue
		}
		var args []reflect.Value
		for i := range method.Type().NumIn() {
			switch method.Type().In(i) {
			case reflect.TypeFor[time.Time]():
				args = append(args, reflect.ValueOf(now))
			case reflect.TypeFor[ident.NodeID]():
				args = append(args, reflect.ValueOf(ident.NodeID("n")))
			}
		}
		for _, result := range method.Call(args) {
			_ = fmt.Sprintf("%+v", result)
		}
	}
}

func encode(t *testing.T, message any) []byte {
	raw, err := cbor.Marshal(message)
	qt.Assert(t, err, qt.IsNil)
	return raw
}

func fieldsOf(t *testing.T, raw []byte) map[any]any {
	var fields map[any]any
	qt.Assert(t, cbor.Unmarshal(raw, &fields), qt.IsNil)
	return fields
}

func isRemoved(name string, key any) bool {
	for _, removed := range removedKeys[name] {
		if key == any(removed) {
			return true
		}
	}
	return false
}

// addUnknown adds fields that no build has to a message and all of its parts.
func addUnknown(value any, of reflect.Type) any {
	switch of.Kind() {
	case reflect.Pointer:
		return addUnknown(value, of.Elem())
	case reflect.Slice:
		if list, ok := value.([]any); ok {
			for i := range list {
				list[i] = addUnknown(list[i], of.Elem())
			}
		}
	case reflect.Map:
		if fields, ok := value.(map[any]any); ok {
			for key := range fields {
				fields[key] = addUnknown(fields[key], of.Elem())
			}
		}
	case reflect.Struct:
		fields, ok := value.(map[any]any)
		if !ok {
			return value
		}
		for i := range of.NumField() {
			number, _, _ := strings.Cut(of.Field(i).Tag.Get("cbor"), ",")
			key, err := strconv.ParseUint(number, 10, 64)
			if part, ok := fields[key]; ok && err == nil {
				fields[key] = addUnknown(part, of.Field(i).Type)
			}
		}
		fields[uint64(120)], fields[uint64(121)], fields["new"] = "text", map[any]any{1: []any{1.5, nil}}, true
	}
	return value
}

// TestUnknownMemberState guards against a state of a later build that is read as another one,
// which nodes would pass on.
func TestUnknownMemberState(t *testing.T) {
	qt.Check(t, FromMember(Member{State: 9}.ToMember()).State, qt.Equals, uint8(9))
}
