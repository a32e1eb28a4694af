package reply

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/stand/broken"
)

// readAnswer reads an answer that comes in parts of at most partBytes.
func readAnswer(text string, partBytes int) (*http.Response, []byte, error) {
	c := &Conn{Conn: &partsConn{endingConn{answer: text}, partBytes}}
	c.Begin(nil) //nolint:errcheck // nothing was read ahead.
	reader := bufio.NewReader(c)
	for {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return nil, nil, c.Classify(err)
		}
		if IsFinalStatus(resp.StatusCode) {
			body, err := io.ReadAll(resp.Body)
			return resp, body, err
		}
	}
}

// partsConn is an endingConn whose reads return at most partBytes.
type partsConn struct {
	endingConn
	partBytes int
}

func (c *partsConn) Read(b []byte) (int, error) {
	return c.endingConn.Read(b[:min(len(b), c.partBytes)])
}

const (
	testFields = "X-Request-Id: r1\r\n"
	testBody   = "the whole answer"
)

// TestAnswers checks the fault of each answer of package broken, whole and byte by byte.
func TestAnswers(t *testing.T) {
	for _, a := range append(broken.Answers(), broken.HeadCuts(testFields)...) {
		for _, partBytes := range []int{1, 7, 4096} {
			_, body, err := readAnswer(a.Text(testFields, testBody), partBytes)
			at := qt.Commentf("%s in parts of %d: %v", a.Name, partBytes, err)
			if a.Fault == "" {
				qt.Check(t, err, qt.IsNil, at)
				qt.Check(t, string(body), qt.Equals, testBody, at)
				continue
			}
			qt.Check(t, err, qt.IsNotNil, at)
			qt.Check(t, string(FaultOf(err)), qt.Equals, a.Fault, at)
		}
	}
}

// TestLongHead checks that a head is given up at MaxHeadBytes, and that the text of an error is short.
func TestLongHead(t *testing.T) {
	long := strings.Repeat("x", MaxHeadBytes)
	for text, fault := range map[string]Fault{
		"HTTP/1.1 200 " + long:                                           HeadLength,
		"HTTP/1.1 200 OK\r\nX: " + long:                                  HeadLength,
		"HTTP/1.1 200 OK\r\n" + long[:2000] + "\r\n":                     FieldName,
		long[:2000] + "\r\n":                                             StatusLine,
		"HTTP/1.1 200 OK\r\nContent-Length: " + long[:2000] + "\r\n\r\n": Framing,
	} {
		_, _, err := readAnswer(text, 4096)
		qt.Assert(t, err, qt.IsNotNil)
		qt.Check(t, FaultOf(err), qt.Equals, fault)
		qt.Check(t, len(err.Error()) < 200, qt.IsTrue, qt.Commentf("%s", err))
	}
}

// FuzzAnswer checks that the result of reading an answer does not depend on the parts in which it
// comes, and that an answer that is read is one that may be passed on.
func FuzzAnswer(f *testing.F) {
	for _, a := range append(broken.Answers(), broken.HeadCuts(testFields)...) {
		f.Add(a.Text(testFields, testBody))
	}
	f.Fuzz(func(t *testing.T, text string) {
		resp, body, err := readAnswer(text, 4096)
		_, inBytes, errInBytes := readAnswer(text, 1)
		if (err == nil) != (errInBytes == nil) || err == nil && string(body) != string(inBytes) {
			t.Fatalf("%q and %v, in single bytes %q and %v", body, err, inBytes, errInBytes)
		}
		if resp == nil {
			return
		}
		if !IsFinalStatus(resp.StatusCode) || resp.ProtoMajor != 1 {
			t.Fatalf("status line %s %s", resp.Proto, resp.Status)
		}
		for name, values := range resp.Header {
			if !isToken([]byte(name)) {
				t.Fatalf("field name %q", name)
			}
			for _, value := range values {
				if hasControl([]byte(value)) {
					t.Fatalf("value %q of %s", value, name)
				}
			}
		}
	})
}
