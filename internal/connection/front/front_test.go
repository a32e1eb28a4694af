package front_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/stand/pipes"
	"goldcrestwick/internal/tool/fleet"
	"goldcrestwick/internal/version/config"
)

const (
	root = "[fleet]\nregion = r\n[limits]\nbody = 4KiB\nheader = 2KiB\nbody_timeout = 5s\nheader_timeout = 3s\n"
	team = `
[tier.top]
rank = 0
[account.a]
key_sha256 = 2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683
tier = top
[pool.chat]
kind = model_runner
model = m
[pool.bikes]
kind = application_runner
service = bikes
non_idempotent = POST /bookings
[endpoint.r1]
pool = chat
availability_zone = z1
[endpoint.s1]
pool = bikes
availability_zone = z1
`
	// longestTimeout outlasts the timers that are pending after Fleet.Stop. The
	// fake clock stops when the test returns, so their goroutines must end before.
	longestTimeout = 15 * time.Minute
)

// runWithFleet runs a test against a fleet of one entry node with a fake clock.
func runWithFleet(t *testing.T, run func(*testing.T, *pipes.Network, *fleet.Fleet)) {
	synctest.Test(t, func(t *testing.T) {
		tree, err := config.Parse(map[string][]byte{"root.ini": []byte(root), "teams/team.ini": []byte(team)}, 1)
		qt.Assert(t, err, qt.IsNil)
		net := &pipes.Network{}
		f, err := fleet.Start(fleet.Options{Tree: tree, Nodes: 1, Network: fleet.InMemory(net)})
		qt.Assert(t, err, qt.IsNil)
		run(t, net, f)
		f.Stop()
		time.Sleep(longestTimeout)
	})
}

// TestBadInput sends the requests of testdata/bad_input.txt and checks the
// response of each.
func TestBadInput(t *testing.T) {
	runWithFleet(t, func(t *testing.T, net *pipes.Network, f *fleet.Fleet) {
		client := http.Client{Transport: &http.Transport{DialContext: net.Dial("caller"), DisableKeepAlives: true}}
		file, err := os.Open("testdata/bad_input.txt")
		qt.Assert(t, err, qt.IsNil)
		defer file.Close() //nolint:errcheck // only read.
		lines := bufio.NewScanner(file)
		for lines.Scan() {
			if line := lines.Text(); !strings.HasPrefix(line, "#") {
				checkLine(t, &client, f.Nodes[0].Address, line)
			}
		}
		qt.Assert(t, f.Nodes[0].Front().Gate.OpenRequests(), qt.Equals, 0)
	})
}

var sizePattern = regexp.MustCompile(`SIZE\((\d+)\)`)

func checkLine(t *testing.T, client *http.Client, address, line string) {
	fields := strings.Fields(line)
	status, reason, run, method, path := fields[0], fields[1], fields[2], fields[3], fields[4]
	body := ""
	header := http.Header{"Authorization": {"Bearer key"}}
	for _, w := range fields[5:] {
		w = sizePattern.ReplaceAllStringFunc(w, func(s string) string {
			n, err := strconv.Atoi(sizePattern.FindStringSubmatch(s)[1])
			qt.Assert(t, err, qt.IsNil)
			return strings.Repeat("x", n)
		})
		name, value, ok := strings.Cut(w, ":")
		if ok && w[0] >= 'A' && w[0] <= 'Z' {
			header.Set(name, strings.ReplaceAll(value, "_", " "))
			continue
		}
		body = w
	}
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+address+path, strings.NewReader(body))
	qt.Assert(t, err, qt.IsNil)
	req.Header = header
	resp, err := client.Do(req)
	qt.Assert(t, err, qt.IsNil, qt.Commentf(line))
	defer resp.Body.Close() //nolint:errcheck // read to its end.
	raw, err := io.ReadAll(resp.Body)
	qt.Assert(t, err, qt.IsNil)
	comment := qt.Commentf("%s\n%s", line, raw)
	qt.Assert(t, strconv.Itoa(resp.StatusCode), qt.Equals, status, comment)
	qt.Assert(t, resp.Header.Get("X-Request-Id"), qt.Not(qt.Equals), "", comment)
	if reason == "-" {
		return
	}
	var refusal struct {
		Error struct{ Reason, Run, Message string }
	}
	qt.Assert(t, json.Unmarshal(raw, &refusal), qt.IsNil, comment)
	qt.Assert(t, refusal.Error.Reason, qt.Equals, reason, comment)
	qt.Assert(t, refusal.Error.Run, qt.Equals, run, comment)
	qt.Assert(t, refusal.Error.Message, qt.Not(qt.Equals), "", comment)
}

