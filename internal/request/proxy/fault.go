package proxy

import (
	"errors"
	"net/http"
	"strconv"
	"strings"

	"goldcrestwick/internal/connection/reply"
)

// Faults of answers that package reply takes for valid.
const (
	// faultEncoding: the body has a content encoding that the caller did not ask for.
	faultEncoding reply.Fault = "content_encoding"
	// faultSignature: a successful answer has no signature.
	faultSignature reply.Fault = "signature"
	// faultRefusal: the status promises that the request did not run, and the endpoint does not.
	faultRefusal reply.Fault = "refusal"
	// faultIdentifier: the answer belongs to another request, or may.
	faultIdentifier reply.Fault = "identifier"
	// faultEvent: an event of a stream is not valid, or not the next one.
	faultEvent reply.Fault = "event"
)

// faultOf returns the fault behind an error of reading an answer.
func faultOf(err error) reply.Fault {
	switch {
	case errors.Is(err, errMismatched), errors.Is(err, errUnidentified):
		return faultIdentifier
	case errors.Is(err, errAnswerInStream), errors.Is(err, errEventTooLong), errors.Is(err, strconv.ErrSyntax), errors.Is(err, strconv.ErrRange):
		return faultEvent
	}
	return reply.FaultOf(err)
}

// isInvalid reports whether the error is that of an answer which is not valid, or not that of the
// request, rather than of the connection. It shows that the endpoint is reached.
func isInvalid(err error) bool {
	switch faultOf(err) {
	case reply.Ended, reply.HeadCut, reply.BodyCut, reply.Reset, reply.Other:
		return false
	}
	return true
}

// maxReasonBytes bounds the reason of a failed attempt, which may quote the answer.
const maxReasonBytes = 200

// bounded returns the first maxReasonBytes of a reason as valid UTF-8.
func bounded(reason string) string {
	return strings.ToValidUTF8(reason[:min(len(reason), maxReasonBytes)], "\uFFFD")
}

// statusOf returns the status of an answer without the endpoint's own reason phrase.
func statusOf(resp *http.Response) string {
	return strings.TrimSpace(strconv.Itoa(resp.StatusCode) + " " + http.StatusText(resp.StatusCode))
}
