package main

import (
	"bytes"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/stand/cloud"
	"goldcrestwick/platform"
)

// TestCheckAgainstStore guards against a comparison with another row than that of the
// version in force, and against a check that passes although there was nothing to compare
// with.
func TestCheckAgainstStore(t *testing.T) {
	p := &cloud.Platform{}
	server := httptest.NewServer(p)
	defer server.Close()
	var out, errs bytes.Buffer
	check := func(document string) int {
		out.Reset()
		errs.Reset()
		app := rootCommand(&out, &errs)
		app.Reader = strings.NewReader(document)
		err := app.Run(t.Context(), []string{"goldcrestwick", "settings", "check", "--platform", "-", "--store", strings.TrimPrefix(server.URL, "http://")})
		return exitCode(err, &errs)
	}
	qt.Check(t, check(`{"version":8}`), qt.Equals, exitUsage)
	qt.Check(t, errs.String(), qt.Contains, "no configuration in force")

	p.Apply(cloud.Transaction{Writes: []cloud.Write{
		{Table: platform.SettingsTable, Key: platform.SettingsKey, Value: []byte(`{"version":7,"tenants":[{"name":"a","api_keys":["k"]}]}`)},
	}})
	qt.Check(t, check(`{"version":8}`), qt.Equals, 0, qt.Commentf(errs.String()))
	qt.Check(t, out.String(), qt.Equals, "removed: tenants \"a\" (risky)\nno fault\n")
	qt.Check(t, check(`{"version":7}`), qt.Equals, exitUsage)
	qt.Check(t, out.String(), qt.Contains, "error: version: 7 is not higher than 7")

	p.SetFault(func(cloud.Op) cloud.Fault { return cloud.Fault{Unavailable: true} })
	qt.Check(t, check(`{"version":8}`), qt.Equals, exitUsage)
	qt.Check(t, errs.String(), qt.Contains, "read the version in force")
}
