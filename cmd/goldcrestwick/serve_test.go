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

// place holds the files and the platform of a deployment on loopback.
type place struct {
	*testing.T
	dir       string
	platform  *cloud.Platform
	url       string
	authority *link.Authority
	listed    []cloud.Instance
	ledgerKey ed25519.PrivateKey
}

func pemOf[K any](p *place, kind string, encode func(any) ([]byte, error), key K) string {
	raw, err := encode(key)
	qt.Assert(p, err, qt.IsNil)
	return string(pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw}))
}

func (p *place) write(name, text string) string {
	path := filepath.Join(p.dir, name)
	qt.Assert(p, os.MkdirAll(filepath.Dir(path), 0o700), qt.IsNil)
	qt.Assert(p, os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	return path
}

// start runs one node with files of its own and lists it.
func (p *place) start(name string) *server {
	certs, err := p.authority.Issue(name, net.IPv4(127, 0, 0, 1))
	qt.Assert(p, err, qt.IsNil)
	cert, key, err := link.PEMOf(certs)
	qt.Assert(p, err, qt.IsNil)
	p.write("ca.pem", string(p.authority.PEM()))
	p.write(name+".pem", string(cert))
	p.write(name+".key", string(key))
	p.write("resume.key", strings.Repeat("x", minResumeKey))
	p.write("ledger.key", pemOf(p, "PRIVATE KEY", x509.MarshalPKCS8PrivateKey, p.ledgerKey))
	p.write("ledger.pub", pemOf(p, "PUBLIC KEY", x509.MarshalPKIXPublicKey, p.ledgerKey.Public()))
	file := p.write(name+".ini", fmt.Sprintf(`[node]
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
`, name, p.url))
	qt.Assert(p, run([]string{"goldcrestwick", "settings", "check", file}, &bytes.Buffer{}, &bytes.Buffer{}), qt.Equals, 0)
	s, err := startServer(file, &bytes.Buffer{})
	qt.Assert(p, err, qt.IsNil)
	p.listed = append(p.listed, cloud.Instance{ID: name, Kind: "entry", State: "live", Region: "r", Peer: s.link.Address()})
	p.platform.SetInstances(append([]cloud.Instance(nil), p.listed...))
	return s
}

// command runs a command line as an operator and returns its code and output.
func (p *place) command(key string, args ...string) (code int, out string) {
	p.Setenv(operatorEnv, key)
	p.Setenv(keyEnv, key)
	var stdout, stderr bytes.Buffer
	code = run(append([]string{"goldcrestwick"}, args...), &stdout, &stderr)
	return code, stdout.String() + stderr.String()
}

// TestServe runs two nodes from files on loopback: first settings, a request, a
// change by a team's operator, a lost race, and a graceful end.
func TestServe(t *testing.T) {
	p := &place{T: t, dir: t.TempDir(), platform: &cloud.Platform{}}
	p.ledgerKey = ed25519.NewKeyFromSeed([]byte(strings.Repeat("k", ed25519.SeedSize)))
	server := httptest.NewServer(p.platform)
	defer server.Close()
	bikes := httptest.NewServer(&apprun.Runner{})
	defer bikes.Close()
	p.url = strings.TrimPrefix(server.URL, "http://")
	var err error
	p.authority, err = link.NewAuthority()
	qt.Assert(t, err, qt.IsNil)
	p.listed = []cloud.Instance{{ID: "s1", Kind: "application_runner", State: "live", Region: "r", Address: bikes.URL, Endpoint: "team/s1", Pool: "team/bikes"}}
	p.write("tree/root.ini", serveRoot)
	p.write("tree/teams/team.ini", serveTeam)
	code, out := p.command("", "settings", "init", "--store", p.url, filepath.Join(p.dir, "tree"))
	qt.Assert(t, code, qt.Equals, 0, qt.Commentf(out))
	code, _ = p.command("", "settings", "init", "--store", p.url, filepath.Join(p.dir, "tree"))
	qt.Assert(t, code, qt.Equals, exitFailed, qt.Commentf("a second init"))

	first, second := p.start("entry-1"), p.start("entry-2")
	operators := first.operatorAddress
	p.request(first)
	p.change(operators)
	for {
		if code, out = p.command("", "settings", "status", "--node", operators); code == 0 && strings.Count(out, "version 2") == 2 {
			break
		}
	}
	qt.Assert(t, second.drain(), qt.IsNil)
	id := p.request(first)
	qt.Assert(t, first.drain(), qt.IsNil)
	p.audit(id)
}

// audit checks the ledger after all nodes are gone, and after a change.
func (p *place) audit(id string) {
	key, export := filepath.Join(p.dir, "ledger.pub"), filepath.Join(p.dir, "export")
	code, out := p.command("", "audit", "verify", "--store", p.url, "--key", key)
	qt.Assert(p, code, qt.Equals, 0, qt.Commentf(out))
	qt.Assert(p, out, qt.Contains, "no fault: 2 chains")
	code, out = p.command("", "audit", "explain", "--store", p.url, id)
	qt.Assert(p, code, qt.Equals, 0, qt.Commentf(out))
	for _, want := range []string{"accepted for account team/a", "granted endpoint team/s1", "the whole answer was delivered", "served before it: "} {
		qt.Assert(p, out, qt.Contains, want)
	}
	code, out = p.command("", "audit", "export", "--store", p.url, export)
	qt.Assert(p, code, qt.Equals, 0, qt.Commentf(out))
	code, _ = p.command("", "audit", "verify", "--file", export, "--key", key)
	qt.Assert(p, code, qt.Equals, 0)
	raw, err := os.ReadFile(export)
	qt.Assert(p, err, qt.IsNil)
	changed := p.write("changed", strings.Replace(string(raw), "team/s1", "team/s2", 1))
	code, out = p.command("", "audit", "verify", "--file", changed, "--key", key)
	qt.Assert(p, code, qt.Equals, exitFailed)
	qt.Assert(p, out, qt.Contains, "was changed, taken out or moved")
}

// request sends one call through a node and asks why it went where it went.
func (p *place) request(s *server) (id string) {
	code, out := p.command("key", "addresses", "--node", s.callerAddress)
	qt.Assert(p, code, qt.Equals, 0, qt.Commentf(out))
	qt.Assert(p, out, qt.Contains, s.callerAddress)
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+s.callerAddress+"/services/bikes/stock", nil)
	qt.Assert(p, err, qt.IsNil)
	req.Header.Set("Authorization", "Bearer key")
	resp, err := http.DefaultClient.Do(req)
	qt.Assert(p, err, qt.IsNil)
	defer resp.Body.Close() //nolint:errcheck // read to its end.
	raw, err := io.ReadAll(resp.Body)
	qt.Assert(p, err, qt.IsNil)
	qt.Assert(p, string(raw), qt.Contains, `"path":"/stock"`)
	return resp.Header.Get("X-Request-Id")
}

