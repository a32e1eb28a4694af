package soak

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/stand/cloud"
)

const (
	// serveMemory bounds the process: its settings state no memory, and the limits are those of
	// a process with 1 GiB.
	serveMemory = 1 << 30
	serveIP     = "127.249.249.1"
	serveFormat = `[node]
name = n1
availability_zone = z
region = r
caller_address = %s
peer_address = ` + serveIP + `:0
operator_address = %s
[platform]
store = %s
[settings]
tree = tree
[tls]
ca_file = ca.pem
cert_file = n1.pem
key_file = n1.key
[resume]
key_file = resume.key
`
)

// TestCrowdsAtServe guards against the same clients at the ports of goldcrestwick serve.
func TestCrowdsAtServe(t *testing.T) {
	program := buildProgram(t, "../../..")
	for _, c := range []crowd{
		{name: "head_without_end", clients: 64, connections: 2, act: sendEndlessly(requestStart, endlessLines)},
		{name: "unfinished_head", clients: 400, act: sendUnfinishedHead},
		{name: "silent", clients: 700, act: silent},
		{name: "between_requests", clients: 700, act: sendRequestAndWait},
		{name: "body_not_sent", clients: 700, act: sendNoBodyAnywhere},
		{name: "answer_not_read", clients: 700, act: sendUnread("/nothing")},
	} {
		for p, path := range map[port]string{callerPort: "/healthz", operatorPort: "/metrics"} {
			t.Run(c.name+"_"+string(p), func(t *testing.T) {
				process, addresses := startServe(t, program)
				ctx, cancel := context.WithCancel(t.Context())
				wait := c.run(ctx, addresses[p])
				qt.Check(t, isAnswered(t, addresses[p], path), qt.IsTrue, qt.Commentf("%s is not answered", path))
				_, descriptors, err := usage(process)
				qt.Assert(t, err, qt.IsNil)
				cancel()
				wait()
				qt.Check(t, isAnswered(t, addresses[p], path), qt.IsTrue, qt.Commentf("%s is not answered", path))
				peak, _, err := usage(process)
				qt.Assert(t, err, qt.IsNil)
				t.Logf("peak memory %.1f MiB, %d descriptors open", float64(peak)/(1<<20), descriptors)
				qt.Check(t, peak <= serveMemory, qt.IsTrue)
				qt.Check(t, descriptors < crowdDescriptors, qt.IsTrue, qt.Commentf("%d descriptors open", descriptors))
			})
		}
	}
}

// startServe starts a node from settings files, with few descriptors, and waits until it serves.
func startServe(t *testing.T, program string) (process int, addresses map[port]string) {
	dir := t.TempDir()
	write := func(name, text string) {
		qt.Assert(t, os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600), qt.IsNil)
	}
	authority, err := link.NewAuthority()
	qt.Assert(t, err, qt.IsNil)
	certs, err := authority.Issue("n1", net.ParseIP(serveIP))
	qt.Assert(t, err, qt.IsNil)
	cert, key, err := link.EncodeKeyPair(certs)
	qt.Assert(t, err, qt.IsNil)
	write("ca.pem", string(authority.CertPEM()))
	write("n1.pem", string(cert))
	write("n1.key", string(key))
	write("resume.key", strings.Repeat("x", 32))
	qt.Assert(t, os.MkdirAll(filepath.Join(dir, "tree", "teams"), 0o700), qt.IsNil)
	write("tree/teams/team.ini", "[tier.top]\nrank = 0\n")
	write("tree/root.ini", "[fleet]\nregion = r\n")
	store := httptest.NewServer(&cloud.Platform{})
	t.Cleanup(store.Close)
	n := &nodeProcess{}
	qt.Assert(t, n.chooseOthers(serveIP), qt.IsNil)
	addresses = map[port]string{callerPort: n.others[directoryPort], operatorPort: n.others[operatorPort]}
	write("n1.ini", fmt.Sprintf(serveFormat, addresses[callerPort], addresses[operatorPort], strings.TrimPrefix(store.URL, "http://")))
	limit := fmt.Sprintf(`ulimit -n %d; exec "$0" "$@"`, crowdDescriptors)
	command := exec.Command("sh", "-c", limit, program, "serve", "--settings", filepath.Join(dir, "n1.ini"))
	var out strings.Builder
	command.Stdout, command.Stderr = &out, &out
	qt.Assert(t, command.Start(), qt.IsNil)
	t.Cleanup(func() {
		command.Process.Kill() //nolint:errcheck // the test is over.
		command.Wait()         //nolint:errcheck // it was killed.
		if t.Failed() {
			t.Log(out.String())
		}
	})
	ctx, cancel := context.WithTimeout(t.Context(), startTimeout)
	defer cancel()
	for ctx.Err() == nil {
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp", addresses[operatorPort])
		if err == nil {
			c.Close() //nolint:errcheck // it is only a trial.
			return command.Process.Pid, addresses
		}
	}
	t.Fatal("the process does not listen")
	return 0, nil
}
