package entry

import (
	"goldcrestwick/internal/process/sched"
	"goldcrestwick/internal/request/ident"
	"goldcrestwick/internal/request/refuse"
)

// maxPromptParts bounds the beginnings of a prompt that stand for its parts, and thereby
// the size of its grant request.
const maxPromptParts = 16

// partsOf returns the shortest beginnings of a prompt as its parts.
func partsOf(prefix []ident.Fingerprint) []ident.PromptPart {
	var parts []ident.PromptPart
	for _, f := range prefix[:min(len(prefix), maxPromptParts)] {
		parts = append(parts, ident.PromptPart(f))
	}
	return parts
}

// quarantineRefusal returns the refusal of a job with a quarantined part in its prompt,
// or nil.
func (e *Entry) quarantineRefusal(j *Job) *refuse.Refusal {
	if e.Quarantined == nil {
		return nil
	}
	part, until, ok := e.Quarantined(j.PromptParts)
	if !ok {
		return nil
	}
	return refuse.NewQuarantined(part, until)
}

// addKnownLimits adds the endpoints' rate limits to a request for a standby cell, which
// may have seen no answers yet. A cell's owner gets them when it takes the cell over.
func (e *Entry) addKnownLimits(req *sched.GrantRequest) {
	if e.KnownLimits != nil {
		req.KnownLimits = e.KnownLimits()
	}
}
