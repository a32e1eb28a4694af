package entry

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"goldcrestwick/internal/process/ident"
	"goldcrestwick/internal/process/sched"
	"goldcrestwick/internal/request/refuse"
)

// maxTraits bounds the beginnings of a prompt that are its traits, and thereby
// the size of its grant request.
const maxTraits = 16

// traitsOf returns the shortest beginnings of a job's prompt and the account's whole
// request as its traits. A request to an application runner has none, since its body has
// not been read.
func traitsOf(j *Job) []ident.Trait {
	if j.Request.Kind == ident.ApplicationRunner {
		return nil
	}
	var traits []ident.Trait
	for _, f := range j.Request.Prefix[:min(len(j.Request.Prefix), maxTraits)] {
		traits = append(traits, ident.Trait(f))
	}
	var digest [8]byte
	binary.LittleEndian.PutUint64(digest[:], j.Request.Digest)
	whole := xxhash.Sum64(append(digest[:], j.Account.ID...))
	return append(traits, ident.Trait(whole))
}

// quarantineRefusal returns the refusal of a job with a quarantined trait,
// or nil.
func (e *Entry) quarantineRefusal(j *Job) *refuse.Refusal {
	if e.Quarantined == nil {
		return nil
	}
	trait, until, ok := e.Quarantined(j.Traits)
	if !ok {
		return nil
	}
	return refuse.NewQuarantined(trait, until)
}

// addKnownLimits adds the endpoints' rate limits to a request for a standby cell, which
// may have seen no answers yet. A cell's owner gets them when it takes the cell over.
func (e *Entry) addKnownLimits(req *sched.GrantRequest) {
	if e.KnownLimits != nil {
		req.KnownLimits = e.KnownLimits()
	}
}

func inFlightOf(req *sched.GrantRequest, g *Grant) sched.InFlight {
	return sched.InFlight{
		Request: req.Request, Node: req.Node, Endpoint: g.Response.Endpoint,
		Charge: req.Prompt + req.Output, Stream: req.Stream, Release: g.Response.Release,
	}
}
