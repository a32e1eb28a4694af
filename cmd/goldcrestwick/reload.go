package main

import (
	"bytes"
	"context"
	"os"
	"reflect"
	"time"

	"github.com/charmbracelet/log"

	"goldcrestwick/internal/version/config"
)

// settingsPollInterval is the interval at which the settings file is polled for
// changes.
const settingsPollInterval = 5 * time.Second

// reload applies changes of the settings file until ctx is done. It reads the
// file on a signal and at each poll, and keeps the settings in force if the file
// has findings.
func (e *entryNode) reload(ctx context.Context, file string, signals <-chan os.Signal) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	var lastText []byte
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-signals:
			signalled = true
		case <-ticker.C:
		}
		text := e.readSettingsFile(file)
		if text == nil || !signalled && bytes.Equal(text, lastText) {
			continue
		}
		lastText = text
		p, err := config.ParseProcess(file, text)
		if err != nil {
			e.log.Error("settings_file_not_reloaded", "error", err)
			continue
		}
		if !signalled && reflect.DeepEqual(p, *e.settings.Load()) {
			continue // the first poll reads the settings that the process started with.
		}
		needsRestart := e.apply(p)
		e.log.Info("settings_file_reloaded", "by_signal", signalled, "log_level", p.LogLevel, "grace", p.GracePeriod,
			"repeats_ratio", p.RetryBudget.Ratio, "repeats_extra", p.RetryBudget.Extra, "needs_restart", needsRestart)
	}
}

// readSettingsFile returns the contents of file. If the file cannot be read, it
// logs the error and returns nil.
func (e *entryNode) readSettingsFile(file string) []byte {
	text, err := os.ReadFile(file)
	if err != nil {
		e.log.Error("settings_file_not_read", "error", err)
		return nil
	}
	return text
}

// apply puts into force the settings that a running process can change. It reports
// whether any other setting differs from the settings applied before; such a
// change takes effect only after a restart.
func (e *entryNode) apply(next config.Process) (needsRestart bool) {
	if level, err := log.ParseLevel(next.LogLevel); err == nil {
		e.log.SetLevel(level)
	}
	limitMemory(next)
	e.node.SetMemory(next.MemoryBytes, next.Descriptors)
	e.node.SetRetryBudget(next.RetryBudget)
	old := *e.settings.Swap(&next)
	old.LogLevel, old.MemoryBytes, old.Descriptors, old.GracePeriod = next.LogLevel, next.MemoryBytes, next.Descriptors, next.GracePeriod
	old.RetryBudget.Ratio, old.RetryBudget.Extra = next.RetryBudget.Ratio, next.RetryBudget.Extra
	return !reflect.DeepEqual(old, next)
}