// TestSlowCaller checks that a request whose body does not arrive is refused
// after body_timeout, and that a connection whose header does not arrive is
// closed after header_timeout.
func TestSlowCaller(t *testing.T) {
	runWithFleet(t, func(t *testing.T, net *pipes.Network, f *fleet.Fleet) {
		conn, err := net.Dial("caller")(t.Context(), "tcp", f.Nodes[0].Address)
		qt.Assert(t, err, qt.IsNil)
		began := time.Now()
		fmt.Fprint(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key\r\nContent-Length: 100\r\n\r\n{\"mod") //nolint:errcheck // a failure shows in the response.
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusRequestTimeout)
		qt.Assert(t, time.Since(began), qt.Equals, 5*time.Second)
		conn.Close() //nolint:errcheck // done with it.

		conn, err = net.Dial("caller")(t.Context(), "tcp", f.Nodes[0].Address)
		qt.Assert(t, err, qt.IsNil)
		began = time.Now()
		fmt.Fprint(conn, "POST /v1/comp") //nolint:errcheck // a failure shows in the elapsed time.
		io.ReadAll(conn)                  //nolint:errcheck // only the time of the close matters.
		qt.Assert(t, time.Since(began), qt.Equals, 3*time.Second)
		conn.Close() //nolint:errcheck // done with it.
	})
}

// TestResume checks that a stream whose entry node fails can be resumed at
// another node without losing or repeating text.
func TestResume(t *testing.T) {
	runWithFleet(t, func(t *testing.T, net *pipes.Network, f *fleet.Fleet) {
		client := http.Client{Transport: &http.Transport{DialContext: net.Dial("caller"), DisableKeepAlives: true}}
		second, err := f.AddNode("z1")
		qt.Assert(t, err, qt.IsNil)
		body := `{"model":"m","prompt":"x","max_tokens":40,"stream":true}`
		whole := send(t, &client, http.MethodPost, f.Nodes[0].Address+"/v1/completions", body, nil)
		defer whole.Body.Close() //nolint:errcheck // read to its end.
		complete := readTexts(t, whole, -1)
		resp := send(t, &client, http.MethodPost, f.Nodes[0].Address+"/v1/completions", body, nil)
		token := resp.Header.Get("X-Resume-Token")
		start := readTexts(t, resp, 7)
		// The node fails while the caller still reads. If the caller left first, the node would
		// cancel the run.
		net.Kill(f.Nodes[0].Host)
		resp.Body.Close() //nolint:errcheck // its node is gone.
		rest := send(t, &client, http.MethodGet, second.Address+"/v1/resume", "", http.Header{
			"X-Resume-Token": {token}, "Last-Event-Id": {"7"},
		})
		defer rest.Body.Close() //nolint:errcheck // read to its end.
		qt.Assert(t, append(start, readTexts(t, rest, -1)...), qt.DeepEquals, complete)
	})
}

func send(t *testing.T, client *http.Client, method, url, body string, header http.Header) *http.Response {
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+url, strings.NewReader(body))
	qt.Assert(t, err, qt.IsNil)
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer key")
	resp, err := client.Do(req)
	qt.Assert(t, err, qt.IsNil)
	return resp
}

// readTexts returns the texts of a stream, up to limit of them, and does not close it. With
// limit -1 it reads all, and the stream must end with the [DONE] marker.
func readTexts(t *testing.T, resp *http.Response, limit int) []string {
	var texts []string
	for lines := bufio.NewScanner(resp.Body); len(texts) != limit && lines.Scan(); {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if data == "[DONE]" {
			return texts
		}
		var e struct{ Choices []struct{ Text string } }
		if ok && json.Unmarshal([]byte(data), &e) == nil && len(e.Choices) > 0 && e.Choices[0].Text != "" {
			texts = append(texts, e.Choices[0].Text)
		}
	}
	qt.Assert(t, len(texts), qt.Equals, limit)
	return texts
}
