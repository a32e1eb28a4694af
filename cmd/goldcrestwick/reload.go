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

// reloadInterval is how often the settings file is looked at without a signal.
const reloadInterval = 5 * time.Second

// reload follows the settings file: at once on a signal, and by itself when
// its text has changed. A file with findings changes nothing.
func (e *entryNode) reload(ctx context.Context, file string, signals <-chan os.Signal) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	var known []byte
	for {
		asked := false
		select {
		case <-ctx.Done():
			return
		case <-signals:
			asked = true
		case <-ticker.C:
		}
		text := e.readSettings(file)
		if text == nil || !asked && bytes.Equal(text, known) {
			continue
		}
		known = text
		p, err := config.ParseProcess(file, text)
		if err != nil {
			e.log.Error("settings_file_not_reloaded", "error", err)
			continue
		}
		if !asked && reflect.DeepEqual(p, *e.settings.Load()) {
			continue // the first look, at the file of the start.
		}
		needsRestart := e.apply(p)
		e.log.Info("settings_file_reloaded", "by_signal", asked, "log_level", p.LogLevel, "grace", p.Grace,
			"repeats_ratio", p.RetryBudget.Ratio, "repeats_extra", p.RetryBudget.Extra, "needs_restart", needsRestart)
	}
}

func (e *entryNode) readSettings(file string) []byte {
	text, err := os.ReadFile(file)
	if err != nil {
		e.log.Error("settings_file_not_read", "error", err)
		return nil
	}
	return text
}

// apply takes over what a running process can change, and reports whether
// anything else differs, which takes a new process.
func (e *entryNode) apply(next config.Process) (needsRestart bool) {
	if level, err := log.ParseLevel(next.LogLevel); err == nil {
		e.log.SetLevel(level)
	}
	limitMemory(next)
	e.node.SetRetryBudget(next.RetryBudget)
	old := *e.settings.Swap(&next)
	old.LogLevel, old.Memory, old.Grace = next.LogLevel, next.Memory, next.Grace
	old.RetryBudget.Ratio, old.RetryBudget.Extra = next.RetryBudget.Ratio, next.RetryBudget.Extra
	return !reflect.DeepEqual(old, next)
}
