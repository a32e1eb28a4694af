package conn

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
)

// hopByHop are the headers of one connection (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd returns a copy of a header without what concerns one connection.
func EndToEnd(header http.Header) http.Header {
	kept := header.Clone()
	if kept == nil {
		kept = http.Header{}
	}
	for _, named := range header.Values("Connection") {
		for name := range strings.SplitSeq(named, ",") {
			kept.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		kept.Del(name)
	}
	return kept
}

// Head returns the bytes of a request's head. Length is that of the body; a
// negative one means that there is none.
func Head(method, target, host string, header http.Header, length int) []byte {
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