// change puts a new version as the team's operator, and tries what must not
// be possible.
func (p *place) change(operators string) {
	changed := p.write("changed.ini", serveTeam+"non_idempotent = POST /bookings\n")
	faulty := p.write("faulty.ini", serveTeam+"colour = red\n")
	for _, try := range []struct {
		key  string
		args []string
		code int
		out  string
	}{
		{"lead", []string{"put", "--base", "1", "root", changed}, exitFailed, "cannot reach root.ini"},
		{"nobody", []string{"put", "--base", "1", "team", changed}, exitFailed, "key of an operator"},
		{"lead", []string{"put", "--base", "1", "team", faulty}, exitUsage, "unknown key"},
		{"lead", []string{"diff", "team", changed}, exitFailed, "+non_idempotent"},
		{"lead", []string{"put", "--base", "1", "--token", "mine", "team", changed}, 0, "version 2"},
		{"lead", []string{"put", "--base", "1", "--token", "mine", "team", changed}, 0, "version 2"},
		{"lead", []string{"put", "--base", "1", "team", changed}, exitFailed, "was changed by lead in version 2"},
		{"lead", []string{"diff", "team", changed}, 0, ""},
		{"lead", []string{"get", "team"}, 0, "non_idempotent = POST /bookings"},
		{"", []string{"history"}, 0, "teams/team.ini\tlead"},
	} {
		args := append([]string{"settings", try.args[0], "--node", operators}, try.args[1:]...)
		code, out := p.command(try.key, args...)
		qt.Assert(p, code, qt.Equals, try.code, qt.Commentf("%v: %s", args, out))
		qt.Assert(p, out, qt.Contains, try.out, qt.Commentf("%v", args))
	}
}
