package conn

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
)

// hopByHopHeaders lists the headers that apply to a single connection (RFC 9110,
// section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEndHeader returns a copy of a header without its hop-by-hop fields: the known ones
// and those that its Connection field lists.
func EndToEndHeader(header http.Header) http.Header {
	endToEnd := header.Clone()
	if endToEnd == nil {
		endToEnd = http.Header{}
	}
	for _, list := range header.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			endToEnd.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		endToEnd.Del(name)
	}
	return endToEnd
}

// RequestHead returns the request line and the header of a request, encoded for HTTP/1.1.
// Its fields Host and Content-Length are taken from host and length, not from header.
// Length is the length of the body in bytes, or negative if there is no body.
func RequestHead(method, target, host string, header http.Header, length int) []byte {
	b := make([]byte, 0, 512)
	b = fmt.Appendf(b, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, target, host)
	names := make([]string, 0, len(header))
	for name := range header {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if name == "Host" || name == "Content-Length" {
			continue
		}
		for _, value := range header[name] {
			b = append(append(append(append(b, name...), ": "...), value...), "\r\n"...)
		}
	}
	if length >= 0 {
		b = fmt.Appendf(b, "Content-Length: %d\r\n", length)
	}
	return append(b, "\r\n"...)
}
