package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"goldcrestwick/internal/version/config"
)

func settingsCommand() *cli.Command {
	return &cli.Command{
		Name:  "settings",
		Usage: "check, change and inspect settings",
		Commands: append([]*cli.Command{{
			Name:      "check",
			Usage:     "check a settings tree (a directory), the settings of one process (a file), or a configuration of the platform",
			ArgsUsage: "DIR or FILE, or --platform FILE",
			Description: "All faults are reported together, each with its file, line, section and key.\n" +
				"With --platform, errors, warnings and differences go to standard output.\n" +
				"Exit codes: 0 no fault, 2 faults, or the input cannot be read; warnings alone are faults with --strict.",
			Flags:  checkFlags(),
			Action: checkSettings,
		}}, storedSettingsCommands()...),
	}
}

func checkSettings(ctx context.Context, c *cli.Command) error {
	if c.IsSet("platform") {
		return checkPlatformSettings(ctx, c)
	}
	for _, name := range []string{"against", "store", "strict"} {
		if c.IsSet(name) {
			return usageError{eris.Errorf("--%s applies only with --platform", name)}
		}
	}
	if c.Args().Len() != 1 {
		return usageError{eris.New("settings check takes one directory or file")}
	}
	summary, err := checkPath(c.Args().First())
	var findings config.Findings
	if err != nil && !errors.As(err, &findings) {
		return usageError{err}
	}
	if c.Bool("json") {
		if writeErr := writeFindings(c.Root().Writer, findings); writeErr != nil {
			return writeErr
		}
	} else if err == nil {
		fmt.Fprintln(c.Root().Writer, summary) //nolint:errcheck // a failed write cannot be reported elsewhere.
	}
	return err
}

// checkPath checks the settings at path and returns a one-line summary if they are
// valid. A directory, or the file root.ini in it, is checked as a settings tree. Any
// other file is checked as the settings of a process, with the settings tree that it
// names, if any.
func checkPath(path string) (string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return "", err
	}
	if info.IsDir() || filepath.Base(path) == "root.ini" {
		if !info.IsDir() {
			path = filepath.Dir(path)
		}
		tree, err := config.Load(os.DirFS(path), 1)
		if err != nil {
			return "", err
		}
		accounts, endpoints := 0, 0
		for _, t := range tree.Teams {
			accounts += len(t.Accounts)
			endpoints += len(t.Endpoints)
		}
		return fmt.Sprintf("no fault: %d teams, %d pools, %d accounts, %d endpoints", len(tree.Teams), len(tree.Pools()), accounts, endpoints), nil
	}
	p, err := config.LoadProcess(path)
	if err != nil {
		return "", err
	}
	if p.TreeDir == "" {
		return "no fault: process " + string(p.Name) + ", which uses the settings in the platform's store", nil
	}
	if _, err := config.Load(os.DirFS(p.TreeDir), 1); err != nil {
		return "", err
	}
	return "no fault: process " + string(p.Name) + " and its settings tree", nil
}

type jsonFinding struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Section string `json:"section"`
	Key     string `json:"key"`
	Problem string `json:"problem"`
}

func writeFindings(w io.Writer, findings config.Findings) error {
	list := make([]jsonFinding, len(findings))
	for i, f := range findings {
		list[i] = jsonFinding{f.File, f.Line, f.Section, f.Key, f.Problem}
	}
	return json.NewEncoder(w).Encode(list)
}
