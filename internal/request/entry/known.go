package entry

import (
	"goldcrestwick/internal/process/sched"
	"goldcrestwick/internal/request/ident"
	"goldcrestwick/internal/request/refuse"
)

// maxTraits bounds the beginnings of a prompt that are its traits, and thereby
// the size of its grant request.
const maxTraits = 16

// traitsOf returns the shortest beginnings of a prompt as its traits.
func traitsOf(prefix []ident.Fingerprint) []ident.Trait {
	var traits []ident.Trait
	for _, f := range prefix[:min(len(prefix), maxTraits)] {
		traits = append(traits, ident.Trait(f))
	}
	return traits
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
