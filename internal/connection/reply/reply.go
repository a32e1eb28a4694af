// Package reply checks the answers that are read from HTTP/1.1 connections.
//
// net/http accepts more than an intermediary may use: status codes out of range, blanks in the
// names of fields, chunks in an answer of HTTP/1.0. A Conn checks the head of an answer as its
// bytes are read, before net/http parses them, and whether the connection failed while the
// request was being sent. The rules are those of RFC 9110 and RFC 9112.
//
// # Usage
//
//	c := &reply.Conn{Conn: conn}
//	reader := bufio.NewReader(c)
//	c.Begin(nil) // before the request is sent
//	resp, err := http.ReadResponse(reader, req)
//	fault := reply.FaultOf(err)
package reply

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"syscall"
)

const (
	// MaxHeadBytes bounds what is read for the head of an answer, informational answers
	// included.
	MaxHeadBytes = 64 << 10
	// maxInformational is the number of informational answers (1xx) after which an answer is
	// given up.
	maxInformational = 8
	// maxQuotedBytes bounds the part of an answer that an error quotes.
	maxQuotedBytes = 40
)

// Fault is what is wrong with an answer. It is a label of metrics.
type Fault string

// The faults.
const (
	// StatusLine: the first line is no status line (RFC 9112, section 4).
	StatusLine Fault = "status_line"
	// Version: the version is not 1.x, whose framing is not known (RFC 9110, section 2.5).
	Version Fault = "version"
	// Status: the status code is outside of 100 to 599 (RFC 9110, section 15).
	Status Fault = "status"
	// Switching: the answer switches to a protocol that was not asked for (RFC 9110, section
	// 15.2.2).
	Switching Fault = "switching"
	// Informational: there are too many informational answers before the final one.
	Informational Fault = "informational"
	// FieldName: a line of the head has no valid field name (RFC 9112, section 5.1).
	FieldName Fault = "field_name"
	// FieldValue: a field's value has a control character (RFC 9110, section 5.5).
	FieldValue Fault = "field_value"
	// HeadLength: the head is longer than MaxHeadBytes.
	HeadLength Fault = "head_length"
	// HeadCut: the connection ended within the head (RFC 9112, section 8).
	HeadCut Fault = "head_cut"
	// Framing: where the body ends cannot be told (RFC 9112, sections 6.1 and 6.3).
	Framing Fault = "framing"
	// Reset: the connection was reset while the request was being sent, so that an answer
	// which the connection ends may not be whole (RFC 9112, sections 8 and 9.6).
	Reset Fault = "reset"
	// Unrequested: the answer came before the request.
	Unrequested Fault = "unrequested"
	// BodyCut: the connection ended within the body.
	BodyCut Fault = "body_cut"
	// Ended: the connection ended before the answer.
	Ended Fault = "ended"
	// Other: any other failure to read the answer.
	Other Fault = "other"
)

// Error is the error of an answer that must not be used.
type Error struct {
	Fault Fault
	// detail quotes at most maxQuotedBytes of the answer.
	detail string
	// cause is the error of the connection, nil without one.
	cause error
}

func (e *Error) Error() string { return "unusable answer: " + e.detail }

// Unwrap returns the error of the connection, or nil.
func (e *Error) Unwrap() error { return e.cause }

func newError(f Fault, format string, args ...any) error {
	return &Error{Fault: f, detail: fmt.Sprintf(format, args...)}
}

// quote returns the start of a part of an answer as a Go string.
func quote(text []byte) string { return fmt.Sprintf("%q", text[:min(len(text), maxQuotedBytes)]) }

// FaultOf returns the fault behind an error of reading an answer.
func FaultOf(err error) Fault {
	var unusable *Error
	switch {
	case errors.As(err, &unusable):
		return unusable.Fault
	case errors.Is(err, io.ErrUnexpectedEOF):
		return BodyCut
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return Reset
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrClosedPipe):
		return Ended
	}
	return Other
}

// IsFinalStatus reports whether a status code is that of a final answer (RFC 9110, section 15).
func IsFinalStatus(status int) bool { return status >= http.StatusOK && status <= maxStatus }

// CheckHead checks the head of a final answer that another node has read, perhaps one of an earlier
// build.
func CheckHead(status int, header http.Header) error {
	if !IsFinalStatus(status) {
		return newError(Status, "the status code is %d", status)
	}
	for name, values := range header {
		if !isToken([]byte(name)) {
			return newError(FieldName, "a field has the name %s", quote([]byte(name)))
		}
		for _, value := range values {
			if err := checkValue([]byte(value)); err != nil {
				return err
			}
		}
	}
	return nil
}

// IsDelimited reports whether the end of an answer can be told from the end of its connection
// (RFC 9112, section 6.3).
func IsDelimited(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Body == http.NoBody
}
