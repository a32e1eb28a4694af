package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	"goldcrestwick/internal/process/node"
	"goldcrestwick/internal/version/config"
)

// TestReload checks that a changed settings file takes effect at once on a signal
// and otherwise at the next poll, and that a file with findings, or that cannot
// be read, changes nothing.
func TestReload(t *testing.T) {
	file := filepath.Join(t.TempDir(), "node.ini")
	write := func(old, text string) {
		all := strings.Replace(fmt.Sprintf(entrySettingsFormat, "n1", "127.0.0.1:1"), old, text, 1)
		qt.Assert(t, os.WriteFile(file, []byte(all), 0o600), qt.IsNil)
	}
	write("", "")
	p, err := config.LoadProcess(file)
	qt.Assert(t, err, qt.IsNil)
	synctest.Test(t, func(t *testing.T) {
		var lines bytes.Buffer
		e := newEntryNode(p, log.NewWithOptions(&lines, log.Options{Formatter: log.LogfmtFormatter}))
		e.node = &node.Node{}
		signals := make(chan os.Signal, 1)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		// A change made before the first poll takes effect as well.
		write("grace = 8s", "grace = 9s")
		go e.reload(ctx, file, signals)
		check := func(grace time.Duration, line string) {
			t.Helper()
			synctest.Wait()
			qt.Check(t, e.settings.Load().GracePeriod, qt.Equals, grace)
			qt.Check(t, lines.String(), qt.Contains, line)
			lines.Reset()
		}
		time.Sleep(settingsPollInterval)
		check(9*time.Second, "by_signal=false")
		write("grace = 8s", "grace = 12s")
		signals <- os.Interrupt
		check(12*time.Second, "by_signal=true log_level=info grace=12s repeats_ratio=0.2 repeats_extra=58 needs_restart=false")
		write("grace = 8s", "grace = 5s\n[log]\nlevel = warn")
		time.Sleep(settingsPollInterval)
		check(5*time.Second, "")
		qt.Check(t, e.log.GetLevel(), qt.Equals, log.WarnLevel)
		write("grace = 8s", "grace = soon")
		time.Sleep(settingsPollInterval)
		check(5*time.Second, "settings_file_not_reloaded")
		write("zones = z:r", "zones = z:other")
		time.Sleep(settingsPollInterval)
		check(8*time.Second, "needs_restart=true")
		time.Sleep(settingsPollInterval)
		check(8*time.Second, "")
		qt.Check(t, os.Remove(file), qt.IsNil)
		signals <- os.Interrupt
		check(8*time.Second, "settings_file_not_read")
	})
}
