package reply

import (
	"bytes"
	"net/http"
)

// maxStatus is the largest status code (RFC 9110, section 15).
const maxStatus = 599

// head checks the bytes of an answer up to the end of its head, which come in parts of any length.
// The heads of informational answers may precede it.
type head struct {
	// isWhole is set once the head of the final answer has been checked.
	isWhole bool
	// bytes counts the bytes so far, and informational the informational answers.
	bytes         int
	informational int
	// line holds the start of a line whose end has not come.
	line []byte
	// hasStatusLine is set behind the status line of the current answer. status and isOldVersion
	// are what it states.
	hasStatusLine bool
	status        int
	isOldVersion  bool
	// hasFields is set behind the first field of the current answer.
	hasFields            bool
	hasCoding, hasLength bool
}

// hasBegun reports whether a part of the head has come, and not all of it.
func (h *head) hasBegun() bool { return !h.isWhole && (h.hasStatusLine || len(h.line) > 0) }

// check checks the next bytes of the answer. Those behind the head are not looked at.
func (h *head) check(b []byte) error {
	for len(b) > 0 && !h.isWhole {
		line, rest, hasEnd := bytes.Cut(b, []byte{'\n'})
		h.bytes += len(b) - len(rest)
		if h.bytes > MaxHeadBytes {
			return newError(HeadLength, "the head has more than %d bytes", MaxHeadBytes)
		}
		if !hasEnd {
			h.line = append(h.line, line...)
			return nil
		}
		if len(h.line) > 0 {
			h.line = append(h.line, line...)
			line = h.line
		}
		// A line may end without a carriage return (RFC 9112, section 2.2).
		if err := h.checkLine(bytes.TrimSuffix(line, []byte{'\r'})); err != nil {
			return err
		}
		h.line, b = h.line[:0], rest
	}
	return nil
}

func (h *head) checkLine(line []byte) error {
	switch {
	case !h.hasStatusLine:
		return h.checkStatusLine(line)
	case len(line) == 0:
		return h.finish()
	case line[0] == ' ' || line[0] == '\t':
		// A folded line belongs to the value before it; net/http replaces the line end by a blank (RFC
		// 9112, section 5.2).
		if !h.hasFields {
			return newError(FieldName, "white space before the first field")
		}
		return checkValue(line)
	}
	return h.checkField(line)
}

// checkStatusLine checks HTTP-version SP status-code [SP reason-phrase] (RFC 9112, section 4). More than
// one blank may precede the code.
func (h *head) checkStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte{' '})
	if len(version) != len("HTTP/1.1") || !bytes.HasPrefix(version, []byte("HTTP/")) || !isDigit(version[5]) || version[6] != '.' || !isDigit(version[7]) {
		return newError(StatusLine, "the status line is %s", quote(line))
	}
	if version[5] != '1' {
		return newError(Version, "the version is %s", quote(version))
	}
	code, reason, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte{' '})
	if len(code) != 3 || !isDigit(code[0]) || !isDigit(code[1]) || !isDigit(code[2]) {
		return newError(StatusLine, "the status line is %s", quote(line))
	}
	status := int(code[0]-'0')*100 + int(code[1]-'0')*10 + int(code[2]-'0')
	switch {
	case status < http.StatusContinue || status > maxStatus:
		return newError(Status, "the status code is %s", code)
	case status == http.StatusSwitchingProtocols:
		return newError(Switching, "the endpoint switches protocols")
	}
	h.hasStatusLine, h.status, h.isOldVersion = true, status, version[7] == '0'
	if hasControl(reason) {
		return newError(StatusLine, "a control character is in the reason phrase")
	}
	return nil
}

// checkField checks field-name ":" field-value (RFC 9112, section 5).
func (h *head) checkField(line []byte) error {
	name, value, hasColon := bytes.Cut(line, []byte{':'})
	if !hasColon || !isToken(name) {
		return newError(FieldName, "a field has the name %s", quote(name))
	}
	h.hasFields = true
	switch {
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		h.hasCoding = true
	case bytes.EqualFold(name, []byte("Content-Length")):
		h.hasLength = true
	}
	return checkValue(value)
}

func checkValue(text []byte) error {
	if hasControl(text) {
		return newError(FieldValue, "a control character is in the value of a field")
	}
	return nil
}

// finish checks the head of an answer as a whole, and begins the next one after that of an
// informational answer.
func (h *head) finish() error {
	switch {
	case h.hasCoding && h.hasLength:
		return newError(Framing, "the answer has a length and a transfer coding")
	case h.hasCoding && h.isOldVersion:
		return newError(Framing, "the answer of HTTP/1.0 has a transfer coding")
	}
	if h.status >= http.StatusOK {
		h.isWhole, h.line = true, nil
		return nil
	}
	if h.informational++; h.informational >= maxInformational {
		return newError(Informational, "%d informational answers precede the final one", maxInformational)
	}
	*h = head{bytes: h.bytes, informational: h.informational, line: h.line}
	return nil
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// isToken reports whether a text is a token (RFC 9110, section 5.6.2).
func isToken(text []byte) bool {
	for _, c := range text {
		isLetter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		if !isLetter && !isDigit(c) && bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), c) < 0 {
			return false
		}
	}
	return len(text) > 0
}

// hasControl reports whether a text has a control character other than a tab (RFC 9110, section 5.5;
// RFC 9112, section 4).
func hasControl(text []byte) bool {
	return bytes.ContainsFunc(text, func(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f })
}
