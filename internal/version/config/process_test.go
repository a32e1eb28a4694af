package config

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestLimitTolerance checks that the node knows no tolerance unless the platform gives its
// window: a tolerance that only seems to be there would change how limits are handed over.
func TestLimitTolerance(t *testing.T) {
	const node = `[node]
name = entry-1
availability_zone = z
region = r
caller_address = 10.0.0.1:80
peer_address = 10.0.0.1:8443
operator_address = 10.0.0.1:81
[platform]
store = 10.0.0.2:80
[tls]
ca_file = ca
cert_file = cert
key_file = key
[resume]
key_file = resume
`
	for name, c := range map[string]struct {
		section string
		want    LimitTolerance
		isSet   bool
	}{
		"no section":    {"", LimitTolerance{}, false},
		"complete":      {"[limits]\nover = 0.1\nslack = 140000\nwindow = 8s\n", LimitTolerance{0.1, 140_000, 8 * time.Second}, true},
		"no slack":      {"[limits]\nover = 0.1\nslack =\nwindow = 8.5s\n", LimitTolerance{0.1, 0, 8500 * time.Millisecond}, true},
		"a unit alone":  {"[limits]\nover = 0.1\nslack = 5\nwindow = s\n", LimitTolerance{0.1, 5, 0}, false},
		"only the part": {"[limits]\nover = 0\n", LimitTolerance{}, false},
	} {
		p, err := ParseProcess("node.ini", []byte(node+c.section))
		qt.Check(t, err, qt.IsNil, qt.Commentf(name))
		qt.Check(t, p.LimitTolerance, qt.Equals, c.want, qt.Commentf(name))
		qt.Check(t, p.LimitTolerance.IsSet(), qt.Equals, c.isSet, qt.Commentf(name))
	}
}

// TestDescriptors checks the number of descriptors, which a platform may leave empty.
func TestDescriptors(t *testing.T) {
	for text, want := range map[string]int{"4100": 4100, "": 0} {
		var p Process
		qt.Check(t, setDescriptors(&p, text), qt.IsNil)
		qt.Check(t, p.Descriptors, qt.Equals, want)
	}
	for _, text := range []string{"0", "-1", "many", "1.5"} {
		qt.Check(t, setDescriptors(&Process{}, text), qt.IsNotNil, qt.Commentf(text))
	}
}
