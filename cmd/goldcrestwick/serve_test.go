package main

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/connection/link"
	"goldcrestwick/internal/stand/apprun"
	"goldcrestwick/internal/stand/cloud"
)

const (
	serveRoot = "[fleet]\nregion = r\n[limits]\naddresses_ttl = 1ms\n[operator.boss]\nkey_sha256 = 5e884898da28047151d0e56f8dc6292773603d0d6aabbdd62a11ef721d1542d8\n"
	serveTeam = `[tier.top]
rank = 0
[account.a]
key_sha256 = 2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683
tier = top
[operator.lead]
key_sha256 = e3456bc1f4d270f4a97933758645fdc21e39642b31ca343c1818f7972ac27906
[pool.bikes]
kind = application_runner
service = bikes
`
)

// deployment is a deployment on loopback with its files and simulated platform.
type deployment struct {
	*testing.T
	dir          string
	platform     *cloud.Platform
	storeAddress string
	authority    *link.Authority
	instances    []cloud.Instance
	ledgerKey    ed25519.PrivateKey
}

func encodePEM[K any](d *deployment, kind string, encode func(any) ([]byte, error), key K) string {
	raw, err := encode(key)
	qt.Assert(d, err, qt.IsNil)
	return string(pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw}))
}

func (d *deployment) writeFile(name, text string) string {
	path := filepath.Join(d.dir, name)
	qt.Assert(d, os.MkdirAll(filepath.Dir(path), 0o700), qt.IsNil)
	qt.Assert(d, os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	return path
}

// startNode starts a node with its own files and adds it to the platform's
// instance list.
func (d *deployment) startNode(name string) *server {
	certs, err := d.authority.Issue(name, net.IPv4(127, 0, 0, 1))
	qt.Assert(d, err, qt.IsNil)
	cert, key, err := link.EncodeKeyPair(certs)
	qt.Assert(d, err, qt.IsNil)
	d.writeFile("ca.pem", string(d.authority.CertPEM()))
	d.writeFile(name+".pem", string(cert))
	d.writeFile(name+".key", string(key))
	d.writeFile("resume.key", strings.Repeat("x", minResumeKeyBytes))
	d.writeFile("ledger.key", encodePEM(d, "PRIVATE KEY", x509.MarshalPKCS8PrivateKey, d.ledgerKey))
	d.writeFile("ledger.pub", encodePEM(d, "PUBLIC KEY", x509.MarshalPKIXPublicKey, d.ledgerKey.Public()))
	file := d.writeFile(name+".ini", fmt.Sprintf(`[node]
name = %[1]s
availability_zone = z
region = r
caller_address = 127.0.0.1:0
peer_address = 127.0.0.1:0
operator_address = 127.0.0.1:0
[platform]
store = %[2]s
[tls]
ca_file = ca.pem
cert_file = %[1]s.pem
key_file = %[1]s.key
[resume]
key_file = resume.key
[ledger]
key_file = ledger.key
`, name, d.storeAddress))
	qt.Assert(d, run([]string{"goldcrestwick", "settings", "check", file}, &bytes.Buffer{}, &bytes.Buffer{}), qt.Equals, 0)
	s, err := startServer(file, &bytes.Buffer{})
	qt.Assert(d, err, qt.IsNil)
	d.instances = append(d.instances, cloud.Instance{ID: name, Kind: "entry", State: "live", Region: "r", PeerAddress: s.link.Address()})
	d.platform.SetInstances(append([]cloud.Instance(nil), d.instances...))
	return s
}

// runCommand runs a command line with an operator's key and returns its exit code
// and output.
func (d *deployment) runCommand(key string, args ...string) (code int, out string) {
	d.Setenv(operatorKeyEnv, key)
	d.Setenv(accountKeyEnv, key)
	var stdout, stderr bytes.Buffer
	code = run(append([]string{"goldcrestwick"}, args...), &stdout, &stderr)
	return code, stdout.String() + stderr.String()
}

// TestServeNodes runs two nodes on loopback from settings files: initial settings,
// a request, a change by a team's operator, a conflicting change, and a graceful
// shutdown.
func TestServeNodes(t *testing.T) {
	d := &deployment{T: t, dir: t.TempDir(), platform: &cloud.Platform{}}
	d.ledgerKey = ed25519.NewKeyFromSeed([]byte(strings.Repeat("k", ed25519.SeedSize)))
	server := httptest.NewServer(d.platform)
	defer server.Close()
	bikes := httptest.NewServer(&apprun.Runner{})
	defer bikes.Close()
	d.storeAddress = strings.TrimPrefix(server.URL, "http://")
	var err error
	d.authority, err = link.NewAuthority()
	qt.Assert(t, err, qt.IsNil)
	d.instances = []cloud.Instance{{ID: "s1", Kind: "application_runner", State: "live", Region: "r", Address: bikes.URL, Endpoint: "team/s1", Pool: "team/bikes"}}
	d.writeFile("tree/root.ini", serveRoot)
	d.writeFile("tree/teams/team.ini", serveTeam)
	code, out := d.runCommand("", "settings", "init", "--store", d.storeAddress, filepath.Join(d.dir, "tree"))
	qt.Assert(t, code, qt.Equals, 0, qt.Commentf(out))
	code, _ = d.runCommand("", "settings", "init", "--store", d.storeAddress, filepath.Join(d.dir, "tree"))
	qt.Assert(t, code, qt.Equals, exitFailure, qt.Commentf("a second init"))

	first, second := d.startNode("entry-1"), d.startNode("entry-2")
	operators := first.operatorAddress
	d.checkRequest(first)
	d.checkSettingsChange(operators)
	for {
		if code, out = d.runCommand("", "settings", "status", "--node", operators); code == 0 && strings.Count(out, "version 2") == 2 {
			break
		}
	}
	qt.Assert(t, second.drain(), qt.IsNil)
	id := d.checkRequest(first)
	qt.Assert(t, first.drain(), qt.IsNil)
	d.checkAudit(id)
}

// checkAudit checks the audit commands after all nodes have stopped, also with an
// exported ledger that was tampered with.
func (d *deployment) checkAudit(id string) {
	key, export := filepath.Join(d.dir, "ledger.pub"), filepath.Join(d.dir, "export")
	code, out := d.runCommand("", "audit", "verify", "--store", d.storeAddress, "--key", key)
	qt.Assert(d, code, qt.Equals, 0, qt.Commentf(out))
	qt.Assert(d, out, qt.Contains, "no fault: 2 chains")
	code, out = d.runCommand("", "audit", "explain", "--store", d.storeAddress, id)
	qt.Assert(d, code, qt.Equals, 0, qt.Commentf(out))
	for _, want := range []string{"accepted for account team/a", "granted endpoint team/s1", "the whole answer was delivered", "served before it: "} {
		qt.Assert(d, out, qt.Contains, want)
	}
	code, out = d.runCommand("", "audit", "export", "--store", d.storeAddress, export)
	qt.Assert(d, code, qt.Equals, 0, qt.Commentf(out))
	code, _ = d.runCommand("", "audit", "verify", "--file", export, "--key", key)
	qt.Assert(d, code, qt.Equals, 0)
	raw, err := os.ReadFile(export)
	qt.Assert(d, err, qt.IsNil)
	changed := d.writeFile("changed", strings.Replace(string(raw), "team/s1", "team/s2", 1))
	code, out = d.runCommand("", "audit", "verify", "--file", changed, "--key", key)
	qt.Assert(d, code, qt.Equals, exitFailure)
	qt.Assert(d, out, qt.Contains, "was changed, taken out or moved")
}

// checkRequest checks the addresses command, sends one request through a node and
// returns the request's identifier.
func (d *deployment) checkRequest(s *server) (id string) {
	code, out := d.runCommand("key", "addresses", "--node", s.callerAddress)
	qt.Assert(d, code, qt.Equals, 0, qt.Commentf(out))
	qt.Assert(d, out, qt.Contains, s.callerAddress)
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+s.callerAddress+"/services/bikes/stock", nil)
	qt.Assert(d, err, qt.IsNil)
	req.Header.Set("Authorization", "Bearer key")
	resp, err := http.DefaultClient.Do(req)
	qt.Assert(d, err, qt.IsNil)
	defer resp.Body.Close() //nolint:errcheck // the body has been read.
	raw, err := io.ReadAll(resp.Body)
	qt.Assert(d, err, qt.IsNil)
	qt.Assert(d, string(raw), qt.Contains, `"path":"/stock"`)
	return resp.Header.Get("X-Request-Id")
}

// checkSettingsChange puts a new version as the team's operator, repeats the put,
// and reads the change back. It checks that changes without permission, with
// faults or with an old base version are refused.
func (d *deployment) checkSettingsChange(operators string) {
	changed := d.writeFile("changed.ini", serveTeam+"non_idempotent = POST /bookings\n")
	faulty := d.writeFile("faulty.ini", serveTeam+"colour = red\n")
	for _, test := range []struct {
		key  string
		args []string
		code int
		out  string
	}{
		{"lead", []string{"put", "--base", "1", "root", changed}, exitFailure, "cannot reach root.ini"},
		{"nobody", []string{"put", "--base", "1", "team", changed}, exitFailure, "key of an operator"},
		{"lead", []string{"put", "--base", "1", "team", faulty}, exitUsage, "unknown key"},
		{"lead", []string{"diff", "team", changed}, exitFailure, "+non_idempotent"},
		{"lead", []string{"put", "--base", "1", "--token", "mine", "team", changed}, 0, "version 2"},
		{"lead", []string{"put", "--base", "1", "--token", "mine", "team", changed}, 0, "version 2"},
		{"lead", []string{"put", "--base", "1", "team", changed}, exitFailure, "was changed by lead in version 2"},
		{"lead", []string{"diff", "team", changed}, 0, ""},
		{"lead", []string{"get", "team"}, 0, "non_idempotent = POST /bookings"},
		{"", []string{"history"}, 0, "teams/team.ini\tlead"},
	} {
		args := append([]string{"settings", test.args[0], "--node", operators}, test.args[1:]...)
		code, out := d.runCommand(test.key, args...)
		qt.Assert(d, code, qt.Equals, test.code, qt.Commentf("%v: %s", args, out))
		qt.Assert(d, out, qt.Contains, test.out, qt.Commentf("%v", args))
	}
}
